/*
 * Requests carry API keys of customers, which a configuration names. The
 * stand-in upstreams record which fields about the customer they got.
 */
#include <stdio.h>
#include <string.h>

#include "cluster_entry.h"
#include "suite.h"

#define ENTRIES 3
/* Time from a change of the configuration until it must be in force. */
#define APPLY_US ((gulong)25 * G_USEC_PER_SEC / 10)
/* Requests that fill the upstreams of the service "plain", others that wait for
 * room, and how long each of them runs. */
#define FILLERS 12
#define WAITERS 6
#define FILLER_URI "/plain/work-ms-2500"

/* A configuration; a format string whose arguments are the version and the rows
 * of customers. The objective of the route "plain", 5 s, is near the time that
 * FILLER_URI takes, so that entry daemons expect upstreams to be busy for as
 * long and queue requests instead of sending them. */
#define CONFIG                                                                 \
	"{\"version\":\"r%u\",\"routes\":{\"columns\":[\"name\",\"host\","     \
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","            \
	"\"service\",\"max_attempts\",\"public\"],\"rows\":["                  \
	"[\"plain\",\"app.example\",\"/plain/\",\"safe\",6,5,1,\"plain\",2,"   \
	"null],"                                                               \
	"[\"open\",\"app.example\",\"/plain/open/\",\"safe\",6,0.5,1,"         \
	"\"plain\",2,true]]},"                                                 \
	"\"services\":{\"columns\":[\"name\",\"max_conns\"],"                  \
	"\"rows\":[[\"plain\",130],[\"other\",130],[\"keyed\",130]]},"         \
	"\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\","        \
	"\"rate_per_s\",\"burst\"],\"rows\":[%s]},"                            \
	"\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"     \
	"\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
#define ROW_A "[\"a\",[\"keya1\",\"keya2\"],null,null,null]"
#define ROW_A_OTHER_KEY "[\"a\",[\"keya2\",\"keya3\"],null,null,null]"
#define ROW_URGENT ",[\"u\",[\"keyu\"],0,null,null]"
#define ROW_B ",[\"b\",[\"keyb\"],1,null,null]"

/* A customer with a quota of QUOTA_PER_S requests per second and as many
 * beyond, and the most that it may send within 5 s: (rate x 5 + burst) x 1.1 +
 * 20. */
#define QUOTA_PER_S 20
#define QUOTA_WINDOW_US ((gint64)5 * G_USEC_PER_SEC)
#define QUOTA_MOST 152
#define ROW_QUOTA ",[\"q\",[\"keyq\"],1,20,20]"

static struct entry_rig rig;

static void put_config(unsigned int version, const char *customers)
{
	char *text = g_strdup_printf(CONFIG, version, customers);

	entry_rig_command(&rig, "/control/config", text);
	g_free(text);
}

static void setup(void)
{
	entry_rig_start(&rig, ENTRIES, 6);
	put_config(2, ROW_A ROW_B ROW_URGENT ROW_QUOTA);
	g_usleep(APPLY_US);
}

/* Starts a request with an API key.
 *
 * @param key NULL: none
 * @param extra another header line
 * @param id at least 32 bytes; set to the new request id */
struct call {
	char id[32], id_line[64], key_line[64];
	const char *headers[6];
	struct http_request request;
};

static void call_init(struct call *call, const struct entry *entry,
		      const char *uri, const char *key, const char *extra)
{
	static unsigned int last_id;
	unsigned int count = 0;

	g_snprintf(call->id, sizeof(call->id), "c%u", ++last_id);
	g_snprintf(call->id_line, sizeof(call->id_line), "X-Request-Id: %s",
		   call->id);
	memset(call->headers, 0, sizeof(call->headers));
	call->headers[count++] = "Host: app.example";
	call->headers[count++] = "X-Deadline-Ms: 6000";
	call->headers[count++] = call->id_line;
	if (key) {
		g_snprintf(call->key_line, sizeof(call->key_line),
			   "Authorization: Token %s", key);
		call->headers[count++] = call->key_line;
	}
	if (extra)
		call->headers[count++] = extra;
	call->request = (struct http_request){
		.address = entry->callers,
		.uri = uri,
		.headers = call->headers,
	};
}

static struct http_answer *send_call(struct call *call, unsigned int entry,
				     const char *uri, const char *key,
				     const char *extra)
{
	call_init(call, &rig.entries[entry], uri, key, extra);
	return http_send(&call->request);
}

static long status_of(unsigned int entry, const char *uri, const char *key)
{
	struct call call;
	struct http_answer *answer = send_call(&call, entry, uri, key, NULL);
	long status = answer->status;

	http_answer_destroy(answer);
	return status;
}

/* Returns whether the last run of a request had these fields about the
 * customer. */
