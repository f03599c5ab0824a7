/* Tests of the decoding of the platform's rows and header fields, and of the
 * timeout of calls to its table service. */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/headers.h"
#include "platform/decode.h"
#include "platform/table_store.h"
#include "suite.h"

static const char config_text[] =
	"{\"version\":\"r12\",\"later\":1,\"routes\":{\"columns\":[\"name\","
	"\"host\",\"prefix\",\"kind\",\"timeout_s\",\"service\",\"split\"],"
	"\"rows\":[[\"a\",\"h.example\",\"/a/\",\"unsafe\",1.5,\"s\",null],"
	"[\"b\",\"h.example\",\"/a/b/\",\"download\",2,null,"
	"[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}]"
	"]]},\"services\":{\"columns\":[\"name\",\"max_conns\",\"sharded\"],"
	"\"rows\":[[\"s\",130,true],[\"t\",9,null]]},\"limits\":"
	"{\"max_header_bytes\":4096,\"max_body_bytes\":100,"
	"\"header_timeout_s\":3,\"idle_timeout_s\":15}}";

static void valid_configuration_is_decoded(void)
{
	GError *error = NULL;
	struct config *config =
		platform_decode_config(str_from(config_text), &error);
	const struct route *route;

	CU_ASSERT_PTR_NOT_NULL(config);
	if (!config)
		return;
	CU_ASSERT_EQUAL(config->version, 12);
	CU_ASSERT_EQUAL(config->limits.body_bytes, 100);
	CU_ASSERT_TRUE(config_service(config, "s")->keyed);
	CU_ASSERT_FALSE(config_service(config, "t")->keyed);
	route = config_route(config, STR("H.Example"), STR("/a/b/c"));
	CU_ASSERT_PTR_NOT_NULL(route);
	if (!route)
		return;
	CU_ASSERT_STRING_EQUAL(route->name, "b");
	CU_ASSERT_EQUAL(route->kind, ROUTE_DOWNLOAD);
	CU_ASSERT_EQUAL(route->part_count, 2);
	route = config_route(config, STR("h.example"), STR("/a/c"));
	CU_ASSERT_PTR_NOT_NULL(route);
	if (!route)
		return;
	CU_ASSERT_STRING_EQUAL(route->name, "a");
	CU_ASSERT_EQUAL(route->kind, ROUTE_UNSAFE);
	CU_ASSERT_DOUBLE_EQUAL(route->timeout_s, 1.5, 0.001);
	CU_ASSERT_PTR_NULL(config_route(config, STR("h.example"), STR("/a")));
	CU_ASSERT_PTR_NULL(config_route(config, STR("other"), STR("/a/")));
	config_free(config);
}

