/**
 * Requests under which upstreams were lost. A request is suspected when its
 * connection breaks without an answer, and blamed when that upstream then turns
 * out to be down or restarted. One that is blamed for several upstreams is not
 * sent again for a while; an answer clears it.
 */
#ifndef BALANCE_CRASH_LIST_H
#define BALANCE_CRASH_LIST_H

#include <stdbool.h>
#include <stdint.h>

struct crash_list;

struct crash_list *crash_list_create(void);
void crash_list_destroy(struct crash_list *list);

/** Notes a connection that broke with a request on it. */
void crash_list_add_suspect(struct crash_list *list, uint64_t request,
			    const char *upstream, double now_s);

typedef void (*crash_blamed_fn)(void *ctx, uint64_t request,
				const char *upstream);

/** Notes that an upstream is down or restarted; calls blamed for each. */
void crash_list_upstream_lost(struct crash_list *list, const char *upstream,
			      double now_s, crash_blamed_fn blamed, void *ctx);

/** Notes a loss that this VM or another one blames on a request. */
void crash_list_blame(struct crash_list *list, uint64_t request,
		      const char *upstream, double now_s);

/** Notes an answer: the request is harmless. */
void crash_list_clear(struct crash_list *list, uint64_t request);

/** Whether a request must not be sent. */
bool crash_list_blocks(const struct crash_list *list, uint64_t request,
		       double now_s);

/** Forgets what is old. */
void crash_list_tick(struct crash_list *list, double now_s);

#endif
