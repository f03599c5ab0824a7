#include "net/status_line.h"

#include <glib.h>
#include <string.h>

/* What a response begins with: D is any digit, S the first digit of a status,
 * E the end of the status; anything else is that byte. */
static const char pattern[] = "HTTP/1.D SDDE";

static bool matches(char wanted, char byte)
{
	switch (wanted) {
	case 'D':
		return g_ascii_isdigit(byte);
	case 'S':
		return byte >= '1' && byte <= '5';
	case 'E':
		return byte == ' ' || byte == '\r' || byte == '\n';
	default:
		return byte == wanted;
	}
}

bool status_line_check(struct status_line *line, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len && line->checked < strlen(pattern); i++) {
		if (!line->checked && (data[i] == '\r' || data[i] == '\n'))
			continue;
		if (!matches(pattern[line->checked], data[i]))
			return false;
		line->checked++;
	}
	return true;
}
