/**
 * HTTP client of auburnctl, for the operator addresses of daemons.
 */
#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

/** A client of several daemons that can all answer the same calls. */
struct client;

/** The answer to a call, or what is known when there is none. */
struct client_answer {
	/** HTTP status; 0 when no daemon answered. */
	long status;
	/** At least one daemon may have received the call. */
	bool sent;
	/** Body of the answer. */
	GString *body;
	/** Error text when no daemon answered, else "". */
	char message[256];
};

/** An HTTP request; the caller owns the texts. */
struct client_call {
	const char *method;
	/** Path and query, URL-escaped. */
	const char *path;
	/** Id of a change, sent as Idempotency-Key; or NULL. */
	const char *attempt;
	/** Version in quotes, sent as If-Match; or NULL. */
	const char *if_match;
	/** Not sent with GET. */
	struct str body;
};

/**
 * Creates a client.
 *
 * @param addresses "IPv4:port,...", tried in order
 * @param token the bearer token
 * @param timeout_ms time limit of one call to one daemon
 * @return the client; freed with client_destroy()
 */
struct client *client_create(const char *addresses, const char *token,
			     int64_t timeout_ms);

/** Frees a client. */
void client_destroy(struct client *client);

/** Makes client_send() try the next daemon when one answers 404. */
void client_skip_not_found(struct client *client);

/**
 * Sends a request to one daemon after another until one answers. That is safe
 * for changes too: their Idempotency-Key makes them take effect only once.
 *
 * @param answer set; freed with client_answer_clear()
 */
void client_send(struct client *client, const struct client_call *call,
		 struct client_answer *answer);

/** Frees the body of an answer. */
void client_answer_clear(struct client_answer *answer);

/**
 * URL-escapes a path segment or query value.
 *
 * @return the text; freed with g_free()
 */
char *client_escape(const char *text);

#endif
