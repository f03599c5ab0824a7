/**
 * Orders and their answers as JSON, see docs/protocols.md, "Control of
 * upstreams". Both directions, for the assigner and for upstreams in C.
 */
#ifndef OWNERSHIP_ORDER_CODEC_H
#define OWNERSHIP_ORDER_CODEC_H

#include <glib.h>

#include "ownership/order_defs.h"

/** A decoded order that owns what it points to. */
struct order_message {
	struct order order;
	char *cell;
	char *boot;
	/** struct hash_range. */
	GArray *ranges;
};

/**
 * Writes an order as the body of POST /control/order.
 *
 * @return NUL-terminated text; the caller frees it with g_free()
 */
char *order_encode(const struct order *order);

/**
 * Reads the body of POST /control/order.
 *
 * @param error AUBURN_ERROR_PROTOCOL
 * @return a message for order_message_destroy(), or NULL
 */
struct order_message *order_decode(struct str body, GError **error);

void order_message_destroy(struct order_message *message);

/**
 * Writes an upstream's answer.
 *
 * @return NUL-terminated text; the caller frees it with g_free()
 */
char *order_reply_encode(const struct order_reply *reply);

/**
 * Reads an upstream's answer.
 *
 * @param reply filled in; its boot points to *boot
 * @param boot set to a copy that the caller frees with g_free()
 * @param error AUBURN_ERROR_PROTOCOL
 * @return false on a malformed answer, with nothing to free
 */
bool order_reply_decode(struct str body, struct order_reply *reply, char **boot,
			GError **error);

#endif
