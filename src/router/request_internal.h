/**
 * Shared by request.c (the request as a whole), request_copy.c (its copies at
 * upstreams) and request_claim.c (its claim in the table).
 */
#ifndef ROUTER_REQUEST_INTERNAL_H
#define ROUTER_REQUEST_INTERNAL_H

#include "http/target.h"
#include "request/attempt.h"
#include "request/claim.h"
#include "router/control.h"
#include "router/request.h"
#include "router/worker.h"

enum copy_stage {
	COPY_NONE,
	/** Its key has no owner that takes work; the map may change. */
	COPY_NO_OWNER,
	/** In the queue, or its ticket on the way here. */
	COPY_QUEUED,
	/** Has an exchange. */
	COPY_RUNNING,
	COPY_ENDED,
};

/** One copy of a request. */
struct copy {
	struct request *request;
	enum copy_stage stage;
	struct ticket ticket;
	/** The ticket is to be given back when it arrives. */
	bool abandoned;
	struct exchange *exchange;
	struct sockaddr_in control;
	/** Epoch of the slice it was sent under. */
	uint64_t epoch;
	int64_t started_us;
	int64_t backup_us;
	/** When the wait for an owner ends, and when to look again. */
	int64_t owner_until_us;
	int64_t owner_next_us;
	bool sent_told;
	bool head_told;
};

enum request_stage {
	/** Takes in the upload, as much as is kept. */
	REQUEST_UPLOADING,
	/** The claim is with the control thread. */
	REQUEST_CLAIMING,
	REQUEST_RUNNING,
	/** The outcome is on its way to the table. */
	REQUEST_CLOSING,
	/** Answered, refused or broken. */
	REQUEST_OVER,
};

struct request {
	struct worker *worker;
	/** NULL once it ended. */
	struct caller *caller;
	GList link;
	GList touched_link;
	bool touched;
	enum request_stage stage;
	struct target target;
	char *path;
	char *method;
	struct body *upload;
	char id[CALLER_ID_SIZE];
	struct dispatch_service *service;
	/** The profile's values when the request came; no texts. */
	struct profile profile;
	bool keyed;
	uint64_t hash;
	uint64_t fingerprint;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t gone_check_us;
	struct attempt *attempt;
	struct copy copies[ATTEMPT_MAX];
	uint32_t copy_count;
	/** The copy whose answer the caller gets. */
	struct copy *winner;
	/** A connection broke: others must hear of it before the caller. */
	bool broke;
	int64_t hold_until_us;
	uint32_t refusals;
	/** Highest epoch that an upstream told when it refused. */
	uint64_t told_epoch;
	/** Under a once profile. */
	struct claim *claim;
	struct claim_job claim_job;
	bool claim_away;
	/** The answer waits until the outcome is in the table. */
	bool answer_held;
	unsigned int held_status;
	int64_t held_length;
	struct headers *held_headers;
	struct body *held_body;
	/** Its upload grew beyond the profile's limit. */
	bool too_large;
	struct verdict verdict;
};

/** Starts a copy, as attempt_next() asked. */
void copy_send(struct request *request, const struct attempt_action *action);

/** Takes in what happened on a copy's exchange. */
void copy_collect(struct copy *copy);

/** Ends a copy from this side. */
void copy_cancel(struct copy *copy);

/** Lets time pass. */
void copy_tick(struct copy *copy);

/** Reports to the attempt. */
void copy_event(struct copy *copy, enum attempt_event_kind kind,
		enum verdict_reason reason);

/** Reports what concerns the request as a whole to the attempt. */
void request_event(struct request *request, enum attempt_event_kind kind);

/** Does what the attempt asks for. */
void request_run(struct request *request);

/** Ends the request without an answer of an upstream. */
void request_refuse(struct request *request, struct verdict verdict);

/** Passes the winner's answer on. */
void request_answer(struct request *request);

/** Tells the caller of a refusal; the request is over. */
void request_say_refusal(struct request *request, struct verdict verdict);

/** The request is over; counts what became of it. */
void request_over(struct request *request, enum verdict_kind kind);

/** Begins to claim. */
void request_claim(struct request *request);

/** Begins to record the outcome. */
void request_close_claim(struct request *request);

/** Starts with the first copy. */
void request_start(struct request *request);

#endif