static void malformed_configuration_is_refused(void)
{
	static const char *const rows[] = {
		"",
		"[]",
		"{\"version\":12}",
		"{\"version\":\"12\"}",
		"{\"version\":\"r1x\"}",
		"{\"version\":\"r1\",\"routes\":7}",
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(
			platform_decode_config(str_from(rows[i]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
}

#define CONFIG_WITH_ROUTE(route)                                               \
	"{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","      \
	"\"prefix\",\"kind\",\"service\",\"split\",\"priority\"],\"rows\":["   \
	"[" route "],[\"b\",\"h\",\"/b/\",\"safe\",\"s\",null,1]]},"           \
	"\"services\":{\"columns\":[\"name\"],\"rows\":[[\"s\"],[3]]}}"

/* Guards against one invalid route that keeps a whole configuration from
 * coming into force, and against repeating requests of an unknown kind. */
static void invalid_route_leaves_the_others_in_force(void)
{
	static const struct {
		const char *json;
		/** The route is found by its host and prefix. */
		bool found;
		enum route_kind kind;
		size_t parts;
		unsigned int invalid;
	} rows[] = {
		{ CONFIG_WITH_ROUTE(
			  "\"a\",\"h\",\"/a/\",\"upload\",\"s\",null,0"),
		  true, ROUTE_UPLOAD, 1, 0 },
		{ CONFIG_WITH_ROUTE(
			  "\"a\",\"h\",\"/a/\",\"stream\",\"s\",null,0"),
		  true, ROUTE_UNSAFE, 1, 1 },
		{ CONFIG_WITH_ROUTE("\"a\",\"h\",\"/a/\",7,\"s\",null,0"), true,
		  ROUTE_UNSAFE, 1, 1 },
		{ CONFIG_WITH_ROUTE("\"a\",\"h\",\"/a/\",\"safe\",null,null,0"),
		  true, ROUTE_SAFE, 0, 1 },
		{ CONFIG_WITH_ROUTE("\"a\",\"h\",\"/a/\",\"safe\",null,"
				    "[{\"service\":\"s\",\"weight\":1},{}],0"),
		  true, ROUTE_SAFE, 0, 1 },
		{ CONFIG_WITH_ROUTE(
			  "null,\"h\",\"/a/\",\"safe\",\"s\",null,-1"),
		  true, ROUTE_SAFE, 1, 1 },
		{ CONFIG_WITH_ROUTE("\"a\",3,\"/a/\",\"safe\",\"s\",null,0"),
		  false, ROUTE_SAFE, 0, 1 },
		{ CONFIG_WITH_ROUTE("\"a\",\"h\",null,\"safe\",\"s\",null,0"),
		  false, ROUTE_SAFE, 0, 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct config *config =
			platform_decode_config(str_from(rows[i].json), NULL);
		const struct route *route;

		CU_ASSERT_PTR_NOT_NULL(config);
		if (!config)
			continue;
		CU_ASSERT_EQUAL(config->invalid_routes, rows[i].invalid);
		CU_ASSERT_EQUAL(config->invalid_services, 1);
		CU_ASSERT_PTR_NOT_NULL(
			config_route(config, STR("h"), STR("/b/")));
		CU_ASSERT_PTR_NOT_NULL(config_service(config, "s"));
		route = config_route(config, STR("h"), STR("/a/"));
		CU_ASSERT_EQUAL(route != NULL, rows[i].found);
		if (route) {
			CU_ASSERT_EQUAL(route->kind, rows[i].kind);
			CU_ASSERT_EQUAL(route->part_count, rows[i].parts);
			CU_ASSERT_EQUAL(route->priority, 0);
		}
		config_free(config);
	}
}

#define CONFIG_WITH_CUSTOMERS(customers)                                       \
	"{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","      \
	"\"prefix\",\"kind\",\"service\",\"public\"],\"rows\":["               \
	"[\"a\",\"h\",\"/a/\",\"safe\",\"s\",true],"                           \
	"[\"b\",\"h\",\"/b/\",\"safe\",\"s\",null]]},"                         \
	"\"services\":{\"columns\":[\"name\"],\"rows\":[[\"s\"]]}" customers   \
	"}"
#define CUSTOMER_ROWS(rows)                                                    \
	",\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\","       \
	"\"rate_per_s\",\"burst\"],\"rows\":[" rows "]}"

/* Guards against a key that is taken for valid, or a configuration that is
 * ignored, because one customer has an invalid value. */
static void customers_are_decoded(void)
{
	static const struct {
		const char *json;
		bool has_customers;
		unsigned int count, invalid;
		/** Of the first customer. */
		unsigned int keys;
		bool has_priority;
		double rate_per_s, burst;
	} rows[] = {
		{ CONFIG_WITH_CUSTOMERS(""), false, 0, 0, 0, false, 0, 0 },
		{ CONFIG_WITH_CUSTOMERS(",\"tenants\":null"), false, 0, 0, 0,
		  false, 0, 0 },
		{ CONFIG_WITH_CUSTOMERS(CUSTOMER_ROWS("")), true, 0, 0, 0,
		  false, 0, 0 },
		{ CONFIG_WITH_CUSTOMERS(
			  CUSTOMER_ROWS("[\"c\",[\"k1\",\"k2\"],1,233,200]")),
		  true, 1, 0, 2, true, 233, 200 },
		{ CONFIG_WITH_CUSTOMERS(
			  CUSTOMER_ROWS("[\"c\",[\"k\"],null,null,null]")),
		  true, 1, 0, 1, false, 0, 0 },
		{ CONFIG_WITH_CUSTOMERS(CUSTOMER_ROWS("[\"c\",null,0,1.5,2]")),
		  true, 1, 0, 0, true, 1.5, 2 },
		/* Invalid keys, rates and names. */
		{ CONFIG_WITH_CUSTOMERS(
			  CUSTOMER_ROWS("[\"c\",[\"k\",\"\",7],0,1,1]")),
		  true, 1, 1, 1, true, 1, 1 },
		{ CONFIG_WITH_CUSTOMERS(CUSTOMER_ROWS("[\"c\",\"k\",0,1,1]")),
		  true, 1, 1, 0, true, 1, 1 },
		{ CONFIG_WITH_CUSTOMERS(
			  CUSTOMER_ROWS("[\"c\",[\"k\"],0,-1,\"1\"]")),
		  true, 1, 1, 1, true, 0, 0 },
		{ CONFIG_WITH_CUSTOMERS(CUSTOMER_ROWS(
			  "[\"c\\r\\nX: 1\",[\"k\"],0,1,1],"
			  "[null,[\"l\"],0,1,1],[\"c\",[\"m\"],0,1,1]")),
		  true, 1, 2, 1, true, 1, 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct config *config =
			platform_decode_config(str_from(rows[i].json), NULL);
		const struct customer_config *customer;

		CU_ASSERT_PTR_NOT_NULL(config);
		if (!config)
			continue;
		CU_ASSERT_EQUAL(config->has_customers, rows[i].has_customers);
		CU_ASSERT_EQUAL(config->customer_count, rows[i].count);
		CU_ASSERT_EQUAL(config->invalid_customers, rows[i].invalid);
		CU_ASSERT_TRUE(config->routes[0].is_public);
		CU_ASSERT_FALSE(config->routes[1].is_public);
		customer = config->customers;
		if (config->customer_count) {
			CU_ASSERT_STRING_EQUAL(customer->name, "c");
			CU_ASSERT_EQUAL(g_strv_length(customer->api_keys),
					rows[i].keys);
			CU_ASSERT_EQUAL(customer->has_priority,
					rows[i].has_priority);
			CU_ASSERT_EQUAL(customer->rate_per_s,
					rows[i].rate_per_s);
			CU_ASSERT_EQUAL(customer->burst, rows[i].burst);
		}
		config_free(config);
	}
	CU_ASSERT_PTR_NULL(platform_decode_config(
		STR(CONFIG_WITH_CUSTOMERS(",\"tenants\":[]")), NULL));
}

/* Guards against a key that is read from something else, passed on to an
 * upstream, or dropped where the deployment has no customers. */
static void api_keys_are_read_and_not_passed_on(void)
{
	static const struct {
		const char *line;
		const char *key;
	} rows[] = {
		{ "Authorization: Token abc", "abc" },
		{ "authorization: token abc", "abc" },
		{ "Authorization: Token   abc", "abc" },
		{ "Authorization: Token abc d", "abc d" },
		{ "Authorization: Token", "" },
		{ "Authorization: Token ", "" },
		{ "Authorization: Tokenabc", "" },
		{ "Authorization: Bearer abc", "" },
		{ "X-Other: Token abc", "" },
	};
	const struct protocol *protocol = platform_protocol();
	GString *out = g_string_new(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct headers *headers = headers_create();
		struct request_facts facts;

		headers_add_line(headers, str_from(rows[i].line));
		protocol->read_request(headers, &facts);
		CU_ASSERT_TRUE(str_equal(facts.api_key, str_from(rows[i].key)));
		headers_destroy(headers);
	}
	CU_ASSERT_TRUE(
		protocol->is_rewritten_field(STR("AUTHORIZATION"), true));
	CU_ASSERT_TRUE(protocol->is_rewritten_field(STR("x-tenant"), true));
	CU_ASSERT_FALSE(
		protocol->is_rewritten_field(STR("Authorization"), false));
	CU_ASSERT_FALSE(protocol->is_rewritten_field(STR("X-Tenant"), false));
	protocol->write_fields(out, 1, "u", "c");
	CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "X-Tenant: c\r\n"));
	g_string_truncate(out, 0);
	protocol->write_fields(out, 1, "u", NULL);
	CU_ASSERT_PTR_NULL(strstr(out->str, "X-Tenant"));
	g_string_free(out, TRUE);
}

/* An entry with all fields but one; more is appended to the others. */
#define ENTRY_WITH(version, address, slots, state, cold, seq, more)            \
	"{\"service\":\"s\",\"zone\":\"z\"" version address slots state cold   \
		seq more "}"
#define VERSION ",\"version\":\"v1\""
#define ADDRESS ",\"address\":\"10.0.0.1:80\""
#define SLOTS ",\"slots\":3"
#define STATE ",\"state\":\"ready\""
#define COLD ",\"cold_left_s\":0"
#define SEQ ",\"seq\":4"
#define BORN ",\"born\":5"

#define ENTRY(address, slots, born)                                            \
	ENTRY_WITH(VERSION, ",\"address\":\"" address "\"",                    \
		   ",\"slots\":" slots, STATE, COLD, SEQ, ",\"born\":" born)

/* Guards against taking an entry of another writer for an upstream's. */
static void malformed_upstream_entries_are_refused(void)
{
	static char nested[49000];
	static const struct {
		const char *text;
		bool ok;
	} rows[] = {
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, STATE, COLD, SEQ, BORN),
		  true },
		/* One field is missing. */
		{ ENTRY_WITH("", ADDRESS, SLOTS, STATE, COLD, SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, "", SLOTS, STATE, COLD, SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, "", STATE, COLD, SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, "", COLD, SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, STATE, "", SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, STATE, COLD, "", BORN),
		  false },
		/* One field has another type or value. */
		{ ENTRY_WITH(",\"version\":1", ADDRESS, SLOTS, STATE, COLD, SEQ,
			     BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, ",\"slots\":\"3\"", STATE, COLD,
			     SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, ",\"state\":\"resting\"",
			     COLD, SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, STATE,
			     ",\"cold_left_s\":\"0\"", SEQ, BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, STATE, COLD,
			     ",\"seq\":\"4\"", BORN),
		  false },
		{ ENTRY_WITH(VERSION, ADDRESS, SLOTS, STATE, COLD, SEQ,
			     ",\"born\":5.5"),
		  false },
		{ ENTRY("host:80", "3", "5"), false },
		{ "{\"service\":7}", false },
		{ "\xff\x01", false },
		{ ENTRY("10.0.0.1:80", "3", "5"), true },
		/* Ports out of range. */
		{ ENTRY("10.0.0.1:65536", "3", "5"), false },
		{ ENTRY("10.0.0.1:0", "3", "5"), false },
		{ ENTRY("10.0.0.1:-1", "3", "5"), false },
		{ ENTRY("10.0.0.1:99999999999999999999", "3", "5"), false },
		/* Numbers that are too large. */
		{ ENTRY("10.0.0.1:80", "4294967299", "5"), false },
		{ ENTRY("10.0.0.1:80", "65536", "5"), false },
		{ ENTRY("10.0.0.1:80", "1e400", "5"), false },
		{ ENTRY("10.0.0.1:80", "3", "9223372036854775807"), false },
		{ ENTRY("10.0.0.1:80", "3", "99999999999999999999"), false },
		{ ENTRY("10.0.0.1:80", "3", "5,\"cold_left_s\":1e300"), false },
		/* Deeply nested. */
		{ nested, false },
	};
	size_t i;

	memset(nested, '[', sizeof(nested) - 1);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct upstream_entry entry;
		GError *error = NULL;
		bool ok = platform_decode_upstream(
			"i-1", str_from(rows[i].text), &entry, &error);

		CU_ASSERT_EQUAL(ok, rows[i].ok);
		CU_ASSERT_EQUAL(error == NULL, rows[i].ok);
		if (ok)
			CU_ASSERT_EQUAL(entry.started_ms, 5);
		g_clear_error(&error);
		upstream_entry_clear(&entry);
	}
}

static void grant_requests_name_their_upstream(void)
{
	struct upstream_entry to = { .id = "i-7" };
	struct key_grant grant = {
		.first = 1, .last = 9, .fence = 4, .hold_s = 3, .handover = "h"
	};
	GString *text = platform_protocol()->grant(&to, &grant);

	CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "X-Expect-Instance: i-7\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "\"handover\":\"h\""));
	g_string_free(text, TRUE);
	text = platform_protocol()->release(&to, &grant);
	CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "X-Expect-Instance: i-7\r\n"));
	g_string_free(text, TRUE);
}

