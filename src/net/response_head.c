#include "net/response_head.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"

bool response_ends_with_head(unsigned int status, bool head_only)
{
	return head_only || status / 100 == 1 || status == 204 || status == 304;
}

void response_keep_alive(const struct headers *headers, double *idle_s)
{
	const struct header *h = headers_find(headers, STR("keep-alive"));
	char *text, *at;

	if (!h)
		return;
	text = str_dup(h->value);
	at = strstr(text, "timeout=");
	if (at)
		*idle_s = strtod(at + strlen("timeout="), NULL);
	g_free(text);
}
