/**
 * Human-readable output of auburnctl: tables and lists made from JSON.
 */
#ifndef CTL_OUTPUT_H
#define CTL_OUTPUT_H

#include <jansson.h>

/**
 * Prints an array of objects as an aligned table. The columns are the members
 * of the first object, in their order.
 *
 * Prints nothing for an empty array.
 *
 * @param title printed above the table
 * @param rows array of objects
 */
void output_table(const char *title, const json_t *rows);

/** Prints the members of an object, one per line, with aligned values. */
void output_object(const json_t *object);

#endif
