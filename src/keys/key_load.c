#include "keys/key_load.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#include "keys/key_map.h"

/* Time constant of the decay: long enough to average out random variation,
 * short enough to follow hot keys. */
#define DECAY_S 2.0
/* Number of requests that is added to the load of all keys together, in equal
 * parts: keys without requests so far are treated as equally likely to be
 * requested next. */
#define IDLE_REQUESTS 30.0
#define IDLE_REQUESTS_PER_KEY (IDLE_REQUESTS / (KEY_LAST + 1))
/* Shortest time between two decays. */
#define DECAY_STEP_S 0.1
/* Counts below this become zero. */
#define COUNT_MIN 0.001

struct key_load {
	/** Decayed number of requests of each key. */
	float counts[KEY_LAST + 1];
	/** Time of the last decay. */
	double decayed_s;
	/** At least one count is not zero. */
	bool has_counts;
};

struct key_load *key_load_create(void)
{
	return g_new0(struct key_load, 1);
}

void key_load_destroy(struct key_load *load)
{
	g_free(load);
}

void key_load_add(struct key_load *load, uint16_t key)
{
	load->counts[key] += 1;
	load->has_counts = true;
}

void key_load_decay(struct key_load *load, double now_s)
{
	float factor;
	int key;

	if (now_s - load->decayed_s < DECAY_STEP_S)
		return;
	factor = (float)exp(-(now_s - load->decayed_s) / DECAY_S);
	load->decayed_s = now_s;
	if (!load->has_counts)
		return;
	load->has_counts = false;
	for (key = 0; key <= KEY_LAST; key++) {
		load->counts[key] *= factor;
		if (load->counts[key] < (float)COUNT_MIN)
			load->counts[key] = 0;
		else
			load->has_counts = true;
	}
}

double key_load_requests(const struct key_load *load, uint16_t first,
			 uint16_t last)
{
	double sum = 0;
	int key;

	if (!load->has_counts)
		return 0;
	for (key = first; key <= last; key++)
		sum += load->counts[key];
	return sum;
}

double key_load_per_s(const struct key_load *load)
{
	return key_load_requests(load, 0, KEY_LAST) / DECAY_S;
}

double key_load_estimate(const struct key_load *load, uint16_t first,
			 uint16_t last)
{
	return key_load_requests(load, first, last) +
	       IDLE_REQUESTS_PER_KEY * (last - first + 1);
}

uint16_t key_load_split_point(const struct key_load *load, uint16_t first,
			      uint16_t last, double upper)
{
	double sum = 0;
	int key = last;

	while (key > first + 1) {
		sum += load->counts[key] + IDLE_REQUESTS_PER_KEY;
		if (sum >= upper)
			break;
		key--;
	}
	return (uint16_t)key;
}
