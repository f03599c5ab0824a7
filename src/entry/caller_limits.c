#include "entry/caller_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#define BYTES_PER_MB (1024.0 * 1024.0)
/* Part of the memory that callers' requests and unread answers may take, and
 * the part of the memory, within that, which is kept for callers of little. The
 * first without the second holds a body of 64 MiB on a VM of 120 MB. The
 * answers of upstreams take a quarter besides (main.c), and 0.15 are left for
 * the tables, which take 9 to 16 MB. */
#define MEMORY_PART 0.6
#define RESERVE_PART 0.05
/* Part of the memory that the receive buffers of callers' connections take, and
 * bytes of answers that the system hasn't sent. It lies within the part that is
 * left for tables. */
#define SYSTEM_PART 0.1
/* Most connections to each of the addresses for readiness and metrics. */
#define OPERATOR_CONNECTIONS 8
/* Allocations from this size on are mapped by themselves and given back to the
 * system when freed: while callers hold much, and otherwise. Smaller blocks
 * leave holes in the heap, which stay resident: with 128 KiB, 2,200 callers
 * with bodies of 100 KB took 134 MB where the budget was 75 MB. Mapping costs
 * processor time: with 16 KiB in calm, a request with an answer of 64 KiB took
 * 137 us instead of 96. */
#define MMAP_BYTES_PRESSED (16 * 1024)
#define MMAP_BYTES_CALM (1024 * 1024)

struct refusal_info {
	/** Reason in log lines and in the metric's label. */
	const char *reason;
	/** Name of the log event. */
	const char *event;
};

static const struct refusal_info infos[CALLER_REFUSALS] = {
	[CALLER_REFUSED_MEMORY] = { "memory", "refused" },
	[CALLER_CLOSED_MEMORY] = { "memory_unread", "closed" },
	[CALLER_REFUSED_CONNECTIONS] = { "connections", "refused" },
	[CALLER_CLOSED_IDLE] = { "connections_idle", "closed" },
	[CALLER_CLOSED_UNREAD] = { "connections_unread", "closed" },
	[CALLER_NO_DESCRIPTOR] = { "no_descriptor", "paused" },
};

/* Values of the label "use". */
static const char *const use_names[DESCRIPTOR_USES] = {
	[DESCRIPTOR_SYSTEM] = "system",
	[DESCRIPTOR_CALLER] = "callers",
	[DESCRIPTOR_UPSTREAM] = "upstreams",
};

static void on_refused(void *ctx, enum caller_refusal refusal, size_t held)
{
	struct caller_limits *limits = ctx;

	counter_add(limits->refusals[refusal], 1);
	event_log_write(limits->log, "warning", "callers",
			"event=%s reason=%s held=%zu all=%zu limit=%zu",
			infos[refusal].event, infos[refusal].reason, held,
			limits->budget.used, limits->budget.limit);
}

/* Gives freed memory back to the system after a peak, and while callers take
 * turns at the limit; small blocks stay in the heap otherwise. */
static void on_fell(void *ctx)
{
	(void)ctx;
	malloc_trim(0);
}

static void on_pressed(void *ctx, bool pressed)
{
	(void)ctx;
	mallopt(M_MMAP_THRESHOLD,
		pressed ? MMAP_BYTES_PRESSED : MMAP_BYTES_CALM);
	if (pressed)
		malloc_trim(0);
}

/* Returns the number of descriptors that the process may open. */
static double descriptor_limit(const struct entry_settings *settings)
{
	struct rlimit allowed;

	if (!getrlimit(RLIMIT_NOFILE, &allowed) &&
	    allowed.rlim_cur != RLIM_INFINITY)
		return MIN(settings->descriptors, (double)allowed.rlim_cur);
	return settings->descriptors;
}

static void init_operator_budget(struct caller_budget *budget)
{
	budget->limit = G_MAXSIZE;
	budget->connections = OPERATOR_CONNECTIONS;
	budget->use = DESCRIPTOR_SYSTEM;
	g_queue_init(&budget->holders);
}

static void init_descriptors(struct caller_limits *limits,
			     const struct entry_settings *settings,
			     struct metrics *metrics)
{
	int i;

