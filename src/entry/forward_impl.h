/**
 * What the files of the forwarding share. Private to them.
 */
#ifndef ENTRY_FORWARD_IMPL_H
#define ENTRY_FORWARD_IMPL_H

#include "balance/crash_list.h"
#include "entry/job.h"

struct forward {
	/** This VM stops: until when it takes requests, and its end; 0: no. */
	double accept_s, end_s;
	struct forward_options options;
	struct crash_list *crashes;
	/** struct route_stats by route name. */
	GHashTable *stats;
	GRand *random;
	/** Jobs whose callers wait. */
	GHashTable *jobs;
	/** Flights without a job. */
	GHashTable *detached;
	/** Jobs in the services' queues. */
	unsigned int waiting;
	/** Looks again for upstreams while requests wait. */
	ev_timer pump_timer;
	struct counter *requests;
	struct counter *answered;
	struct counter *refused;
	struct counter *failed;
	struct counter *abandoned;
	struct counter *repeats;
	struct counter *backups;
	struct histogram *answer_time;
	struct histogram *wait_time;
};

/** What became of the choice of an upstream. */
enum choice {
	CHOICE_FOUND,
	/** All have as much as they bear: wait. */
	CHOICE_BUSY,
	/** The key has no owner that can be asked now: wait. */
	CHOICE_NO_OWNER,
	/** Nobody to wait for. */
	CHOICE_NONE,
};

/** Chooses an upstream for a job, leaving out those that it has tried. */
enum choice dispatch_choose(struct job *job, struct upstream **upstream);

/** Sends a job, lets it wait, or refuses it; may end the job. */
void dispatch_job(struct job *job);

/** Takes a job out of its service's queue. */
void dispatch_withdraw(struct job *job);

/** Sends what waits for a service, as far as there is room. */
void dispatch_pump(struct forward *forward, struct service *service);

/** Writes why a job's upstreams get no request now, for the log. */
void dispatch_describe(const struct job *job, char *buf, size_t size);

/** The shortest time until room is expected, for Retry-After. */
double dispatch_room_s(const struct job *job);

/** Sends a copy of a job. */
void flight_send(struct job *job, struct upstream *upstream, bool backup);

/** Ends a job's flights: closes those that may be repeated. */
void flight_cancel_all(struct job *job);

/** Sends a second copy when that is worth it. */
void flight_backup(struct job *job);

/** Whether a copy of a job is at an upstream. */
bool flight_in_progress(const struct job *job);

/** Whether a job may be sent once more. */
bool flight_may_repeat(const struct job *job, bool ran);

/** Whether this VM stops, and could end before a job that is not sent now. */
bool job_outlives(const struct job *job);

/** Sets a job's timer to its next instant. */
void job_arm(struct job *job);

/** Passes an upstream's answer on and ends the job. */
void job_answer(struct job *job, const struct http_reply *reply,
		const struct flight *flight);

/** Frees a job whose caller has its answer or is gone. */
void job_free(struct job *job);

double forward_now(const struct forward *forward);

#endif
