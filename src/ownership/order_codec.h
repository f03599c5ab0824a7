/**
 * Encodes and decodes orders and their replies as JSON, for assigners and for
 * upstreams in C. See docs/protocols.md, "Control of upstreams".
 */
#ifndef OWNERSHIP_ORDER_CODEC_H
#define OWNERSHIP_ORDER_CODEC_H

#include <glib.h>

#include "ownership/order_defs.h"

/** A decoded order, with the texts and ranges that it points to. */
struct order_message {
	/** Valid as long as the message. */
	struct order order;
	/** The texts and ranges that the order points to; the ranges are of
	 * struct hash_range. */
	char *cell;
	char *boot;
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
 * @param error set to AUBURN_ERROR_PROTOCOL if the body is malformed
 * @return the order, which the caller frees with order_message_destroy(), or
 *         NULL if the body is malformed
 */
struct order_message *order_decode(struct str body, GError **error);

/** Frees a decoded order; NULL is allowed. */
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
 * @param boot set to a copy of the upstream's incarnation, which the caller
 *        frees with g_free()
 * @param error set to AUBURN_ERROR_PROTOCOL if the reply is malformed
 * @return false on a malformed reply, with nothing to free
 */
bool order_reply_decode(struct str body, struct order_reply *reply, char **boot,
			GError **error);

#endif
