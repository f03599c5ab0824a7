#include "loadgen_run.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"
#include "pattern.h"

/* Sizes of text buffers. */
#define ID_SIZE 48
#define TOKEN_SIZE 48
#define URI_SIZE 256
/* Longest wait for a transfer or the timer. */
#define POLL_LIMIT_MS 100
#define PERCENT 100
#define NS_PER_SECOND INT64_C(1000000000)

struct loader;

/* A request in flight; curl's callbacks record its answer. */
struct request {
	CURL *easy;
	struct curl_slist *headers;
	const struct mix_item *item;
	unsigned int key;
	int64_t planned_us;
	/* Unique id of this request (Load-Id header), and its idempotency key,
	 * "" for none. */
	char load_id[ID_SIZE], work_id[ID_SIZE];
	char uri[URI_SIZE];
	char *body;
	/* Seed of the answer's expected body (pattern.h), and the hash of the
	 * request's body. */
	uint64_t answer_seed, body_hash;
	/* Bytes of the answer's body so far. */
	uint64_t received_bytes;
	/* Whether the answer's body so far is the expected one, and whether
	 * the answer's headers repeat this request's load id and the hash of
	 * its body. */
	bool body_matches, load_id_echoed, body_hash_echoed;
	/* Header values of the answer; "" when absent. */
	char verdict[TOKEN_SIZE], reason[TOKEN_SIZE], upstream[TOKEN_SIZE];
};

/* State of load_run(). */
struct loader {
	const struct load_plan *plan;
	struct report *report;
	CURLM *multi;
	GRand *rand;
	/* File descriptor of a timer that ends waits for transfers. */
	int timer;
	size_t target_count;
	unsigned int in_flight;
	/* Number of requests sent so far. */
	uint64_t sent;
	int64_t start_us;
};

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

/* libcurl callback: compares a part of the body with what is expected. */
static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct request *r = ctx;
	size_t len = size * count;

	if (r->body_matches)
		r->body_matches =
			pattern_match(r->answer_seed, r->received_bytes, data,
				      len) == len;
	r->received_bytes += len;
	return len;
}

/*
 * Copies a header line's value, without surrounding space, if the header has
 * this name; returns whether it has.
 */
static bool header_value(const char *line, size_t len, const char *name,
			 char *value, size_t size)
{
	size_t skip = strlen(name) + 1;

	if (len < skip || strncasecmp(line, name, skip - 1) != 0 ||
	    line[skip - 1] != ':')
		return false;
	g_strlcpy(value, "", size);
	snprintf(value, size, "%.*s", (int)(len - skip), line + skip);
	g_strstrip(value);
	return true;
}

/* libcurl callback: records the headers of the answer that are checked later.
 */
static size_t on_header(char *line, size_t size, size_t count, void *ctx)
{
	struct request *r = ctx;
	size_t len = size * count;
	char value[TOKEN_SIZE];

	if (header_value(line, len, "Auburn-Verdict", value, sizeof(value)))
		g_strlcpy(r->verdict, value, sizeof(r->verdict));
	else if (header_value(line, len, "Auburn-Reason", value, sizeof(value)))
		g_strlcpy(r->reason, value, sizeof(r->reason));
	else if (header_value(line, len, "Standin-Upstream", value,
			      sizeof(value)))
		g_strlcpy(r->upstream, value, sizeof(r->upstream));
	else if (header_value(line, len, "Load-Id", value, sizeof(value)))
		r->load_id_echoed = !strcmp(value, r->load_id);
	else if (header_value(line, len, "Standin-Body-Hash", value,
			      sizeof(value)))
		r->body_hash_echoed =
			g_ascii_strtoull(value, NULL, 10) == r->body_hash;
	return len;
}

/* Sets the URI, and the answer's seed, which depends on it. */
static void make_uri(struct request *r)
{
	char run[ID_SIZE] = "";

	if (r->item->run_us >= 0)
		snprintf(run, sizeof(run), "&run_us=%" PRId64, r->item->run_us);
	snprintf(r->uri, sizeof(r->uri), "/%s/k%u?bytes=%" PRId64 "%s",
		 r->item->service, r->key, r->item->bytes, run);
	r->answer_seed = pattern_seed(str_from(r->load_id), str_from(r->uri));
}

