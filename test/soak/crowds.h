/**
 * Crowds of misbehaving callers for the soak test: on a thread, one after the
 * other, each at a daemon, for a time and with pauses that a seed determines.
 */
#ifndef SOAK_CROWDS_H
#define SOAK_CROWDS_H

/** Running crowds. */
struct crowds;

/**
 * Starts the crowds.
 *
 * @param addresses "IPv4:port" of each daemon; must outlive the crowds
 */
struct crowds *crowds_start(const char *const *addresses, unsigned int count,
			    unsigned int seed);

/** Ends the crowds and frees them.
 *
 * @return the number of crowds that there were */
unsigned int crowds_stop(struct crowds *crowds);

#endif
