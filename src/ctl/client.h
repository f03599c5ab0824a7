/**
 * HTTP calls of auburnctl to the operator address of any assigner.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

struct client;

/** An answer, or what is known without one. */
struct client_answer {
	/** HTTP status; 0 when no daemon answered. */
	long status;
	/** At least one daemon may have got the call. */
	bool sent;
	GString *body;
	/** What went wrong, for people; "" with a status. */
	char message[256];
};

/** One call; texts are borrowed. */
struct client_call {
	const char *method;
	/** Path and query, escaped. */
	const char *path;
	/** Sent as Idempotency-Key, or NULL. */
	const char *attempt;
	/** Sent as If-Match, or NULL. */
	const char *if_match;
	struct str body;
};

/**
 * Creates a client.
 *
 * @param addresses "IPv4:port,...", tried in order
 * @param token the bearer token
 */
struct client *client_create(const char *addresses, const char *token,
			     int64_t timeout_ms);

void client_destroy(struct client *client);

/** From now on a daemon that answers 404 is passed over for the next. */
void client_seek(struct client *client);

/**
 * Calls one daemon after another until one answers. A change carries an
 * attempt id, so that it takes effect once however often it is sent.
 *
 * @param answer filled; freed with client_answer_clear()
 */
void client_send(struct client *client, const struct client_call *call,
		 struct client_answer *answer);

void client_answer_clear(struct client_answer *answer);

/**
 * Escapes a part of a path or query.
 *
 * @return the text; freed with g_free()
 */
char *client_escape(const char *text);

#endif
