/**
 * Strict check of the beginning of HTTP/1.x responses. The parser accepts
 * statuses that HTTP doesn't have, such as 000, and any number of digits and
 * spaces.
 */
#ifndef NET_STATUS_LINE_H
#define NET_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>

/** Progress of the check of one response; zero at its beginning. */
struct status_line {
	/** Number of bytes checked, without empty lines before the response. */
	size_t checked;
};

/**
 * Checks the next bytes of a response: empty lines, "HTTP/1." and a digit, a
 * space, a status from 100 to 599 in three digits, and a space or the end of
 * the line. Bytes behind that are not looked at.
 *
 * @return false when they don't begin a response
 */
bool status_line_check(struct status_line *line, const char *data, size_t len);

#endif
