/**
 * Outcomes of a call to the platform's table.
 */
#ifndef PLATFORM_TABLE_DEFS_H
#define PLATFORM_TABLE_DEFS_H

/** How a call ended, for each row that it reads or writes. */
enum table_status {
	/** The row was read or written. */
	TABLE_OK,
	/** The row does not exist. */
	TABLE_ABSENT,
	/** The row has another version and was not written. */
	TABLE_CONFLICT,
	/** The call failed; the row was certainly not written. */
	TABLE_UNAVAILABLE,
	/** A write failed, and it is unknown whether the row was changed. */
	TABLE_UNKNOWN,
};

#endif
