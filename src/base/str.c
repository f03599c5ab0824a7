#include "base/str.h"

#include <glib.h>

char *str_dup(struct str s)
{
	return g_strndup(s.data ? s.data : "", s.len);
}
