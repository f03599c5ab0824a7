#include "balance/crash_list.h"

#include <glib.h>
#include <string.h>

/* Number of different upstreams that must crash under a request before it is
 * blocked. */
#define BLOCK_CRASHES 3
/* Time for which a request stays a suspect: when its upstream is found to be
 * down or restarted within this time, the request is blamed. */
#define SUSPECT_S 5.0
/* Time for which blame is remembered and a request is blocked. */
#define BLAME_S 60.0

/** A request whose connection to an upstream broke. */
struct suspect {
	uint64_t request;
	const char *upstream;
	/** When the connection broke. */
	double at_s;
};

/** The crashes that a request is blamed for. */
struct blame {
	uint64_t request;
	/** Ids of the upstreams that crashed, each once. */
	const char *upstreams[BLOCK_CRASHES];
	/** Number of entries of upstreams. */
	unsigned int crashes;
	/** When the request was last blamed. */
	double last_s;
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

void crash_list_add_suspect(struct crash_list *list, uint64_t request,
			    const char *upstream, double now_s)
{
	struct suspect suspect = {
		.request = request,
		.upstream = g_intern_string(upstream),
		.at_s = now_s,
	};

	g_array_append_val(list->suspects, suspect);
}

bool crash_list_blame(struct crash_list *list, uint64_t request,
		      const char *upstream, double now_s)
{
	const char *name = g_intern_string(upstream);
	struct blame *blame = g_hash_table_lookup(list->blames, &request);
	unsigned int i;

	if (!blame) {
		blame = g_new0(struct blame, 1);
		blame->request = request;
		g_hash_table_insert(list->blames, &blame->request, blame);
	}
	blame->last_s = now_s;
	for (i = 0; i < blame->crashes; i++)
		if (blame->upstreams[i] == name)
			return false;
	if (blame->crashes < BLOCK_CRASHES)
		blame->upstreams[blame->crashes++] = name;
	return true;
}

void crash_list_upstream_lost(struct crash_list *list, const char *upstream,
			      double now_s, crash_blamed_fn blamed, void *ctx)
{
	const char *name = g_intern_string(upstream);
	guint i = 0;

	while (i < list->suspects->len) {
		struct suspect s =
			g_array_index(list->suspects, struct suspect, i);

		if (s.upstream != name) {
			i++;
			continue;
		}
		g_array_remove_index_fast(list->suspects, i);
		crash_list_blame(list, s.request, name, now_s);
		blamed(ctx, s.request, name);
	}
}

bool crash_list_clear_request(struct crash_list *list, uint64_t request)
{
	bool dropped = g_hash_table_remove(list->blames, &request);
	guint i;

	for (i = list->suspects->len; i > 0; i--)
		if (g_array_index(list->suspects, struct suspect, i - 1)
			    .request == request) {
			g_array_remove_index_fast(list->suspects, i - 1);
			dropped = true;
		}
	return dropped;
}

unsigned int crash_list_crashes(const struct crash_list *list, uint64_t request)
{
	const struct blame *blame = g_hash_table_lookup(list->blames, &request);

	return blame ? blame->crashes : 0;
}

bool crash_list_blocks(const struct crash_list *list, uint64_t request,
		       double now_s)
{
	const struct blame *blame = g_hash_table_lookup(list->blames, &request);

	return blame && blame->crashes >= BLOCK_CRASHES &&
	       now_s < blame->last_s + BLAME_S;
}

/* GHRFunc: returns whether an entry of the blame table has expired. */
static gboolean is_expired(gpointer key, gpointer value, gpointer now_s)
{
	const struct blame *blame = value;

	(void)key;
	return *(double *)now_s > blame->last_s + BLAME_S;
}

void crash_list_expire(struct crash_list *list, double now_s,
		       crash_expired_fn expired, void *ctx)
{
	guint i;

	for (i = list->suspects->len; i > 0; i--) {
		struct suspect s =
			g_array_index(list->suspects, struct suspect, i - 1);

		if (now_s <= s.at_s + SUSPECT_S)
			continue;
		g_array_remove_index_fast(list->suspects, i - 1);
		expired(ctx, s.request, s.upstream);
	}
	g_hash_table_foreach_remove(list->blames, is_expired, &now_s);
}
