/**
 * Encodes and decodes orders and their replies as JSON, for assigners and for
 * upstreams in C. See docs/protocols.md, "Control of upstreams".
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
 * Encodes an order as the body of POST /control/order.
 *
 * @return NUL-terminated text; the caller frees it with g_free()
 */
char *order_encode(const struct order *order);

/**
 * Decodes the body of POST /control/order.
 *
 * @param error AUBURN_ERROR_PROTOCOL
 * @return a message for order_message_destroy(), or NULL
 */
struct order_message *order_decode(struct str body, GError **error);

void order_message_destroy(struct order_message *message);

/**
 * Encodes an upstream's reply to an order.
 *
 * @return NUL-terminated text; the caller frees it with g_free()
 */
char *order_reply_encode(const struct order_reply *reply);

/**
 * Decodes an upstream's reply to an order.
 *
 * @param reply filled in; its boot points to *boot
 * @param boot set to a copy that the caller frees with g_free()
 * @param error AUBURN_ERROR_PROTOCOL
 * @return false on a malformed reply, with nothing to free
 */
bool order_reply_decode(struct str body, struct order_reply *reply, char **boot,
			GError **error);

#endif
