/**
 * Internals of a request, shared by request.c (the request as a whole),
 * request_copy.c (its copies: first try, retries and backups at upstreams) and
 * request_claim.c (its claim in the platform's table).
 */
#ifndef ROUTER_REQUEST_INTERNAL_H
#define ROUTER_REQUEST_INTERNAL_H

#include "http/target.h"
#include "request/attempt.h"
#include "request/claim.h"
#include "router/control.h"
#include "router/request.h"
#include "router/worker.h"

/** Stages of one copy. */
enum copy_stage {
	/** copy_send() was not called for this copy. */
	COPY_NONE,
	/** The copy waits for the owner map to name an upstream that accepts
	 * work. */
	COPY_NO_OWNER,
	/** The ticket is in the admission queue or in the worker's mailbox. */
	COPY_QUEUED,
	/** The copy has an exchange with an upstream. */
	COPY_RUNNING,
	COPY_ENDED,
};

/** One try to run a request at an upstream. */
struct copy {
	/** The request that the copy belongs to; NULL before copy_send(). */
	struct request *request;
	enum copy_stage stage;
	struct ticket ticket;
	/** The copy was cancelled while its ticket was in the mailbox. The slot
	 * is released on delivery. */
	bool abandoned;
	/** The exchange with the upstream; NULL before it starts and after it
	 * ended. */
	struct exchange *exchange;
	/** Control address of the upstream. */
	struct sockaddr_in control_address;
	/** Epoch of the key's slice when the copy was sent. Before that, the
	 * epoch at which the previous copy got a not-owner answer; 0 if it got
	 * none. */
	uint64_t epoch;
	/** When the exchange started. */
	int64_t started_us;
	/** Delay from started_us after which a backup request is sent;
	 * INT64_MAX when none is to be sent. */
	int64_t backup_us;
	/** When the copy stops to wait for an owner of its key, and fails. */
	int64_t owner_wait_end_us;
	/** Earliest time to send again to the owner that refused the last copy.
	 */
	int64_t owner_retry_us;
	/** ATTEMPT_SENT was reported to the attempt. */
	bool sent_reported;
	/** The head of the answer was handled. */
	bool head_handled;
};

/** Stages of a request. CLAIMING and CLOSING are skipped without a claim. */
enum request_stage {
	/** The upload is buffered before the first copy is sent. */
	REQUEST_UPLOADING,
	/** The control thread acquires the claim. */
	REQUEST_CLAIMING,
	/** The attempt decides which copies to send. */
	REQUEST_RUNNING,
	/** The control thread writes the outcome to the table. */
	REQUEST_CLOSING,
	/** The request was answered, refused or aborted; copies may still be in
	 * flight. */
	REQUEST_DONE,
};

struct request {
	struct worker *worker;
	/** The caller's connection and exchange; NULL after that has ended. */
	struct caller *caller;
	/** Link in worker.requests. */
	GList link;
	/** Link in worker.scheduled, while scheduled is set. */
	GList scheduled_link;
	bool scheduled;
	enum request_stage stage;
	/** Service and key, parsed from path. */
	struct target target;
	/** Request target as the caller sent it. */
	char *path;
	char *method;
	/** Buffer of the request body. */
	struct body *upload;
	/** Request id, for the upstream and for operators. */
	char id[CALLER_ID_SIZE];
	/** NULL until the service was found. */
	struct dispatch_service *service;
	/** The service's profile when the request arrived. Its name is NULL, as
	 * the name's memory belongs to a view that may be freed. */
	struct profile profile;
	/** Only the upstream that owns the key may run the request. */
	bool keyed;
	/** Hash of the key. */
	uint64_t hash;
	/** Fingerprint of the request, from poison_fingerprint(). */
	uint64_t fingerprint;
	/** When the head of the request was complete. */
	int64_t arrived_us;
	/** When the answer must have begun. */
	int64_t deadline_us;
	/** When to check next whether the caller has disconnected. */
	int64_t caller_check_us;
	/** Decides on copies, retries and the verdict; NULL before
	 * REQUEST_RUNNING. */
	struct attempt *attempt;
	struct copy copies[ATTEMPT_MAX];
	uint32_t copy_count;
	/** The copy whose answer is passed to the caller. */
	struct copy *winner;
	/** A connection broke after the request was sent: the crash report must
	 * reach other routers before the caller gets the refusal. */
	bool connection_broke;
	/** Earliest time of a refusal after a broken connection; 0 until the
	 * refusal is decided. */
	int64_t refuse_not_before_us;
	/** Number of not-owner answers to this request. */
	uint32_t not_owner_count;
	/** Highest map epoch that a not-owner answer named. */
	uint64_t not_owner_epoch;
	/** Claim of the request's idempotency key. NULL when the request has no
	 * such key, or its profile does not have once set. */
	struct claim *claim;
	struct claim_job claim_job;
	/** claim_job belongs to the control thread; do not free the request. */
	bool claim_job_sent;
	/** The answer_* fields hold an answer that waits for the outcome to be
	 * in the table. */
	bool answer_pending;
	unsigned int answer_status;
	int64_t answer_length;
	struct headers *answer_headers;
	struct body *answer_body;
	/** The upload exceeded the profile's body_limit. */
	bool too_large;
	/** Outcome of the request, set when it is known. */
	struct verdict verdict;
};

/** Starts the copy that an ATTEMPT_SEND action of attempt_next() names. */
void copy_send(struct request *request, const struct attempt_action *action);

/** Handles the progress or end of a copy's exchange. */
void copy_handle_progress(struct copy *copy);

/** Cancels a copy: withdraws it from the queue or aborts its exchange. */
void copy_cancel(struct copy *copy);

/** Checks a copy's timeouts and whether its key has another owner. */
void copy_tick(struct copy *copy);

/** Reports an event of one copy to the attempt. */
void copy_event(struct copy *copy, enum attempt_event_kind kind,
		enum verdict_reason reason);

/** Reports an event of the whole request to the attempt. */
void request_event(struct request *request, enum attempt_event_kind kind);

/** Carries out the attempt's actions until the attempt has to wait. */
void request_run_actions(struct request *request);

/** Refuses the request. Records the outcome first when the request holds a
 * claim. */
void request_refuse(struct request *request, struct verdict verdict);

/** Passes the winner's answer to the caller, or saves it until the outcome is
 * recorded in the claim. */
void request_answer(struct request *request);

/** Sends the refusal to the caller and completes the request. */
void request_send_refusal(struct request *request, struct verdict verdict);

/** Completes the request: updates metrics and the request history. */
void request_complete(struct request *request, enum verdict_kind kind);

/** Starts to acquire the claim of the request's idempotency key. */
void request_claim(struct request *request);

/** Starts to record the outcome in the claim. */
void request_record_outcome(struct request *request);

/** Creates the attempt and sends the first copy. */
void request_start(struct request *request);

#endif