/* What an upstream says of its leaving, and the pause that it asks for. */
static void reply_headers_tell_leaving_and_pauses(void)
{
	static const struct {
		unsigned int status;
		const char *line;
		bool leaving;
		double pause_s;
	} rows[] = {
		{ 200, "Server-Leaving: 1", true, -1 },
		{ 503, "Server-Leaving: 1", true, -1 },
		{ 200, "Server-Leaving: 0", false, -1 },
		{ 200, "Server-Leaving: ", false, -1 },
		{ 200, "Server-Leaving: 11", false, -1 },
		{ 503, "Retry-After: 2", false, 2 },
		{ 503, "Retry-After: 0.25", false, 0.25 },
		{ 503, "Retry-After: 0", false, 0 },
		{ 429, "Retry-After: 2", false, -1 },
		{ 200, "Retry-After: 2", false, -1 },
		{ 503, "Retry-After: -2", false, -1 },
		{ 503, "Retry-After: +2", false, -1 },
		{ 503, "Retry-After: inf", false, -1 },
		{ 503, "Retry-After: 2s", false, -1 },
		{ 503, "Retry-After: Wed, 21 Oct 2065 07:28:00 GMT", false,
		  -1 },
		/* A mistake must not take the upstream out for good. */
		{ 503, "Retry-After: 86400", false, 60 },
		{ 503, "Retry-After: 99999999999999999999999999", false, 60 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct headers *headers = headers_create();
		struct reply_facts facts;

		headers_add_line(headers, str_from(rows[i].line));
		platform_protocol()->read_reply(rows[i].status, headers,
						&facts);
		CU_ASSERT_EQUAL(facts.leaving, rows[i].leaving);
		CU_ASSERT_DOUBLE_EQUAL(facts.pause_s, rows[i].pause_s, 1e-9);
		headers_destroy(headers);
	}
}

static void reply_headers_tell_whether_request_ran(void)
{
	static const struct {
		unsigned int status;
		const char *line;
		bool not_run;
	} rows[] = {
		{ 503, "X-Not-Executed: 1", true },
		{ 503, "Retry-After: 1", false },
		{ 429, "X-Not-Executed: 1", true },
		{ 421, "X-Instance-Id: i-2", true },
		{ 500, "X-Server-Signature: s", false },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct headers *headers = headers_create();
		struct reply_facts facts;

		headers_add_line(headers, str_from(rows[i].line));
		headers_add_line(headers, STR("X-Server-Load: 2,5,3,150"));
		platform_protocol()->read_reply(rows[i].status, headers,
						&facts);
		CU_ASSERT_EQUAL(facts.not_run, rows[i].not_run);
		CU_ASSERT_TRUE(facts.has_load);
		CU_ASSERT_EQUAL(facts.waiting, 5);
		CU_ASSERT_DOUBLE_EQUAL(facts.work_factor, 1.5, 0.001);
		headers_destroy(headers);
	}
}

static void reply_headers_tell_the_limit_of_the_upstream(void)
{
	static const struct {
		const char *line;
		/* Negative: no limit is named. */
		double per_s;
	} rows[] = {
		{ "Server-Limit: 4.1", 4.1 }, { "Server-Limit: 0", 0 },
		{ "Server-Limit: -1", -1 },   { "Server-Limit: many", -1 },
		{ "Server-Limit: ", -1 },     { "Server-Limit: 4,1", -1 },
		{ "Server-Limits: 4", -1 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct headers *headers = headers_create();
		struct reply_facts facts;

		headers_add_line(headers, str_from(rows[i].line));
		platform_protocol()->read_reply(200, headers, &facts);
		CU_ASSERT_DOUBLE_EQUAL(facts.limit_per_s, rows[i].per_s, 0.001);
		headers_destroy(headers);
	}
}

/* --- timeout of calls to the store --- */

/* Connections that a test's server handles at most. */
#define CONNECTIONS_MAX 16

/* Returns a listening socket that doesn't block, on a free loopback port.
 *
 * @param address set to the socket's address */
static int listen_on_loopback(struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	socklen_t len = sizeof(*address);

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)address, len), 0);
	listen(fd, CONNECTIONS_MAX);
	getsockname(fd, (struct sockaddr *)address, &len);
	return fd;
}

