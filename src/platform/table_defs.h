/**
 * Outcomes of a call to the platform's table.
 */
#ifndef PLATFORM_TABLE_DEFS_H
#define PLATFORM_TABLE_DEFS_H

enum table_status {
	/** The row was read or written. */
	TABLE_OK,
	/** The row does not exist. */
	TABLE_ABSENT,
	/** The row has another version and was not written. */
	TABLE_CONFLICT,
	/** The call failed; the row was certainly not written. */
	TABLE_UNAVAILABLE,
	/** A write failed in a way that may or may not have changed the row. */
	TABLE_UNKNOWN,
};

#endif
