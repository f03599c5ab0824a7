#include "fanout/fanout.h"

#include <math.h>
#include <string.h>

/* Encoded size of an IPv4 address and port. */
#define ADDRESS_BYTES 6

static struct fanout_target *target_at(const GArray *targets, guint i)
{
	return &g_array_index(targets, struct fanout_target, i);
}

static gint compare_zones(gconstpointer a, gconstpointer b)
{
	const struct fanout_target *x = a, *y = b;

	return strcmp(x->zone, y->zone);
}

static void append_address(GByteArray *list, const struct sockaddr_in *address)
{
	g_byte_array_append(list, (const guint8 *)&address->sin_addr,
			    sizeof(address->sin_addr));
	g_byte_array_append(list, (const guint8 *)&address->sin_port,
			    sizeof(address->sin_port));
}

static struct sockaddr_in address_at(const uint8_t *list, size_t i)
{
	const uint8_t *from = list + i * ADDRESS_BYTES;
	struct sockaddr_in address = { .sin_family = AF_INET };

	memcpy(&address.sin_addr, from, sizeof(address.sin_addr));
	memcpy(&address.sin_port, from + sizeof(address.sin_addr),
	       sizeof(address.sin_port));
	return address;
}

/* Returns the number of copies with which a VM of a zone of so many recipients
 * reaches all of them over one further relay. */
static unsigned int zone_width(guint members)
{
	return (unsigned int)ceil(sqrt(members));
}

/* Splits a list of addresses into at most width groups of adjacent ones, and
 * sends a copy to the first VM of each group, which relays it to the others. */
static void send_groups(const uint8_t *list, size_t count, unsigned int width,
			bool other_zone, fanout_send_fn send, void *ctx)
{
	size_t groups = MIN(count, width);
	size_t group, begin = 0;

	for (group = 0; group < groups; group++) {
		size_t end = count * (group + 1) / groups;
		struct sockaddr_in to = address_at(list, begin);
		struct fanout_copy copy = {
			.to = &to,
			.relay_to = list + (begin + 1) * ADDRESS_BYTES,
			.relay_to_len = (end - begin - 1) * ADDRESS_BYTES,
			.width = width,
			.other_zone = other_zone,
		};

		send(ctx, &copy);
		begin = end;
	}
}

void fanout_relay(const uint8_t *relay_to, size_t len, unsigned int width,
		  fanout_send_fn send, void *ctx)
{
	send_groups(relay_to, len / ADDRESS_BYTES, MAX(width, 1), false, send,
		    ctx);
}

/* Sends one copy to all VMs of a zone: through one relay, or through several if
 * the zone is the sender's own. */
static void send_to_zone(const struct fanout_plan *plan, const GByteArray *list,
			 bool own, fanout_send_fn send, void *ctx)
{
	size_t members = list->len / ADDRESS_BYTES;
	unsigned int width = zone_width((guint)members);
	struct sockaddr_in to = address_at(list->data, 0);
	struct fanout_copy copy = {
		.to = &to,
		.relay_to = list->data + ADDRESS_BYTES,
		.relay_to_len = list->len - ADDRESS_BYTES,
		.width = width,
		.other_zone = !own,
	};

	if (own && plan->way != FANOUT_SPARING)
		send_groups(list->data, members, width, false, send, ctx);
	else
		send(ctx, &copy);
}

/* Puts the targets of a range into a random order. */
static void shuffle(GArray *targets, guint begin, guint end, GRand *random)
{
	guint i;

	for (i = end; i > begin + 1; i--) {
		struct fanout_target *a = target_at(targets, i - 1);
		struct fanout_target *b = target_at(
			targets, (guint)g_rand_int_range(random, (gint32)begin,
							 (gint32)i));
		struct fanout_target swapped = *a;

		*a = *b;
		*b = swapped;
	}
}

/* Sends the copies for the zone whose targets are in a range. */
static void distribute_zone(const struct fanout_plan *plan, GArray *targets,
			    guint begin, guint end, fanout_send_fn send,
			    void *ctx)
{
	const char *zone = target_at(targets, begin)->zone;
	bool own = *zone && !strcmp(zone, plan->zone);
	unsigned int copies = plan->way == FANOUT_TWICE ? 2 : 1;
	guint members = end - begin;
	unsigned int copy;

	shuffle(targets, begin, end, plan->random);
	for (copy = 0; copy < copies; copy++) {
		/* Relays are at the start of the list and of its groups. Half a
		 * group further, others are, except in a tiny zone. */
		guint shift = copy * (zone_width(members) / 2);
		GByteArray *list = g_byte_array_new();
		guint i;

		for (i = 0; i < members; i++)
			append_address(list,
				       &target_at(targets,
						  begin + (i + shift) % members)
						->address);
		send_to_zone(plan, list, own, send, ctx);
		g_byte_array_free(list, TRUE);
	}
}

static void send_direct(const struct fanout_plan *plan, const GArray *targets,
			fanout_send_fn send, void *ctx)
{
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct fanout_target *target = target_at(targets, i);
		struct fanout_copy copy = {
			.to = &target->address,
			.other_zone = !*target->zone ||
				      strcmp(target->zone, plan->zone) != 0,
		};

		send(ctx, &copy);
	}
}

void fanout_send(const struct fanout_plan *plan, GArray *targets,
		 fanout_send_fn send, void *ctx)
{
	guint begin, end;

	if (targets->len <= FANOUT_DIRECT_MAX) {
		send_direct(plan, targets, send, ctx);
		return;
	}
	g_array_sort(targets, compare_zones);
	for (begin = 0; begin < targets->len; begin = end) {
		const char *zone = target_at(targets, begin)->zone;

		for (end = begin + 1; end < targets->len; end++)
			if (strcmp(target_at(targets, end)->zone, zone) != 0)
				break;
		distribute_zone(plan, targets, begin, end, send, ctx);
	}
}