static bool upstream_got(const char *id, const char *fields)
{
	char *uri = g_strdup_printf("/control/runs?id=%s", id);
	char *expected = g_strdup_printf("\"customer\":\"%s\"", fields);
	GString *text = entry_rig_query(&rig, uri, NULL);
	bool got = strstr(text->str, expected) != NULL;

	g_string_free(text, TRUE);
	g_free(expected);
	g_free(uri);
	return got;
}

/* Guards against requests that are served without a key, and upstreams that get
 * a key or a name that a caller made up. */
static void keys_decide_and_are_not_passed_on(void)
{
	static const struct {
		const char *uri;
		const char *key;
		const char *extra;
		long status;
		/** Fields that the upstream gets; NULL: it gets no request. */
		const char *fields;
	} rows[] = {
		{ "/plain/x", "keya1", NULL, 200,
		  "customer=a authorization=-" },
		{ "/plain/x", "keya2", NULL, 200,
		  "customer=a authorization=-" },
		{ "/plain/x", "keyb", "X-Tenant: a", 200,
		  "customer=b authorization=-" },
		{ "/plain/x", "keyb", "x-tenant: a", 200,
		  "customer=b authorization=-" },
		{ "/plain/x", "other", NULL, 401, NULL },
		{ "/plain/x", "other", "X-Tenant: a", 401, NULL },
		{ "/plain/x", NULL, NULL, 401, NULL },
		{ "/plain/x", NULL, "Authorization: Bearer keya1", 401, NULL },
		{ "/plain/open/x", NULL, NULL, 200,
		  "customer=- authorization=-" },
		{ "/plain/open/x", "other", "X-Tenant: a", 200,
		  "customer=- authorization=-" },
		{ "/plain/open/x", "keyb", NULL, 200,
		  "customer=b authorization=-" },
		{ "/nowhere/x", NULL, NULL, 401, NULL },
		{ "/nowhere/x", "keya1", NULL, 404, NULL },
	};
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct call call;
		struct http_answer *answer =
			send_call(&call, i % ENTRIES, rows[i].uri, rows[i].key,
				  rows[i].extra);

		CU_ASSERT_EQUAL(answer->status, rows[i].status);
		CU_ASSERT_EQUAL(entry_rig_runs(&rig, call.id),
				rows[i].fields ? 1 : 0);
		if (rows[i].fields)
			CU_ASSERT_TRUE(upstream_got(call.id, rows[i].fields));
		if (answer->status == 401)
			CU_ASSERT_STRING_EQUAL(
				http_header(answer, "www-authenticate"),
				"Token");
		http_answer_destroy(answer);
	}
	entry_rig_stop(&rig);
}

/* Guards against changing the fields of deployments without customers. */
static void both_fields_are_passed_on_without_customers(void)
{
	struct call call;
	struct http_answer *answer;

	entry_rig_start(&rig, 1, 6);
	answer = send_call(&call, 0, "/plain/x", "any", "X-Tenant: caller");
	CU_ASSERT_EQUAL(answer->status, 200);
	CU_ASSERT_TRUE(upstream_got(call.id,
				    "customer=caller authorization=Token any"));
	http_answer_destroy(answer);
	entry_rig_stop(&rig);
}

/* Guards against a removed key that is still served, or an added one that
 * isn't, once the change must be in force, also on a VM that was frozen. */
static void changes_of_keys_are_in_force_in_time(void)
{
	struct call late;
	struct http_task *task;
	struct http_answer *answer;
	unsigned int i;

	setup();
	process_freeze(rig.entries[1].process);
	put_config(3, ROW_A_OTHER_KEY ROW_B);
	g_usleep(APPLY_US);
	for (i = 0; i < ENTRIES; i += 2) {
		CU_ASSERT_EQUAL(status_of(i, "/plain/x", "keya1"), 401);
		CU_ASSERT_EQUAL(status_of(i, "/plain/x", "keya2"), 200);
		CU_ASSERT_EQUAL(status_of(i, "/plain/x", "keya3"), 200);
	}
	call_init(&late, &rig.entries[1], "/plain/x", "keya1", NULL);
	task = http_start(&late.request);
	g_usleep(G_USEC_PER_SEC);
	process_continue(rig.entries[1].process);
	answer = http_join(task);
	CU_ASSERT_TRUE(answer->status == 503 || answer->status == 401);
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, late.id), 0);
	http_answer_destroy(answer);
	/* The VM has regained contact. */
	g_usleep(G_USEC_PER_SEC);
	CU_ASSERT_EQUAL(status_of(1, "/plain/x", "keya1"), 401);
	CU_ASSERT_EQUAL(status_of(1, "/plain/x", "keya3"), 200);
	entry_rig_stop(&rig);
}