/* The reply's body, which spaces extend to 400 bytes. */
#define BODY "{\"rows\":[],\"ver\":3}"

/* A server that sends its reply a few bytes at a time. */
struct slow_server {
	struct loop loop;
	/* Listening socket, and the client's connection; -1 without one. */
	int listener, conn;
	ev_timer send_timer;
	/* The whole reply. */
	GString *answer;
	/* Bytes of the reply sent so far, and bytes sent at a time. */
	size_t sent, step;
	/* Result of the read, once ended is set. */
	enum store_status status;
	bool ended;
};

static void on_send_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct slow_server *slow = timer->data;
	size_t n = MIN(slow->step, slow->answer->len - slow->sent);

	(void)loop;
	(void)events;
	if (slow->conn < 0)
		slow->conn = accept(slow->listener, NULL, NULL);
	if (slow->conn >= 0 && n)
		slow->sent +=
			(size_t)send(slow->conn, slow->answer->str + slow->sent,
				     n, MSG_NOSIGNAL);
}

static void on_store_answer(void *ctx, const struct store_result *result)
{
	struct slow_server *slow = ctx;

	slow->status = result->status;
	slow->ended = true;
	ev_break(slow->loop.ev, EVBREAK_ALL);
}

/*
 * Reads a row from a slow server.
 *
 * @param parts number of parts, sent 50 ms apart, that the reply is split into;
 *        0: the server sends nothing
 * @return the client's status of the read
 */
