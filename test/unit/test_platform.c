/* What the platform's rows and header fields are read as. */
#include <string.h>

#include "http/headers.h"
#include "platform/decode.h"
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

static void a_configuration_is_read(void)
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

static const char odd_host[] =
	"{\"version\":\"r1\",\"routes\":{\"columns\":[\"host\"],\"rows\":"
	"[[3]]},\"services\":{\"columns\":[],\"rows\":[]}}";

static void an_odd_configuration_is_refused(void)
{
	static const char *const rows[] = {
		"",
		"[]",
		"{\"version\":12}",
		"{\"version\":\"12\"}",
		"{\"version\":\"r1x\"}",
		"{\"version\":\"r1\",\"routes\":7}",
		odd_host,
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

static void entries_of_other_writers_name_no_upstream(void)
{
	static const struct {
		const char *text;
		bool ok;
	} rows[] = {
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"ready\",\"cold_left_s\":0,"
		  "\"seq\":4,\"born\":5}",
		  true },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"ready\",\"born\":5.5}",
		  false },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":\"3\",\"state\":\"ready\"}",
		  false },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"resting\"}",
		  false },
		{ "{\"service\":\"s\",\"address\":\"host:80\",\"zone\":\"z\","
		  "\"slots\":3,\"state\":\"ready\"}",
		  false },
		{ "{\"service\":7}", false },
		{ "\xff\x01", false },
	};
	size_t i;

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

static void orders_name_their_upstream(void)
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

static void replies_say_whether_a_request_ran(void)
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

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a configuration is read", a_configuration_is_read },
		{ "an odd configuration is refused",
		  an_odd_configuration_is_refused },
		{ "entries of other writers name no upstream",
		  entries_of_other_writers_name_no_upstream },
		{ "orders name their upstream", orders_name_their_upstream },
		{ "replies say whether a request ran",
		  replies_say_whether_a_request_ran },
		{ 0 },
	};

	return suite_run("platform", cases);
}
