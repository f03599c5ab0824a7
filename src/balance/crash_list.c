#include "balance/crash_list.h"

#include <glib.h>
#include <string.h>

/* Number of crashes of upstreams after which a request is blocked. */
#define BLOCK_CRASHES 3
/* Most crashes that are remembered of one request, and most requests with
 * crashes. Further ones are ignored. */
#define CRASHES_MAX 8
#define REQUESTS_MAX 4096
/* Time for which a request stays a suspect: when its upstream is found to be
 * down or restarted within this time, the request is blamed. */
#define SUSPECT_S 5.0
/* Time for which blame is remembered, and for which a request is blocked. */
#define BLAME_S 60.0
/* Time after the end of a block in which one more crash renews it. */
#define PROBATION_S 600.0

/** A request whose connection to an upstream broke. */
struct suspect {
	struct crash crash;
	/** When the connection broke. */
	double at_s;
};

/** The crashes that a request is blamed for. */
struct blame {
	uint64_t request;
	/** The crashes, each once; their upstream ids are interned. */
	struct crash crashes[CRASHES_MAX];
	/** Number of entries of crashes. */
	unsigned int count;
	/** When the request was last blamed. */
	double last_s;
	/** End of the last block; 0: the request was never blocked. */
	double blocked_until_s;
};

struct crash_list {
	/** Suspects (struct suspect), in no order. */
	GArray *suspects;
	/** Blame (struct blame) by request fingerprint. */
	GHashTable *blames;
};

static guint hash_request(gconstpointer key)
{
	uint64_t request = *(const uint64_t *)key;

	return (guint)(request ^ (request >> 32));
}

static gboolean equal_requests(gconstpointer a, gconstpointer b)
{
	return *(const uint64_t *)a == *(const uint64_t *)b;
}

struct crash_list *crash_list_create(void)
{
	struct crash_list *list = g_new0(struct crash_list, 1);

	list->suspects = g_array_new(FALSE, FALSE, sizeof(struct suspect));
	list->blames = g_hash_table_new_full(hash_request, equal_requests, NULL,
					     g_free);
	return list;
}

void crash_list_destroy(struct crash_list *list)
{
	if (!list)
		return;
	g_array_free(list->suspects, TRUE);
	g_hash_table_destroy(list->blames);
	g_free(list);
}

void crash_list_add_suspect(struct crash_list *list, const struct crash *crash,
			    double now_s)
{
	struct suspect suspect = { .crash = *crash, .at_s = now_s };

	suspect.crash.upstream = g_intern_string(crash->upstream);
	if (list->suspects->len < REQUESTS_MAX)
		g_array_append_val(list->suspects, suspect);
}

/* Returns a request's entry, added if there is none; NULL if the list is full.
 */
static struct blame *ensure_blame(struct crash_list *list, uint64_t request)
{
	struct blame *blame = g_hash_table_lookup(list->blames, &request);

	if (blame || g_hash_table_size(list->blames) >= REQUESTS_MAX)
		return blame;
	blame = g_new0(struct blame, 1);
	blame->request = request;
	g_hash_table_insert(list->blames, &blame->request, blame);
	return blame;
}

/* Whether a crash, whose upstream id is interned, is among a request's. */
static bool knows_crash(const struct blame *blame, const struct crash *crash)
{
	unsigned int i;

	for (i = 0; i < blame->count; i++)
		if (blame->crashes[i].upstream == crash->upstream &&
		    blame->crashes[i].started_ms == crash->started_ms)
			return true;
	return false;
}

bool crash_list_blame(struct crash_list *list, const struct crash *crash,
		      double now_s)
{
	struct blame *blame = ensure_blame(list, crash->request);
	struct crash known = *crash;

	known.upstream = g_intern_string(crash->upstream);
	if (!blame)
		return false;
	blame->last_s = now_s;
	if (knows_crash(blame, &known) || blame->count == CRASHES_MAX)
		return false;
	blame->crashes[blame->count++] = known;
	if (blame->count >= BLOCK_CRASHES || blame->blocked_until_s)
		blame->blocked_until_s = now_s + BLAME_S;
	return true;
}