	limits->descriptors =
		descriptors_create((unsigned int)descriptor_limit(settings));
	for (i = 0; i < DESCRIPTOR_USES; i++) {
		char label[64];

		g_snprintf(label, sizeof(label), "use=\"%s\"", use_names[i]);
		limits->open[i] =
			metrics_gauge(metrics, "auburn_descriptors", label,
				      "Open connections by what they are for.");
	}
}

void caller_limits_init(struct caller_limits *limits,
			const struct entry_settings *settings,
			struct event_log *log, struct metrics *metrics)
{
	double memory = settings->memory_mb * BYTES_PER_MB;
	int i;

	limits->log = log;
	limits->budget.limit = (size_t)(memory * MEMORY_PART);
	limits->budget.reserve = (size_t)(memory * RESERVE_PART);
	limits->budget.system_bytes = (size_t)(memory * SYSTEM_PART);
	init_descriptors(limits, settings, metrics);
	init_operator_budget(&limits->readiness);
	init_operator_budget(&limits->operators);
	limits->budget.connections =
		descriptors_limit(limits->descriptors, DESCRIPTOR_CALLER);
	limits->budget.use = DESCRIPTOR_CALLER;
	limits->budget.body_timeout_s = settings->body_timeout_s;
	g_queue_init(&limits->budget.holders);
	limits->budget.refused = on_refused;
	limits->budget.fell = on_fell;
	limits->budget.pressed = on_pressed;
	limits->budget.ctx = limits;
	limits->bytes = metrics_gauge(
		metrics, "auburn_caller_bytes", "",
		"Bytes held for callers: requests, and answers not yet read.");
	limits->bytes_peak =
		metrics_gauge(metrics, "auburn_caller_bytes_peak", "",
			      "Highest value of "
			      "auburn_caller_bytes.");
	limits->connections =
		metrics_gauge(metrics, "auburn_caller_connections", "",
			      "Connections of callers.");
	limits->full_turns = metrics_counter(
		metrics, "auburn_caller_full_turns_total", "",
		"Iterations of the event loop that left callers unread.");
	limits->buffer_bytes =
		metrics_gauge(metrics, "auburn_caller_buffer_bytes", "",
			      "Receive buffer of each caller's connection.");
	for (i = 0; i < CALLER_REFUSALS; i++) {
		char label[64];

		g_snprintf(label, sizeof(label), "reason=\"%s\"",
			   infos[i].reason);
		limits->refusals[i] = metrics_counter(
			metrics, "auburn_caller_refusals_total", label,
			"Requests and connections of callers that were refused "
			"or closed at a limit of memory or descriptors.");
	}
	mallopt(M_MMAP_THRESHOLD, MMAP_BYTES_CALM);
	mallopt(M_TRIM_THRESHOLD, MMAP_BYTES_CALM);
}

void caller_limits_clear(struct caller_limits *limits)
{
	descriptors_destroy(limits->descriptors);
	limits->descriptors = NULL;
}

void caller_limits_tick(struct caller_limits *limits)
{
	unsigned int open =
		descriptors_open(limits->descriptors, DESCRIPTOR_UPSTREAM);
	unsigned int limit =
		descriptors_limit(limits->descriptors, DESCRIPTOR_UPSTREAM);
	bool full = open >= limit;

	if (full != limits->upstreams_full)
		event_log_write(limits->log, full ? "warning" : "info",
				"descriptors",
				"event=%s use=upstreams open=%u limit=%u "
				"callers=%u system=%u",
				full ? "full" : "room", open, limit,
				descriptors_open(limits->descriptors,
						 DESCRIPTOR_CALLER),
				descriptors_open(limits->descriptors,
						 DESCRIPTOR_SYSTEM));
	limits->upstreams_full = full;
}

void caller_limits_update_metrics(struct caller_limits *limits,
				  const struct http_server *server)
{
	int i;

	counter_set(limits->bytes, limits->budget.used);
	counter_set(limits->bytes_peak, limits->budget.peak);
	counter_set(limits->connections, http_server_connections(server));
	counter_set(limits->full_turns, http_server_full_turns(server));
	counter_set(limits->buffer_bytes, http_server_buffer_bytes(server));
	for (i = 0; i < DESCRIPTOR_USES; i++)
		counter_set(limits->open[i],
			    descriptors_open(limits->descriptors,
					     (enum descriptor_use)i));
}
