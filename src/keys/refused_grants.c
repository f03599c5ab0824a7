#include "keys/refused_grants.h"

/* Time, in seconds, from a refusal to the next request, which doubles with each
 * further refusal up to the second value. */
#define WAIT_S 0.15
#define WAIT_MAX_S 1.2
/* Time, in seconds, after which a grant is forgotten. By then the owner map has
 * named another one. */
#define FORGET_S 10.0

/** A grant that its owner refused. */
struct refusal {
	uint64_t fence;
	/** When the last refusal that is news was noted. */
	double noted_s;
	/** Until when no request is sent by the grant, and the wait after the
	 * next refusal. */
	double until_s;
	double wait_s;
};

struct refused_grants {
	/** Refused grants (struct refusal) by their fencing tokens. */
	GHashTable *by_fence;
};

struct refused_grants *refused_grants_create(void)
{
	struct refused_grants *grants = g_new0(struct refused_grants, 1);

	grants->by_fence = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	return grants;
}

void refused_grants_destroy(struct refused_grants *grants)
{
	if (!grants)
		return;
	g_hash_table_destroy(grants->by_fence);
	g_free(grants);
}

static gboolean is_old(gpointer key, gpointer value, gpointer now_s)
{
	(void)key;
	return *(const double *)now_s >
	       ((const struct refusal *)value)->noted_s + FORGET_S;
}

bool refused_grants_note(struct refused_grants *grants, uint64_t fence,
			 double sent_s, double now_s)
{
	struct refusal *refusal = g_hash_table_lookup(grants->by_fence, &fence);

	if (refusal && sent_s < refusal->noted_s)
		return false;
	if (!refusal) {
		g_hash_table_foreach_remove(grants->by_fence, is_old, &now_s);
		refusal = g_new0(struct refusal, 1);
		refusal->fence = fence;
		refusal->wait_s = WAIT_S;
		g_hash_table_insert(grants->by_fence, &refusal->fence, refusal);
	}
	refusal->noted_s = now_s;
	refusal->until_s = now_s + refusal->wait_s;
	refusal->wait_s = MIN(2 * refusal->wait_s, WAIT_MAX_S);
	return true;
}

void refused_grants_sent(struct refused_grants *grants, uint64_t fence,
			 double now_s)
{
	struct refusal *refusal = g_hash_table_lookup(grants->by_fence, &fence);

	if (refusal)
		refusal->until_s = now_s + refusal->wait_s;
}

void refused_grants_ran(struct refused_grants *grants, uint64_t fence,
			double sent_s)
{
	const struct refusal *refusal =
		g_hash_table_lookup(grants->by_fence, &fence);

	if (refusal && sent_s >= refusal->noted_s)
		g_hash_table_remove(grants->by_fence, &fence);
}

double refused_grants_wait_s(const struct refused_grants *grants,
			     uint64_t fence, double now_s)
{
	const struct refusal *refusal =
		g_hash_table_lookup(grants->by_fence, &fence);

	return refusal ? MAX(refusal->until_s - now_s, 0) : 0;
}