static enum store_status read_from_slow_server(size_t parts)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n"
				   "\r\n" BODY;
	struct sockaddr_in address;
	struct slow_server slow = { .conn = -1 };
	struct table_store *client;
	struct store store;

	slow.listener = listen_on_loopback(&address);
	slow.loop.ev = ev_loop_new(EVFLAG_AUTO);
	slow.loop.clock = clock_system();
	slow.answer = g_string_new(head);
	while (slow.answer->len < strlen(head) + 400 - strlen(BODY))
		g_string_append_c(slow.answer, ' ');
	slow.step = parts ? slow.answer->len / parts + 1 : 0;
	ev_timer_init(&slow.send_timer, on_send_timer, 0, 0.05);
	slow.send_timer.data = &slow;
	ev_timer_start(slow.loop.ev, &slow.send_timer);
	client = table_store_create(&slow.loop, &address);
	store = table_store_interface(client);
	store.ops->read(store.impl, "t", "", on_store_answer, &slow);
	ev_run(slow.loop.ev, 0);
	CU_ASSERT_TRUE(slow.ended);
	table_store_destroy(client);
	ev_loop_destroy(slow.loop.ev);
	g_string_free(slow.answer, TRUE);
	close(slow.listener);
	if (slow.conn >= 0)
		close(slow.conn);
	return slow.status;
}

