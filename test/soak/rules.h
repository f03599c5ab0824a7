/**
 * Rules about configurations, owners of keys, upstreams that leave and refused
 * requests, which hold at every moment of a run. The soak test records what it
 * does and what callers see, standin-site what upstreams and the store see
 * (site_event()); rules_check() judges both when the run is over. Times are
 * those of the monotonic clock in microseconds.
 */
#ifndef SOAK_RULES_H
#define SOAK_RULES_H

#include <stdbool.h>
#include <stdint.h>

/** Numbers of routes that configurations may have, and of VMs and upstreams. */
#define RULES_ROUTES 24
#define RULES_VMS 16
#define RULES_UPSTREAMS 64
/** In place of a service: the configuration lacks the route. */
#define RULES_NO_ROUTE (-1)

struct rules;

/** What disrupts a VM, an upstream's link or the store. Those of one kind at
 * one place don't overlap: a second one extends the first. */
enum rules_disruption {
	/** Place: a VM. From the signal to the next start. */
	RULES_STOPPED,
	RULES_FROZEN,
	/** Place: a VM. Its link to the store is cut or harmed, or slow. */
	RULES_STORE_LINK,
	RULES_STORE_DELAY,
	/** Place: a VM. Its links to other VMs. */
	RULES_PEER_LINK,
	/** Place: an upstream. The links of all VMs to it, as above. */
	RULES_UPSTREAM_LINK,
	RULES_UPSTREAM_DELAY,
	/** Place: 0. */
	RULES_STORE,
};

/** A configuration: the index of each route's service, in the order of the
 * services in rules_create(). */
struct rules_config {
	signed char services[RULES_ROUTES];
	/** When it was sent to the store, and when the store acknowledged it;
	 * INT64_MAX: not yet. */
	int64_t sent_us, acked_us;
};

/** A request of a caller, and its response. */
struct rules_request {
	char id[32];
	unsigned int vm, route;
	int64_t sent_us, ended_us;
	/** Status of the response; 0: there was none. */
	int status;
	/** The response is not an upstream's. */
	bool own;
};

/** How much was judged: executions and refusals with 404, and those of them by
 * VMs in touch, for which the bounds hold. */
struct rules_counts {
	unsigned int all, in_touch;
};

/** Is called with the text of each violation. */
typedef void (*rules_report_fn)(const char *text, void *ctx);

/**
 * @param services names of the services, ended by NULL; not copied
 * @param start_us start of all VMs
 */
struct rules *rules_create(const char *const *services, int64_t start_us);
void rules_destroy(struct rules *rules);

/** Records the begin and the end of a disruption. The end of one that hasn't
 * begun is ignored. */
void rules_begin(struct rules *rules, enum rules_disruption kind,
		 unsigned int place);
void rules_end(struct rules *rules, enum rules_disruption kind,
	       unsigned int place);

/** Records a disruption without duration, such as a reset. */
void rules_pulse(struct rules *rules, enum rules_disruption kind,
		 unsigned int place);

/** Records a valid configuration, newer than those before. It's copied. */
void rules_add_config(struct rules *rules, const struct rules_config *config);

/** Records a request when its response is there. It's copied. */
void rules_add_request(struct rules *rules,
		       const struct rules_request *request);

/**
 * Checks the whole run. Call it once.
 *
 * @param events file that standin-site wrote
 */
struct rules_counts rules_check(struct rules *rules, const char *events,
				rules_report_fn report, void *ctx);

#endif
