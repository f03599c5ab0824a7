/**
 * The error domain of this project. Functions report through GError; a
 * verdict says whether a request may have run and is a separate matter.
 */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>

#define AUBURN_ERROR (auburn_error_quark())

enum auburn_error {
	/** A value given by a person is wrong; the message says which. */
	AUBURN_ERROR_INVALID,
	/** A peer sent bytes that do not follow the protocol. */
	AUBURN_ERROR_PROTOCOL,
	/** The other side can't be reached or did not answer. */
	AUBURN_ERROR_UNAVAILABLE,
	/** Someone else changed what this change was based on. */
	AUBURN_ERROR_CONFLICT,
	/** A write was sent and its answer was lost. */
	AUBURN_ERROR_UNKNOWN_OUTCOME,
	/** No such thing. */
	AUBURN_ERROR_NOT_FOUND,
};

GQuark auburn_error_quark(void);

#endif