/* --- connections to the store that go silent --- */

/* Calls that the client makes at the same time, each on its own connection. */
#define CONCURRENT_CALLS 3

/* A server that answers every request, but none on the connections that were
 * open when it was told to be silent. */
struct silent_server {
	struct loop loop;
	/* The client. */
	struct table_store *client;
	struct store store;
	int listener;
	int conns[CONNECTIONS_MAX];
	unsigned int conn_count;
	/* Number of connections, the oldest ones, that get no answer. */
	unsigned int silent_count;
	ev_timer serve_timer;
	/* Time from a request to its reply, in seconds, and loop times at which
	 * replies are due; 0: none. */
	double latency_s;
	double due_s[CONNECTIONS_MAX];
	/* Header fields of the answers, each with "\r\n"; NULL: none. */
	const char *fields;
	/* Body of the answers, and the length that they declare; 0: its own. */
	const char *body;
	size_t declared;
	/* Calls of the client without a result, and the last result. */
	unsigned int pending;
	enum store_status status;
	uint64_t version;
	/* The keys of the last result, with a space after each. */
	GString *keys;
};

static void on_serve_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct silent_server *server = timer->data;
	char *reply = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s",
		server->fields ? server->fields : "",
		server->declared ? server->declared : strlen(server->body),
		server->body);
	int fd = accept(server->listener, NULL, NULL);
	unsigned int i;

	(void)loop;
	(void)events;
	if (fd >= 0 && server->conn_count < CONNECTIONS_MAX)
		server->conns[server->conn_count++] = fd;
	for (i = server->silent_count; i < server->conn_count; i++) {
		double now = loop_now(&server->loop);
		char buf[1024];

		/* The client's requests are small and arrive whole. */
		if (recv(server->conns[i], buf, sizeof(buf), MSG_DONTWAIT) > 0)
			server->due_s[i] = now + server->latency_s;
		if (!server->due_s[i] || now < server->due_s[i])
			continue;
		server->due_s[i] = 0;
		send(server->conns[i], reply, strlen(reply), MSG_NOSIGNAL);
	}
	g_free(reply);
}

static void on_silent_answer(void *ctx, const struct store_result *result)
{
	struct silent_server *server = ctx;
	size_t i;

	server->status = result->status;
	server->version = result->version;
	g_string_truncate(server->keys, 0);
	for (i = 0; i < result->row_count; i++)
		g_string_append_printf(server->keys, "%s ",
				       result->rows[i].key);
	if (!--server->pending)
		ev_break(server->loop.ev, EVBREAK_ALL);
}

/* Starts a server and its client. */
static void silent_server_start(struct silent_server *server)
{
	struct sockaddr_in address;

	memset(server, 0, sizeof(*server));
	server->body = BODY;
	server->keys = g_string_new(NULL);
	server->listener = listen_on_loopback(&address);
	server->loop.ev = ev_loop_new(EVFLAG_AUTO);
	server->loop.clock = clock_system();
	ev_timer_init(&server->serve_timer, on_serve_timer, 0, 0.005);
	server->serve_timer.data = server;
	ev_timer_start(server->loop.ev, &server->serve_timer);
	server->client = table_store_create(&server->loop, &address);
	server->store = table_store_interface(server->client);
}

static void silent_server_stop(struct silent_server *server)
{
	unsigned int i;

	table_store_destroy(server->client);
	for (i = 0; i < server->conn_count; i++)
		close(server->conns[i]);
	close(server->listener);
	ev_loop_destroy(server->loop.ev);
	g_string_free(server->keys, TRUE);
}

