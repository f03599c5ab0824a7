#include "net/descriptors.h"

#include <glib.h>

/* Parts of the limit: most that callers' connections take, and what is kept for
 * the system's own use, at least SYSTEM_MIN unless that is more than half. */
#define CALLERS_PART 0.75
#define SYSTEM_PART 0.125
#define SYSTEM_MIN 40U
/* Number kept for the system's own use besides what it has open. */
#define SYSTEM_SPARE 8U
/* Part of what the system leaves that connections to upstreams can always take.
 */
#define UPSTREAMS_PART 0.1

struct descriptors {
	unsigned int limit;
	/** Kept for the system's own use. */
	unsigned int system;
	/** Most connections of callers. */
	unsigned int callers;
	unsigned int open[DESCRIPTOR_USES];
	const struct descriptors_ops *ops;
	void *ctx;
};

struct descriptors *descriptors_create(unsigned int limit)
{
	struct descriptors *d = g_new0(struct descriptors, 1);
	unsigned int shared;

	d->limit = limit;
	d->system = MIN(MAX((unsigned int)(limit * SYSTEM_PART), SYSTEM_MIN),
			limit / 2);
	shared = limit - d->system;
	d->callers = MIN((unsigned int)(limit * CALLERS_PART),
			 (unsigned int)(shared * (1 - UPSTREAMS_PART)));
	return d;
}

void descriptors_destroy(struct descriptors *d)
{
	g_free(d);
}

void descriptors_set_ops(struct descriptors *d,
			 const struct descriptors_ops *ops, void *ctx)
{
	d->ops = ops;
	d->ctx = ctx;
}

/* Returns how many descriptors callers and their requests may have open. */
static unsigned int shared_limit(const struct descriptors *d)
{
	unsigned int system =
		MAX(d->system, d->open[DESCRIPTOR_SYSTEM] + SYSTEM_SPARE);

	return d->limit > system ? d->limit - system : 0;
}

/* Returns how many connections to upstreams callers' requests may open: what
 * callers can't take, and half of what they haven't taken, so that those who
 * connect next find room. */
static unsigned int upstream_limit(const struct descriptors *d)
{
	unsigned int callers = MIN(d->open[DESCRIPTOR_CALLER], d->callers);

	return d->limit - d->system - d->callers + (d->callers - callers) / 2;
}

unsigned int descriptors_limit(const struct descriptors *d,
			       enum descriptor_use use)
{
	switch (use) {
	case DESCRIPTOR_CALLER:
		return d->callers;
	case DESCRIPTOR_UPSTREAM:
		return upstream_limit(d);
	case DESCRIPTOR_SYSTEM:
	case DESCRIPTOR_USES:
		break;
	}
	return d->limit;
}

static bool is_below_limits(const struct descriptors *d,
			    enum descriptor_use use)
{
	return d->open[use] < descriptors_limit(d, use) &&
	       d->open[DESCRIPTOR_CALLER] + d->open[DESCRIPTOR_UPSTREAM] <
		       shared_limit(d);
}

bool descriptors_have_room(struct descriptors *d, enum descriptor_use use)
{
	if (!d || use == DESCRIPTOR_SYSTEM || is_below_limits(d, use))
		return true;
	if (use == DESCRIPTOR_CALLER && d->ops &&
	    d->open[DESCRIPTOR_CALLER] < d->callers &&
	    d->ops->close_idle_upstream(d->ctx) && is_below_limits(d, use))
		return true;
	return false;
}

void descriptors_opened(struct descriptors *d, enum descriptor_use use)
{
	if (d)
		d->open[use]++;
}

void descriptors_closed(struct descriptors *d, enum descriptor_use use)
{
	if (d)
		d->open[use]--;
}

unsigned int descriptors_open(const struct descriptors *d,
			      enum descriptor_use use)
{
	return d->open[use];
}
