#include "upstream_grants.h"

#include <pthread.h>

#include "base/clock.h"
#include "fence.h"
#include "ownership/order_codec.h"

struct grants {
	/* Guards the fence. */
	pthread_mutex_t lock;
	/* Arguments of grants_create(), to create the fence anew. */
	char *cell, *boot;
	bool fences;
	struct fence *fence;
	struct record *record;
};

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

/* Returns the fencing state of an upstream that has just started. */
static struct fence *new_fence(const struct grants *grants)
{
	return fence_create(str_from(grants->cell), str_from(grants->boot),
			    grants->fences, now_us());
}

struct grants *grants_create(const char *cell, const char *boot, bool fences,
			     struct record *record)
{
	struct grants *grants = g_new0(struct grants, 1);

	pthread_mutex_init(&grants->lock, NULL);
	grants->cell = g_strdup(cell);
	grants->boot = g_strdup(boot);
	grants->fences = fences;
	grants->record = record;
	grants->fence = new_fence(grants);
	return grants;
}

void grants_destroy(struct grants *grants)
{
	fence_destroy(grants->fence);
	pthread_mutex_destroy(&grants->lock);
	g_free(grants->cell);
	g_free(grants->boot);
	g_free(grants);
}

void grants_set_fencing(struct grants *grants, bool fences)
{
	pthread_mutex_lock(&grants->lock);
	fence_destroy(grants->fence);
	grants->fences = fences;
	grants->fence = new_fence(grants);
	pthread_mutex_unlock(&grants->lock);
}

/* Records the grant that an order left, if the order was accepted and its kind
 * can change the grant. */
static void record_applied_order(const struct grants *grants,
				 const struct order *order,
				 const struct order_reply *reply)
{
	/* When no grant is left, a grant that ends now is recorded. */
	int64_t until_us = reply->clock_us;

	if (!reply->accepted || order->kind == ORDER_PREPARE)
		return;
	if (reply->has_grant)
		until_us = reply->grant_left_us == INT64_MAX
				   ? INT64_MAX
				   : reply->clock_us + reply->grant_left_us;
	record_grant(grants->record, reply->clock_us, until_us, order);
}

char *grants_apply_order(struct grants *grants, struct str body,
			 const struct upstream_load *load)
{
	struct order_message *message = order_decode(body, NULL);
	struct order_reply reply;
	char *text;

	if (!message)
		return NULL;
	pthread_mutex_lock(&grants->lock);
	fence_order(grants->fence, &message->order, now_us(), &reply);
	record_applied_order(grants, &message->order, &reply);
	reply.load = *load;
	text = order_reply_encode(&reply);
	pthread_mutex_unlock(&grants->lock);
	order_message_destroy(message);
	return text;
}

bool grants_allow(struct grants *grants, uint64_t hash, uint64_t epoch)
{
	bool serves;

	pthread_mutex_lock(&grants->lock);
	serves = fence_serves(grants->fence, hash, epoch, now_us());
	pthread_mutex_unlock(&grants->lock);
	return serves;
}

uint64_t grants_epoch(struct grants *grants)
{
	uint64_t epoch;

	pthread_mutex_lock(&grants->lock);
	epoch = fence_epoch(grants->fence);
	pthread_mutex_unlock(&grants->lock);
	return epoch;
}