/* Makes calls at the same time and waits for their results. */
static void read_rows(struct silent_server *server, unsigned int calls)
{
	const struct store *store = &server->store;

	server->pending = calls;
	while (calls--)
		store->ops->read(store->impl, "t", "", on_silent_answer,
				 server);
	ev_run(server->loop.ev, 0);
}

/* Guards against one timeout after the other when the open connections to the
 * store went silent together: only the first call may fail. */
static void a_timeout_ends_the_use_of_idle_connections(void)
{
	struct silent_server server;

	silent_server_start(&server);
	read_rows(&server, CONCURRENT_CALLS);
	CU_ASSERT_EQUAL(server.status, STORE_OK);
	CU_ASSERT_EQUAL(server.conn_count, CONCURRENT_CALLS);
	server.silent_count = server.conn_count;
	read_rows(&server, 1);
	CU_ASSERT_EQUAL(server.status, STORE_UNKNOWN);
	read_rows(&server, 1);
	CU_ASSERT_EQUAL(server.status, STORE_OK);
	silent_server_stop(&server);
}

static void a_platform_that_answers_late_is_heard(void)
{
	static const struct {
		/* The call asks for changes; else for the whole table. */
		bool follow;
		double latency_s;
		/* Calls that time out before one is answered. */
		unsigned int lost;
	} rows[] = {
		{ false, 0.2, 0 },
		{ false, 1.4, 1 },
		{ true, 0.2, 0 },
		{ true, 0.8, 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct silent_server server;
		unsigned int lost = 0;

		silent_server_start(&server);
		server.latency_s = rows[i].latency_s;
		do {
			server.pending = 1;
			if (rows[i].follow)
				server.store.ops->follow(server.store.impl, "t",
							 1, 0, on_silent_answer,
							 &server);
			else
				server.store.ops->read(server.store.impl, "t",
						       "", on_silent_answer,
						       &server);
			ev_run(server.loop.ev, 0);
		} while (server.status != STORE_OK && ++lost < 5);
		CU_ASSERT_EQUAL(lost, rows[i].lost);
		silent_server_stop(&server);
	}
}

/* Guards against rows of another part of the table, which the change feed shows
 * as well, that are taken for upstreams or for the configuration. */
static void rows_of_other_parts_are_left_out(void)
{
	struct silent_server server;

	silent_server_start(&server);
	server.body = "{\"ver\":9,\"rows\":["
		      "{\"part\":\"\",\"key\":\"a\",\"ver\":7},"
		      "{\"part\":\"p\",\"key\":\"a\",\"ver\":8},"
		      "{\"part\":\"p\",\"key\":\"b\",\"ver\":9,"
		      "\"removed\":true},{\"key\":\"c\",\"ver\":9}]}";
	server.pending = 1;
	server.store.ops->follow(server.store.impl, "t", 6, 0, on_silent_answer,
				 &server);
	ev_run(server.loop.ev, 0);
	CU_ASSERT_EQUAL(server.status, STORE_OK);
	CU_ASSERT_STRING_EQUAL(server.keys->str, "a c ");
	CU_ASSERT_EQUAL(server.version, 9);
	silent_server_stop(&server);
}

/* Guards against a VM that asks again and again for the changes of a long time,
 * which no answer can hold, instead of reading the table. */
static void versions_hold_the_era_of_the_answer(void)
{
	const struct {
		const char *fields;
		/* Version after which changes are asked for; 0: the table is
		 * read. */
		uint64_t after;
		enum store_status status;
		uint64_t version;
	} rows[] = {
		{ "Store-Era: 1\r\n", 0, STORE_OK, store_version(1, 3) },
		{ "Store-Era: 1\r\n", store_version(1, 3), STORE_OK,
		  store_version(1, 3) },
		{ "Store-Era: 2\r\n", store_version(1, 3), STORE_HISTORY_GONE,
		  0 },
		{ "Store-Era: 2\r\n", store_version(1, 2), STORE_HISTORY_GONE,
		  0 },
		{ "Store-Era: 1\r\n", 0, STORE_UNKNOWN, 0 },
		{ "Store-Era: two\r\n", 0, STORE_OK, store_version(2, 3) },
		{ NULL, 0, STORE_OK, store_version(2, 3) },
	};
	struct silent_server server;
	struct metrics *metrics = metrics_create();
	struct store_era *era;
	size_t i;

	silent_server_start(&server);
	era = store_era_create(&server.loop, NULL, metrics);
	table_store_set_era(server.client, era);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		server.fields = rows[i].fields;
		server.pending = 1;
		if (rows[i].after)
			server.store.ops->follow(server.store.impl, "t",
						 rows[i].after, 0,
						 on_silent_answer, &server);
		else
			server.store.ops->read(server.store.impl, "t", "",
					       on_silent_answer, &server);
		ev_run(server.loop.ev, 0);
		CU_ASSERT_EQUAL(server.status, rows[i].status);
		CU_ASSERT_EQUAL(server.version, rows[i].version);
	}
	silent_server_stop(&server);
	store_era_destroy(era);
	metrics_destroy(metrics);
}

