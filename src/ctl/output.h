/**
 * What auburnctl prints for people.
 */
#ifndef CTL_OUTPUT_H
#define CTL_OUTPUT_H

#include <jansson.h>

/**
 * Prints an array of objects as an aligned table. The columns are the members
 * of the first object, in their order.
 *
 * @param title printed above; nothing at all is printed for an empty array
 */
void output_table(const char *title, const json_t *rows);

/** Prints the members of an object, one a line, aligned. */
void output_object(const json_t *object);

#endif
