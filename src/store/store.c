#include "store/store.h"

char *store_result_next_key(const struct store_result *result)
{
	if (!result->more || !result->row_count)
		return NULL;
	/* The smallest key in byte order that may follow the last one. */
	return g_strconcat(result->rows[result->row_count - 1].key, "\x01",
			   NULL);
}
