#include "drills.h"

#include "soak.h"

/* Time until the next drill, for which the store is away, and by which it goes
 * back, in seconds. */
#define PAUSE_MIN_S 2.0
#define PAUSE_MAX_S 7.0
#define AWAY_MIN_S 0.2
#define AWAY_MAX_S 3.5
#define BACK_MIN_S 0.5
#define BACK_MAX_S 10.0
/* One drill in so many is soon followed by another. */
#define AGAIN_SHARE 3
#define AGAIN_PAUSE_MAX_S 1.5

struct drills {
	GRand *random;
	gint64 start_us;
	/** When the next drill begins, or the present one ends. */
	gint64 due_us;
	bool away;
	unsigned int count;
};

static gint64 after(struct drills *drills, double min_s, double max_s)
{
	return g_get_monotonic_time() +
	       (gint64)(g_rand_double_range(drills->random, min_s, max_s) *
			G_USEC_PER_SEC);
}

struct drills *drills_create(unsigned int seed)
{
	struct drills *drills = g_new0(struct drills, 1);

	drills->random = g_rand_new_with_seed(seed + 2);
	drills->start_us = g_get_monotonic_time();
	drills->due_us = after(drills, PAUSE_MIN_S, PAUSE_MAX_S);
	return drills;
}

void drills_destroy(struct drills *drills)
{
	if (!drills)
		return;
	g_rand_free(drills->random);
	g_free(drills);
}

/* Has the store come back, no older than when the drills began. */
static void return_store(struct drills *drills, const struct soak *soak)
{
	double back_s =
		g_rand_double_range(drills->random, BACK_MIN_S, BACK_MAX_S);
	double ran_s = (double)(g_get_monotonic_time() - drills->start_us) /
		       G_USEC_PER_SEC;

	soak_command(soak, "return", (unsigned int)(MIN(back_s, ran_s) * 1000),
		     NULL);
	drills->away = false;
	drills->count++;
}

void drills_run(struct drills *drills, const struct soak *soak)
{
	if (g_get_monotonic_time() < drills->due_us)
		return;
	if (drills->away) {
		return_store(drills, soak);
		drills->due_us =
			g_rand_int(drills->random) % AGAIN_SHARE == 0
				? after(drills, 0, AGAIN_PAUSE_MAX_S)
				: after(drills, PAUSE_MIN_S, PAUSE_MAX_S);
		return;
	}
	soak_command(soak, "down", 1, NULL);
	drills->away = true;
	drills->due_us = after(drills, AWAY_MIN_S, AWAY_MAX_S);
}

void drills_end(struct drills *drills, const struct soak *soak)
{
	if (drills->away)
		return_store(drills, soak);
}

unsigned int drills_count(const struct drills *drills)
{
	return drills ? drills->count : 0;
}