static void add_header(struct request *r, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	r->headers = curl_slist_append(r->headers, line);
	g_free(line);
}

/* Makes the request's body, which is sent with POST only. */
static void set_body(struct request *r)
{
	size_t len = (size_t)r->item->body;

	r->body = g_malloc(len + 1);
	pattern_fill(~r->answer_seed, 0, r->body, len);
	r->body_hash = hash_key((struct str){ r->body, len });
	if (!r->item->post)
		return;
	curl_easy_setopt(r->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(r->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
	curl_easy_setopt(r->easy, CURLOPT_POSTFIELDS, r->body);
	/* On a reused connection curl might send the POST a second time. */
	curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(r->easy, CURLOPT_FORBID_REUSE, 1L);
}

static void set_options(struct loader *l, struct request *r)
{
	size_t target =
		(size_t)g_rand_int_range(l->rand, 0, (gint32)l->target_count);
	char *url = g_strdup_printf("http://%s%s", l->plan->targets[target],
				    r->uri);

	curl_easy_setopt(r->easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(r->easy, CURLOPT_PRIVATE, r);
	curl_easy_setopt(r->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(r->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(r->easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(r->easy, CURLOPT_TIMEOUT_MS,
			 (long)l->plan->timeout_ms);
	curl_easy_setopt(r->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(r->easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(r->easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, r->headers);
	if (r->item->bytes_per_second)
		curl_easy_setopt(r->easy, CURLOPT_MAX_RECV_SPEED_LARGE,
				 (curl_off_t)r->item->bytes_per_second);
}

static struct request *new_request(struct loader *l,
				   const struct mix_item *item,
				   unsigned int key, int64_t planned_us)
{
	struct request *r = g_new0(struct request, 1);

	r->easy = curl_easy_init();
	r->item = item;
	r->key = key;
	r->planned_us = planned_us;
	r->body_matches = true;
	snprintf(r->load_id, sizeof(r->load_id), "L%" PRIu64 "-%" PRIu64,
		 l->plan->seed, ++l->sent);
	make_uri(r);
	return r;
}

static void start_request(struct loader *l, struct request *r)
{
	add_header(r, "Load-Id", r->load_id);
	if (*r->work_id)
		add_header(r, "Idempotency-Key", r->work_id);
	/* Stops curl from sending "Expect: 100-continue". */
	r->headers = curl_slist_append(r->headers, "Expect:");
	set_options(l, r);
	set_body(r);
	curl_multi_add_handle(l->multi, r->easy);
	l->in_flight++;
}

static void free_request(struct request *r)
{
	curl_easy_cleanup(r->easy);
	curl_slist_free_all(r->headers);
	g_free(r->body);
	g_free(r);
}

/*
 * Draws and sends the request that is due at planned_us. Of the requests with
 * an idempotency key, resend_percent are sent twice at once, with the same key.
 * Requests beyond the limit of requests in flight are counted as unsent.
 */
static void send_due(struct loader *l, int64_t planned_us)
{
	const struct load_plan *plan = l->plan;
	const struct mix_item *item =
		mix_at(plan->mix, mix_choose(plan->mix, l->rand));
	double elapsed = (double)(planned_us - l->start_us) / US_PER_SECOND;
	unsigned int shift = 0, key, copies = 1, i;
	char work_id[ID_SIZE] = "";

	if (plan->shift_seconds > 0)
		shift = (unsigned int)(elapsed / plan->shift_seconds);
	key = key_distribution_choose(plan->keys, l->rand, shift);
	if (item->send_idempotency_key) {
		snprintf(work_id, sizeof(work_id), "W%" PRIu64 "-%" PRIu64,
			 plan->seed, l->sent + 1);
		copies += g_rand_int_range(l->rand, 0, PERCENT) <
			  (gint32)plan->resend_percent;
	}
	for (i = 0; i < copies; i++) {
		struct request *r;

		if (l->in_flight >= plan->open_limit) {
			report_add_unsent(l->report);
			continue;
		}
		r = new_request(l, item, key, planned_us);
		g_strlcpy(r->work_id, work_id, sizeof(r->work_id));
		start_request(l, r);
	}
}

static enum outcome classify_result(const struct request *r, CURLcode code,
				    long status)
{
	if (code != CURLE_OK)
		return OUTCOME_BROKEN;
	if (*r->reason)
		return OUTCOME_REFUSED;
	if (status != 200 || !r->load_id_echoed || !r->body_matches ||
	    (r->item->post && !r->body_hash_echoed))
		return OUTCOME_WRONG;
	if (r->received_bytes != (uint64_t)r->item->bytes)
		return r->received_bytes < (uint64_t)r->item->bytes
			       ? OUTCOME_PARTIAL
			       : OUTCOME_WRONG;
	return OUTCOME_ANSWERED;
}

/* Adds the result of a completed transfer to the report and frees its request.
 */
static void finish_request(struct loader *l, CURL *easy, CURLcode code)
{
	struct request *r = NULL;
	struct result result = { 0 };
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&r);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	result.planned_us = r->planned_us;
	result.done_us = now_us();
	result.service = r->item->service;
	result.key = r->key;
	result.load_id = r->load_id;
	result.work_id = *r->work_id ? r->work_id : NULL;
	result.post = r->item->post;
	result.outcome = classify_result(r, code, status);
	result.verdict = r->verdict;
	result.reason = code == CURLE_OK ? r->reason : curl_easy_strerror(code);
	result.upstream = r->upstream;
	report_add(l->report, &result);
	curl_multi_remove_handle(l->multi, easy);
	free_request(r);
	l->in_flight--;
}

static void finish_completed(struct loader *l)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(l->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			finish_request(l, message->easy_handle,
				       message->data.result);
}

/* Arms the timerfd. curl's timeouts in whole ms are too coarse for arrivals. */
static void set_timer(struct loader *l, int64_t wait_us)
{
	struct itimerspec spec = { 0 };
	int64_t wait_ns = MAX(wait_us, 1) * NS_PER_US;

	spec.it_value.tv_sec = wait_ns / NS_PER_SECOND;
	spec.it_value.tv_nsec = wait_ns % NS_PER_SECOND;
	timerfd_settime(l->timer, 0, &spec, NULL);
}

/* Runs transfers and finishes completed ones, then waits for more, at most
 * until until_us or for POLL_LIMIT_MS. */
static void run_transfers(struct loader *l, int64_t until_us)
{
	struct curl_waitfd wait = { .fd = l->timer,
				    .events = CURL_WAIT_POLLIN };
	int running;

	curl_multi_perform(l->multi, &running);
	finish_completed(l);
	if (until_us <= now_us())
		return;
	set_timer(l, until_us - now_us());
	curl_multi_poll(l->multi, &wait, 1, POLL_LIMIT_MS, NULL);
}

/* Sends all requests. Times between arrivals are exponentially distributed. */
static void run_arrivals(struct loader *l)
{
	int64_t end_us =
		l->start_us + (int64_t)(l->plan->seconds * US_PER_SECOND);
	double due_seconds = 0;
	int64_t due_us = l->start_us;

	while (due_us < end_us) {
		while (now_us() < due_us)
			run_transfers(l, due_us);
		send_due(l, due_us);
		due_seconds -= log(1 - g_rand_double(l->rand)) / l->plan->rate;
		due_us = l->start_us + (int64_t)(due_seconds * US_PER_SECOND);
		run_transfers(l, now_us());
	}
}

double load_run(const struct load_plan *plan, struct report *report)
{
	struct loader l = { .plan = plan, .report = report };
	double seconds;

	l.multi = curl_multi_init();
	curl_multi_setopt(l.multi, CURLMOPT_MAXCONNECTS,
			  (long)plan->open_limit);
	l.rand = g_rand_new_with_seed((guint32)plan->seed);
	l.timer = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	l.target_count = g_strv_length(plan->targets);
	l.start_us = now_us();
	run_arrivals(&l);
	seconds = (double)(now_us() - l.start_us) / US_PER_SECOND;
	while (l.in_flight)
		run_transfers(&l, now_us() + POLL_LIMIT_MS * US_PER_MS);
	close(l.timer);
	g_rand_free(l.rand);
	curl_multi_cleanup(l.multi);
	return seconds;
}