static void changes_too_large_for_an_answer_count_as_lost(void)
{
	struct silent_server server;

	silent_server_start(&server);
	server.declared = (size_t)5 << 20;
	server.pending = 1;
	server.store.ops->follow(server.store.impl, "t", 6, 0, on_silent_answer,
				 &server);
	ev_run(server.loop.ev, 0);
	CU_ASSERT_EQUAL(server.status, STORE_HISTORY_GONE);
	read_rows(&server, 1);
	CU_ASSERT_EQUAL(server.status, STORE_UNKNOWN);
	silent_server_stop(&server);
}

/* Guards against reads that time out for ever because other calls, whose
 * answers take as long but may, bring the usual timeout back each time. */
static void answers_to_other_calls_do_not_shorten_the_timeout(void)
{
	struct silent_server server;
	unsigned int lost = 0;

	silent_server_start(&server);
	server.latency_s = 1.2;
	for (;;) {
		server.pending = 1;
		server.store.ops->read(server.store.impl, "t", "",
				       on_silent_answer, &server);
		ev_run(server.loop.ev, 0);
		if (server.status == STORE_OK || ++lost == 4)
			break;
		/* A long poll, which has as long as it needs. */
		server.pending = 1;
		server.store.ops->follow(server.store.impl, "t", 1, 1.0,
					 on_silent_answer, &server);
		ev_run(server.loop.ev, 0);
	}
	CU_ASSERT_TRUE(lost <= 2);
	silent_server_stop(&server);
}

static void a_write_waits_as_long_as_answers_take(void)
{
	struct store_write write = {
		.table = "t",
		.key = "k",
		.value = STR("v"),
	};
	struct silent_server server;

	silent_server_start(&server);
	server.latency_s = 0.7;
	read_rows(&server, 1);
	server.pending = 1;
	server.store.ops->write(server.store.impl, &write, 0.3,
				on_silent_answer, &server);
	ev_run(server.loop.ev, 0);
	CU_ASSERT_EQUAL(server.status, STORE_OK);
	silent_server_stop(&server);
}

static void arriving_reply_does_not_time_out(void)
{
	CU_ASSERT_EQUAL(read_from_slow_server(1), STORE_OK);
	/* This reply takes 2 s, longer than the timeout of a call that receives
	 * nothing. */
	CU_ASSERT_EQUAL(read_from_slow_server(40), STORE_OK);
	CU_ASSERT_EQUAL(read_from_slow_server(0), STORE_UNKNOWN);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a valid configuration is decoded",
		  valid_configuration_is_decoded },
		{ "a malformed configuration is refused",
		  malformed_configuration_is_refused },
		{ "an invalid route leaves the others in force",
		  invalid_route_leaves_the_others_in_force },
		{ "customers are decoded", customers_are_decoded },
		{ "API keys are read, and not passed on",
		  api_keys_are_read_and_not_passed_on },
		{ "malformed upstream entries are refused",
		  malformed_upstream_entries_are_refused },
		{ "grant and release requests name their upstream",
		  grant_requests_name_their_upstream },
		{ "reply headers tell leaving and pauses",
		  reply_headers_tell_leaving_and_pauses },
		{ "a reply's headers tell whether the request ran",
		  reply_headers_tell_whether_request_ran },
		{ "reply headers tell the limit of the upstream",
		  reply_headers_tell_the_limit_of_the_upstream },
		{ "a call doesn't time out while its reply arrives",
		  arriving_reply_does_not_time_out },
		{ "answers to other calls don't shorten the timeout",
		  answers_to_other_calls_do_not_shorten_the_timeout },
		{ "a write waits as long as answers take",
		  a_write_waits_as_long_as_answers_take },
		{ "a platform that answers late is heard",
		  a_platform_that_answers_late_is_heard },
		{ "rows of other parts are left out",
		  rows_of_other_parts_are_left_out },
		{ "versions hold the era of the answer",
		  versions_hold_the_era_of_the_answer },
		{ "changes too large for an answer count as lost",
		  changes_too_large_for_an_answer_count_as_lost },
		{ "a timeout ends the use of idle connections",
		  a_timeout_ends_the_use_of_idle_connections },
		{ 0 },
	};

	return suite_run("platform", cases);
}
