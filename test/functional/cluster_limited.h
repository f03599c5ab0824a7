/**
 * An entry daemon with little memory and few descriptors, crowds of callers
 * against it, and the bounds that must hold meanwhile.
 */
#ifndef CLUSTER_LIMITED_H
#define CLUSTER_LIMITED_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster_crowd.h"
#include "cluster_entry.h"

/** [vm] memory of the daemon, and the largest body, which has nearly the same
 * share of it as 64 MiB have of the smallest VM's 120 MB. */
#define LIMITED_MEMORY_MB 64
#define LIMITED_BODY_BYTES ((uint64_t)32 << 20)
/** [vm] descriptors of the daemon. */
#define LIMITED_DESCRIPTORS 256
/** Bounds on the peak of the resident set and on open descriptors. */
#define LIMITED_RESIDENT_KIB ((int64_t)LIMITED_MEMORY_MB * 1024)
#define LIMITED_OPEN LIMITED_DESCRIPTORS

/** Begins the head of a request with a body. */
#define LIMITED_POST_HEAD                                                      \
	"POST /upload/a HTTP/1.1\r\nHost: app.example\r\n"                     \
	"X-Deadline-Ms: 9000\r\n"
/** The whole head of a request with a chunked body. */
#define LIMITED_CHUNKED_HEAD                                                   \
	LIMITED_POST_HEAD "Transfer-Encoding: chunked\r\n\r\n"

/** The deployment. */
extern struct entry_rig limited_rig;

/** Starts the deployment with some entry daemons; returns whether the first
 * serves an upload in time. */
bool limited_start(unsigned int daemons);

/**
 * Writes a version of the configuration, with one more route.
 *
 * @param version above 9, the version at the start
 * @param prefix of the route, which leads to the same service as "/plain/"
 */
void limited_put_config(unsigned int version, const char *prefix);

/** Stops the deployment. */
void limited_stop(void);

/** Sends the largest allowed body and returns the status. */
long limited_send_largest(void);

/** Conditions for process_wait_until(): a small upload, a safe request and the
 * largest body get 200. */
bool limited_serves_upload(void *ctx);
bool limited_serves_ordinary(void *ctx);
bool limited_serves_largest(void *ctx);

/**
 * Prints the peak of a daemon's resident set; returns whether it is within its
 * bound.
 *
 * @param daemon index of the daemon
 */
bool limited_is_resident_bounded(const char *name, unsigned int daemon);

/** What was seen of a daemon beside a crowd whose connections stay open, and
 * after it. */
struct limited_result {
	/** The process ran at the end. */
	bool lives;
	/** Highest number of descriptors that were open at once. */
	unsigned int most_open;
	/** The peak of the resident set is within its bound. */
	bool resident_bounded;
	/** So is the highest sum of the resident set and of the bytes that the
	 * system held for callers: those that the daemon hadn't read, and
	 * answers that they hadn't taken. */
	bool footprint_bounded;
	/** An ordinary request was served beside the crowd. */
	bool serves_beside;
	/** So was the largest body; true if it wasn't sent. */
	bool serves_largest_beside;
	/** The largest body was served after the crowd. */
	bool serves_largest_after;
};

/**
 * Runs a crowd against the daemon and destroys the crowd.
 *
 * @param name printed with the figures
 * @param largest_beside send the largest body beside the crowd too: what the
 *        crowd's callers hold must give way to it
 */
void limited_run_crowd(const char *name, struct crowd *crowd,
		       bool largest_beside, struct limited_result *result);

#endif
