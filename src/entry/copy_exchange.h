/**
 * Gives VMs that start a copy of the watched tables. Such a VM asks for it in
 * its reports to the leader, and reads a table itself when no copy comes in
 * time. So the start of a fleet costs the store few calls a VM.
 */
#ifndef ENTRY_COPY_EXCHANGE_H
#define ENTRY_COPY_EXCHANGE_H

#include "base/event_log.h"
#include "entry/bulk_sender.h"
#include "entry/table_watch.h"

/** Tables, by their numbers in messages. */
enum copied_table {
	COPIED_OPERATOR_ROWS,
	COPIED_UPSTREAM_ROWS,
	COPIED_TABLES,
};

struct copy_exchange;

/** What the pointers refer to must outlive the exchange. */
struct copy_exchange_options {
	const struct loop *loop;
	struct bulk_sender *sender;
	struct event_log *log;
	struct table_watch *watches[COPIED_TABLES];
};

/**
 * Creates an exchange.
 *
 * @param options copied
 */
struct copy_exchange *
copy_exchange_create(const struct copy_exchange_options *options);

/** Frees the exchange; NULL is allowed. */
void copy_exchange_destroy(struct copy_exchange *exchange);

/** Whether this VM waits for a copy of any table. */
bool copy_exchange_waits(const struct copy_exchange *exchange);

/** Sets the wanted copies of this VM's report, which refers to the exchange. */
void copy_exchange_fill_report(struct copy_exchange *exchange,
			       VmReport *report);

/** As leader, notes the copies that a VM wants.
 *
 * @param report its vm must be set */
void copy_exchange_add_request(struct copy_exchange *exchange,
			       const VmReport *report,
			       const struct sockaddr_in *address);

/** As leader, sends the copies that VMs want.
 *
 * @param term version of the lease with which this VM began to lead */
void copy_exchange_send(struct copy_exchange *exchange, uint64_t term);

/** Handles a part of a copy. */
void copy_exchange_apply(struct copy_exchange *exchange,
			 const TableCopyPart *part);

/** Waits longer while the leader has not read the tables itself.
 *
 * @param beat a heartbeat of the leader */
void copy_exchange_observe_heartbeat(struct copy_exchange *exchange,
				     const LeaderBeat *beat);

#endif