/* Guards against queued requests that run after their key was removed. */
static void queued_requests_lose_their_key(void)
{
	struct call calls[FILLERS + WAITERS];
	struct http_task *tasks[FILLERS + WAITERS];
	int served = 0, unauthorized = 0, ran = 0;
	unsigned int i;

	setup();
	for (i = 0; i < FILLERS + WAITERS; i++) {
		/* The load of the upstreams becomes known. */
		if (i == FILLERS)
			g_usleep(G_USEC_PER_SEC / 2);
		call_init(&calls[i], &rig.entries[i % ENTRIES], FILLER_URI,
			  "keya1", NULL);
		tasks[i] = http_start(&calls[i].request);
	}
	g_usleep(G_USEC_PER_SEC / 2);
	put_config(3, &ROW_B[1]);
	for (i = 0; i < FILLERS + WAITERS; i++) {
		struct http_answer *answer = http_join(tasks[i]);
		int runs = entry_rig_runs(&rig, calls[i].id);

		served += answer->status == 200;
		if (answer->status == 401) {
			unauthorized++;
			ran += runs;
		}
		http_answer_destroy(answer);
	}
	printf("# served %d, 401 %d\n", served, unauthorized);
	CU_ASSERT_TRUE(served > 0);
	CU_ASSERT_TRUE(unauthorized > 0);
	CU_ASSERT_EQUAL(ran, 0);
	entry_rig_stop(&rig);
}

/* Guards against the route's priority for a customer that has its own: of two
 * requests that wait, the customer's is sent first, although it came later. */
static void a_customers_priority_precedes_the_routes(void)
{
	static const char *const waiters[] = { "keya1", "keyu" };
	struct call calls[FILLERS + G_N_ELEMENTS(waiters)];
	struct http_task *tasks[FILLERS + G_N_ELEMENTS(waiters)];
	gint64 took_us[G_N_ELEMENTS(waiters)] = { 0 };
	char uris[FILLERS][32];
	unsigned int i;

	setup();
	/* The upstreams get room for one request after the other. */
	for (i = 0; i < FILLERS; i++) {
		g_snprintf(uris[i], sizeof(uris[i]), "/plain/work-ms-%u",
			   1200 + 330 * i);
		call_init(&calls[i], &rig.entries[i % ENTRIES], uris[i],
			  "keya1", NULL);
		tasks[i] = http_start(&calls[i].request);
	}
	for (i = 0; i < G_N_ELEMENTS(waiters); i++) {
		g_usleep(G_USEC_PER_SEC / 2);
		call_init(&calls[FILLERS + i], &rig.entries[0],
			  "/plain/work-ms-1000", waiters[i], NULL);
		tasks[FILLERS + i] = http_start(&calls[FILLERS + i].request);
	}
	for (i = 0; i < FILLERS + G_N_ELEMENTS(waiters); i++) {
		struct http_answer *answer = http_join(tasks[i]);

		CU_ASSERT_EQUAL(answer->status, 200);
		if (i >= FILLERS)
			took_us[i - FILLERS] = answer->took_us;
		http_answer_destroy(answer);
	}
	printf("# %ld ms, urgent %ld ms\n", (long)(took_us[0] / 1000),
	       (long)(took_us[1] / 1000));
	CU_ASSERT_TRUE(took_us[1] + G_USEC_PER_SEC * 6 / 10 < took_us[0]);
	entry_rig_stop(&rig);
}

/* What a customer sends, and what it gets. */
struct quota_row {
	/** Time between two requests, and for how long they are sent. */
	gint64 pause_us;
	double span_s;
	/** The leader is killed after 3 s. */
	bool kill_leader;
	/** Lowest share of the quota, or of the requests if they are fewer,
	 * that is served, and highest share of the requests that are refused,
	 * in percent. */
	int served_percent, refused_percent;
};