bool crash_list_block(struct crash_list *list, uint64_t request, double left_s,
		      double now_s)
{
	struct blame *blame = ensure_blame(list, request);
	double until_s = now_s + MIN(left_s, BLAME_S);
	bool news;

	if (!blame)
		return false;
	news = now_s >= blame->blocked_until_s && until_s > now_s;
	blame->blocked_until_s = MAX(blame->blocked_until_s, until_s);
	return news;
}

void crash_list_renew_block(struct crash_list *list, uint64_t request,
			    double now_s)
{
	struct blame *blame = g_hash_table_lookup(list->blames, &request);

	if (blame && now_s < blame->blocked_until_s)
		blame->blocked_until_s = now_s + BLAME_S;
}

void crash_list_upstream_lost(struct crash_list *list, const char *upstream,
			      double now_s, crash_fn blamed, void *ctx)
{
	const char *name = g_intern_string(upstream);
	guint i = 0;

	while (i < list->suspects->len) {
		struct suspect s =
			g_array_index(list->suspects, struct suspect, i);

		if (s.crash.upstream != name) {
			i++;
			continue;
		}
		g_array_remove_index_fast(list->suspects, i);
		crash_list_blame(list, &s.crash, now_s);
		blamed(ctx, &s.crash);
	}
}

bool crash_list_clear_request(struct crash_list *list, uint64_t request)
{
	bool dropped = g_hash_table_remove(list->blames, &request);
	guint i;

	for (i = list->suspects->len; i > 0; i--)
		if (g_array_index(list->suspects, struct suspect, i - 1)
			    .crash.request == request) {
			g_array_remove_index_fast(list->suspects, i - 1);
			dropped = true;
		}
	return dropped;
}

unsigned int crash_list_crashes(const struct crash_list *list, uint64_t request)
{
	const struct blame *blame = g_hash_table_lookup(list->blames, &request);

	return blame ? blame->count : 0;
}

bool crash_list_blocks(const struct crash_list *list, uint64_t request,
		       double now_s)
{
	const struct blame *blame = g_hash_table_lookup(list->blames, &request);

	return blame && now_s < blame->blocked_until_s;
}

void crash_list_each_blocked(const struct crash_list *list, double now_s,
			     void (*visit)(void *ctx, uint64_t request,
					   double left_s),
			     void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->blames);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct blame *blame = value;

		if (now_s < blame->blocked_until_s)
			visit(ctx, blame->request,
			      blame->blocked_until_s - now_s);
	}
}

/* GHRFunc: returns whether an entry of the blame table has expired. */
static gboolean is_expired(gpointer key, gpointer value, gpointer now_s)
{
	const struct blame *blame = value;
	double now = *(double *)now_s;

	(void)key;
	if (blame->blocked_until_s)
		return now > blame->blocked_until_s + PROBATION_S;
	return now > blame->last_s + BLAME_S;
}

/* GHFunc: forgets the crashes of a request whose block has ended. Each later
 * one is then news again. */
static void end_block(gpointer key, gpointer value, gpointer now_s)
{
	struct blame *blame = value;

	(void)key;
	if (blame->blocked_until_s && *(double *)now_s > blame->blocked_until_s)
		blame->count = 0;
}

void crash_list_expire(struct crash_list *list, double now_s, crash_fn expired,
		       void *ctx)
{
	guint i;

	for (i = list->suspects->len; i > 0; i--) {
		struct suspect s =
			g_array_index(list->suspects, struct suspect, i - 1);

		if (now_s <= s.at_s + SUSPECT_S)
			continue;
		g_array_remove_index_fast(list->suspects, i - 1);
		expired(ctx, &s.crash);
	}
	g_hash_table_foreach(list->blames, end_block, &now_s);
	g_hash_table_foreach_remove(list->blames, is_expired, &now_s);
}
