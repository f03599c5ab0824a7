/**
 * What came of a call to the platform's table.
 */
#ifndef PLATFORM_TABLE_DEFS_H
#define PLATFORM_TABLE_DEFS_H

enum table_status {
	/** Read, or written. */
	TABLE_OK,
	/** No such row. */
	TABLE_ABSENT,
	/** The row has another version; it was not written. */
	TABLE_CONFLICT,
	/** Not read, or certainly not written. */
	TABLE_UNAVAILABLE,
	/** A write that may or may not have taken effect. */
	TABLE_UNKNOWN,
};

#endif