/* Returns the largest number of times within QUOTA_WINDOW_US. */
static guint most_in_window(const GArray *times)
{
	guint most = 0, first = 0, i;

	for (i = 0; i < times->len; i++) {
		gint64 at = g_array_index(times, gint64, i);

		while (g_array_index(times, gint64, first) <
		       at - QUOTA_WINDOW_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* Returns the entry daemon that leads; -1 if there is none. */
static int find_leader(void)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++) {
		struct http_request request = { .address =
							rig.entries[i].metrics,
						.uri = "/metrics" };
		struct http_answer *answer = http_send(&request);
		bool leads =
			strstr(answer->body->str, "\nauburn_leads 1") != NULL;

		http_answer_destroy(answer);
		if (leads)
			return (int)i;
	}
	return -1;
}

static void run_quota_row(const struct quota_row *row)
{
	GArray *served = g_array_new(FALSE, FALSE, sizeof(gint64));
	gint64 start = g_get_monotonic_time(), at = start;
	int leader = find_leader(), killed = -1;
	unsigned int sent = 0, refused = 0, other = 0;
	double allowed;

	while (at < start + (gint64)(row->span_s * G_USEC_PER_SEC)) {
		unsigned int entry = sent++ % ENTRIES;
		struct call call;
		struct http_answer *answer;

		if (row->kill_leader && killed < 0 && leader >= 0 &&
		    at > start + (gint64)3 * G_USEC_PER_SEC) {
			killed = leader;
			process_kill(rig.entries[killed].process);
		}
		if ((int)entry == killed)
			entry = (entry + 1) % ENTRIES;
		answer = send_call(&call, entry, "/plain/x", "keyq", NULL);
		if (answer->status == 200) {
			g_array_append_val(served, at);
		} else if (answer->status == 429) {
			double wait_s = g_ascii_strtod(
				http_header(answer, "retry-after"), NULL);

			refused++;
			CU_ASSERT_TRUE(wait_s > 0 && wait_s <= 5);
			CU_ASSERT_EQUAL(entry_rig_runs(&rig, call.id), 0);
		} else {
			other++;
		}
		http_answer_destroy(answer);
		at += row->pause_us;
		if (at > g_get_monotonic_time())
			g_usleep((gulong)(at - g_get_monotonic_time()));
		at = g_get_monotonic_time();
	}
	allowed = MIN(QUOTA_PER_S * row->span_s, sent);
	printf("# sent %u, served %u, most in 5 s %u, 429 %u, other %u\n", sent,
	       served->len, most_in_window(served), refused, other);
	CU_ASSERT_TRUE(most_in_window(served) <= QUOTA_MOST);
	CU_ASSERT_TRUE(served->len * 100 >= row->served_percent * allowed);
	CU_ASSERT_TRUE(refused * 100 <=
		       (unsigned int)row->refused_percent * sent);
	CU_ASSERT_TRUE(refused + served->len > 0);
	if (!row->kill_leader)
		CU_ASSERT_EQUAL(other, 0);
	/* Another customer is not affected. */
	CU_ASSERT_EQUAL(status_of(killed == 1 ? 2 : 1, "/plain/x", "keyb"),
			200);
	g_array_free(served, TRUE);
}

/* Guards against refusing requests within the quota, and against serving more
 * than it allows, over several VMs and with the leader lost. */
static void quotas_hold_over_all_vms(void)
{
	static const struct quota_row rows[] = {
		{ G_USEC_PER_SEC / 12, 6, false, 95, 5 },
		{ G_USEC_PER_SEC / 70, 9, false, 90, 90 },
		{ G_USEC_PER_SEC / 70, 10, true, 50, 90 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		setup();
		run_quota_row(&rows[i]);
		entry_rig_stop(&rig);
	}
}

static bool accepts_callers(void *ctx)
{
	(void)ctx;
	return status_of(0, "/plain/x", "keya1") != 0;
}

/* Guards against 401, which callers don't retry, on a VM that doesn't know any
 * key yet. */
static void a_vm_without_a_configuration_refuses_with_503(void)
{
	GError *error = NULL;

	setup();
	entry_rig_command(&rig, "/control/down?id=1", "");
	process_kill(rig.entries[0].process);
	process_wait_end(rig.entries[0].process, RIG_WAIT_US, NULL);
	if (!process_restart(rig.entries[0].process, &error))
		g_error("%s", error->message);
	CU_ASSERT_TRUE(process_wait_until(accepts_callers, NULL, RIG_WAIT_US));
	CU_ASSERT_EQUAL(status_of(0, "/plain/x", "keya1"), 503);
	CU_ASSERT_EQUAL(status_of(0, "/plain/x", "other"), 503);
	/* The others go on serving while the store is down. */
	g_usleep(APPLY_US);
	CU_ASSERT_EQUAL(status_of(1, "/plain/x", "keya1"), 200);
	CU_ASSERT_EQUAL(status_of(2, "/plain/x", "other"), 401);
	entry_rig_stop(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "keys decide and are not passed on",
		  keys_decide_and_are_not_passed_on },
		{ "both fields are passed on without customers",
		  both_fields_are_passed_on_without_customers },
		{ "changes of keys are in force in time",
		  changes_of_keys_are_in_force_in_time },
		{ "queued requests lose their key",
		  queued_requests_lose_their_key },
		{ "a customer's priority precedes the route's",
		  a_customers_priority_precedes_the_routes },
		{ "quotas hold over all VMs", quotas_hold_over_all_vms },
		{ "a VM without a configuration refuses with 503",
		  a_vm_without_a_configuration_refuses_with_503 },
		{ 0 },
	};

	return suite_run("entry_customers", cases);
}
