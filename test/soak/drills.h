/**
 * Drills in which the store is away for a while and comes back from an older
 * copy of itself, at times twice in a row.
 */
#ifndef SOAK_DRILLS_H
#define SOAK_DRILLS_H

struct drills;
struct soak;

/** Creates the drills of a seed, which begin from now on. */
struct drills *drills_create(unsigned int seed);

/** Frees the drills; NULL is allowed. */
void drills_destroy(struct drills *drills);

/** Begins and ends drills when they are due. */
void drills_run(struct drills *drills, const struct soak *soak);

/** Ends the drill that is in progress, if there is one. */
void drills_end(struct drills *drills, const struct soak *soak);

/** Returns the number of times that the store came back so far. */
unsigned int drills_count(const struct drills *drills);

#endif
