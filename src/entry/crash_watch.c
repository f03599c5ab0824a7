#include "entry/crash_watch.h"

#include <inttypes.h>

struct crash_watch {
	struct crash_watch_options options;
	struct crash_list *list;
	/** Metrics; create_metrics() describes each. */
	struct counter *suspicions;
	struct counter *expired;
	struct counter *blames;
	struct counter *learned;
	struct counter *cleared;
	struct counter *blocked;
};

static double now_of(const struct crash_watch *watch)
{
	return loop_now(watch->options.loop);
}

static void create_metrics(struct crash_watch *watch)
{
	struct metrics *m = watch->options.metrics;

	watch->suspicions = metrics_counter(
		m, "auburn_crash_suspicions_total", "",
		"Connections to upstreams that broke under a request.");
	watch->expired = metrics_counter(
		m, "auburn_crash_suspicions_expired_total", "",
		"Suspicions dropped because the upstream was not seen down.");
	watch->blames =
		metrics_counter(m, "auburn_crash_blames_total", "",
				"Crashes that this VM blamed on a request.");
	watch->learned =
		metrics_counter(m, "auburn_crash_blames_learned_total", "",
				"Crashes that another VM blamed on a request.");
	watch->cleared = metrics_counter(
		m, "auburn_crash_cleared_total", "",
		"Suspected or blamed requests cleared by an answer.");
	watch->blocked = metrics_gauge(m, "auburn_crash_blocked", "",
				       "Requests that this VM blocks.");
}

struct crash_watch *
crash_watch_create(const struct crash_watch_options *options)
{
	struct crash_watch *watch = g_new0(struct crash_watch, 1);

	watch->options = *options;
	watch->list = crash_list_create();
	create_metrics(watch);
	return watch;
}

void crash_watch_destroy(struct crash_watch *watch)
{
	if (!watch)
		return;
	crash_list_destroy(watch->list);
	g_free(watch);
}

/* Logs an event of a request and an upstream.
 *
 * @param upstream "-": the event isn't about one upstream */
static void log_crash(const struct crash_watch *watch, const char *level,
		      const char *event, uint64_t request, const char *upstream)
{
	event_log_write(watch->options.log, level, "crashes",
			"event=%s request=%016" PRIx64 " upstream=%s "
			"crashes=%u blocked=%d",
			event, request, upstream,
			crash_list_crashes(watch->list, request),
			crash_watch_blocks(watch, request));
}

void crash_watch_connection_lost(struct crash_watch *watch,
				 const struct crash *crash, struct str id)
{
	crash_list_add_suspect(watch->list, crash, now_of(watch));
	counter_add(watch->suspicions, 1);
	event_log_write(watch->options.log, "info", "crashes",
			"event=suspected id=%.*s request=%016" PRIx64
			" upstream=%s crashes=%u",
			STR_ARG(id), crash->request, crash->upstream,
			crash_list_crashes(watch->list, crash->request));
}

static void on_blamed(void *ctx, const struct crash *crash)
{
	struct crash_watch *watch = ctx;

	counter_add(watch->blames, 1);
	log_crash(watch, "warning", "blamed", crash->request, crash->upstream);
	watch->options.blamed(watch->options.ctx, crash);
}

void crash_watch_refused(struct crash_watch *watch, const char *upstream)
{
	crash_list_upstream_lost(watch->list, upstream, now_of(watch),
				 on_blamed, watch);
}

bool crash_watch_learn(struct crash_watch *watch, const struct crash *crash)
{
	if (!crash_list_blame(watch->list, crash, now_of(watch)))
		return false;
	counter_add(watch->learned, 1);
	log_crash(watch, "warning", "blame_learned", crash->request,
		  crash->upstream);
	return true;
}

bool crash_watch_learn_block(struct crash_watch *watch, uint64_t request,
			     double left_s)
{
	if (!crash_list_block(watch->list, request, left_s, now_of(watch)))
		return false;
	log_crash(watch, "warning", "block_learned", request, "-");
	return true;
}

bool crash_watch_clear(struct crash_watch *watch, uint64_t request)
{
	bool known = crash_list_crashes(watch->list, request) ||
		     crash_watch_blocks(watch, request);

	if (!crash_list_clear_request(watch->list, request))
		return false;
	counter_add(watch->cleared, 1);
	log_crash(watch, "info", "cleared_by_answer", request, "-");
	return known;
}

void crash_watch_renew_block(struct crash_watch *watch, uint64_t request)
{
	crash_list_renew_block(watch->list, request, now_of(watch));
}

void crash_watch_answered(struct crash_watch *watch, uint64_t request)
{
	if (crash_watch_clear(watch, request))
		watch->options.cleared(watch->options.ctx, request);
}

bool crash_watch_blocks(const struct crash_watch *watch, uint64_t request)
{
	return crash_list_blocks(watch->list, request, now_of(watch));
}

bool crash_watch_refuses(struct crash_watch *watch, uint64_t request)
{
	if (!crash_watch_blocks(watch, request))
		return false;
	crash_watch_renew_block(watch, request);
	watch->options.refused(watch->options.ctx, request);
	return true;
}

void crash_watch_each_blocked(const struct crash_watch *watch,
			      void (*visit)(void *ctx, uint64_t request,
					    double left_s),
			      void *ctx)
{
	crash_list_each_blocked(watch->list, now_of(watch), visit, ctx);
}

static void on_expired(void *ctx, const struct crash *crash)
{
	struct crash_watch *watch = ctx;

	counter_add(watch->expired, 1);
	log_crash(watch, "info", "suspicion_expired", crash->request,
		  crash->upstream);
}

static void count_blocked(void *ctx, uint64_t request, double left_s)
{
	unsigned int *count = ctx;

	(void)request;
	(void)left_s;
	(*count)++;
}

void crash_watch_tick(struct crash_watch *watch)
{
	unsigned int blocked = 0;

	crash_list_expire(watch->list, now_of(watch), on_expired, watch);
	crash_watch_each_blocked(watch, count_blocked, &blocked);
	counter_set(watch->blocked, blocked);
}
