/*
 * Tests of request targets, header fields, body lengths and body buffers. They
 * guard against requests that two recipients interpret differently (request
 * smuggling) and against forged or hop-by-hop fields that are forwarded.
 */
#include <glib.h>
#include <string.h>

#include "http/body.h"
#include "http/headers.h"
#include "http/target.h"
#include "suite.h"

static void targets_are_split_or_refused(void)
{
	static const struct {
		const char *raw;
		bool ok;
		const char *service;
		const char *key;
	} cases[] = {
		{ "/tallies/rope-7", true, "tallies", "rope-7" },
		{ "/tallies/rope-7/x?y=/a/..", true, "tallies", "rope-7" },
		{ "/tallies/a%2Fb%20c", true, "tallies", "a/b c" },
		{ "/tallies", true, "tallies", "" },
		{ "/tallies?x=1", true, "tallies", "" },
		{ "/", true, "", "" },
		{ "/tal%6cies/x", true, "tal%6cies", "x" },
		{ "//x", true, "", "x" },
		{ "", false, NULL, NULL },
		{ "*", false, NULL, NULL },
		{ "tallies/x", false, NULL, NULL },
		{ "http://host/tallies/x", false, NULL, NULL },
		{ "/tallies/../lots/1", false, NULL, NULL },
		{ "/tallies/x/%2e%2E/y", false, NULL, NULL },
		{ "/tallies/.", false, NULL, NULL },
		{ "/tallies/a%0", false, NULL, NULL },
		{ "/tallies/a%zz", false, NULL, NULL },
		{ "/tallies/a%00b", false, NULL, NULL },
		{ "/tallies/a b", false, NULL, NULL },
		{ "/tallies/a\x01", false, NULL, NULL },
		{ "/tallies/a\xc3\xb1", false, NULL, NULL },
		{ "/tallies/a#b", false, NULL, NULL },
		{ "/tallies\\x", false, NULL, NULL },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct target target;
		bool ok = target_parse(str_from(cases[i].raw), &target, NULL);

		CU_ASSERT_EQUAL(ok, cases[i].ok);
		if (!ok)
			continue;
		CU_ASSERT(
			str_equal(target.service, str_from(cases[i].service)));
		CU_ASSERT(str_equal(target.key, str_from(cases[i].key)));
		target_clear(&target);
	}
}

static void overlong_targets_are_refused(void)
{
	char *raw = g_malloc(TARGET_MAX_BYTES + 1);
	struct target target;

	memset(raw, 'a', TARGET_MAX_BYTES + 1);
	raw[0] = '/';
	CU_ASSERT(!target_parse((struct str){ raw, TARGET_MAX_BYTES + 1 },
				&target, NULL));
	CU_ASSERT(target_parse((struct str){ raw, TARGET_MAX_BYTES }, &target,
			       NULL));
	target_clear(&target);
	g_free(raw);
}

static void ambiguous_body_lengths_are_refused(void)
{
	static const struct {
		const char *lines[3];
		bool ok;
		int64_t length;
	} cases[] = {
		{ { "Host: a" }, true, HEADERS_LENGTH_UNTIL_CLOSE },
		{ { "Content-Length: 12" }, true, 12 },
		{ { "content-length: 0" }, true, 0 },
		{ { "Transfer-Encoding: chunked" },
		  true,
		  HEADERS_LENGTH_CHUNKED },
		{ { "transfer-encoding: CHUNKED" },
		  true,
		  HEADERS_LENGTH_CHUNKED },
		{ { "Content-Length: 1", "Transfer-Encoding: chunked" },
		  false,
		  0 },
		{ { "Content-Length: 1", "Content-Length: 1" }, false, 0 },
		{ { "Content-Length: 1", "Content-Length: 2" }, false, 0 },
		{ { "Content-Length: 1, 1" }, false, 0 },
		{ { "Content-Length: -1" }, false, 0 },
		{ { "Content-Length: +1" }, false, 0 },
		{ { "Content-Length: 0x10" }, false, 0 },
		{ { "Content-Length:" }, false, 0 },
		{ { "Content-Length: 9223372036854775808" }, false, 0 },
		{ { "Content-Length: 9223372036854775807" }, true, INT64_MAX },
		{ { "Transfer-Encoding: gzip, chunked" }, false, 0 },
		{ { "Transfer-Encoding: chunked, chunked" }, false, 0 },
		{ { "Transfer-Encoding: xchunked" }, false, 0 },
		{ { "Transfer-Encoding: chunked",
		    "Transfer-Encoding: chunked" },
		  false,
		  0 },
	};
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct headers *headers = headers_create();
		int64_t length = 0;
		bool ok;

		for (j = 0; j < 3 && cases[i].lines[j]; j++)
			CU_ASSERT(headers_add_line(
				headers, str_from(cases[i].lines[j])));
		ok = headers_body_length(headers, &length, NULL);
		CU_ASSERT_EQUAL(ok, cases[i].ok);
		if (ok)
			CU_ASSERT_EQUAL(length, cases[i].length);
		headers_destroy(headers);
	}
}

static void malformed_fields_are_refused(void)
{
	static const struct {
		const char *name;
		const char *value;
		size_t value_len;
		bool ok;
	} cases[] = {
		{ "Accept", "text/html", 9, true },
		{ "X", "", 0, true },
		{ "X", "a\tb", 3, true },
		{ "X", "\xc3\xb1", 2, true },
		{ "X", "a\rb", 3, false },
		{ "X", "a\nAuburn-Epoch: 1", 17, false },
		{ "X", "a\0b", 3, false },
		{ "X", "a\x7f", 2, false },
		{ "", "a", 1, false },
		{ "X Y", "a", 1, false },
		{ "X:", "a", 1, false },
		{ "X\t", "a", 1, false },
	};
	struct headers *headers = headers_create();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(headers_add(headers, str_from(cases[i].name),
					    (struct str){ cases[i].value,
							  cases[i].value_len }),
				cases[i].ok);
	CU_ASSERT(!headers_add_line(headers, STR("no colon")));
	headers_destroy(headers);
}

static void hop_by_hop_fields_are_removed(void)
{
	static const char *const lines[] = {
		"Host: a",
		"Connection: keep-alive, X-Secret",
		"Connection: x-other",
		"X-Secret: 1",
		"X-Other: 1",
		"Keep-Alive: 5",
		"TE: trailers",
		"Trailer: X",
		"Transfer-Encoding: chunked",
		"Upgrade: h2c",
		"HTTP2-Settings: x",
		"Proxy-Authorization: x",
		"Proxy-Connection: x",
		"Auburn-Epoch: 9",
		"AUBURN-verdict: not-run",
		"Auburn: kept",
		"Accept: b",
	};
	static const char *const kept[] = { "Host", "Auburn", "Accept" };
	struct headers *headers = headers_create();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++)
		CU_ASSERT(headers_add_line(headers, str_from(lines[i])));
	headers_strip(headers);
	CU_ASSERT_EQUAL(headers_count(headers), G_N_ELEMENTS(kept));
	for (i = 0; i < G_N_ELEMENTS(kept); i++)
		CU_ASSERT_PTR_NOT_NULL(
			headers_find(headers, str_from(kept[i])));
	headers_destroy(headers);
}

static void a_body_holds_at_most_its_limit(void)
{
	struct body *body = body_create(8, 0);

	CU_ASSERT_EQUAL(body_append(body, STR("0123456789")), 8);
	CU_ASSERT_EQUAL(body_room(body), 0);
	body_consume(body, 3);
	CU_ASSERT(str_equal(body_peek(body), STR("34567")));
	body_consume(body, 5);
	CU_ASSERT_EQUAL(body_room(body), 8);
	CU_ASSERT_EQUAL(body_peek(body).len, 0);
	body_unref(body);
}

static void a_short_body_can_be_read_again(void)
{
	struct body *body = body_create(8, 4);

	body_append(body, STR("0123"));
	body_consume(body, 4);
	CU_ASSERT(body_rewind(body));
	CU_ASSERT(str_equal(body_peek(body), STR("0123")));
	body_consume(body, 4);
	CU_ASSERT_EQUAL(body_append(body, STR("45")), 2);
	CU_ASSERT(!body_rewind(body));
	CU_ASSERT(!body_replayable(body));
	CU_ASSERT(str_equal(body_peek(body), STR("45")));
	body_unref(body);
}

static void a_long_body_passes_through_a_small_buffer(void)
{
	struct body *body = body_create(64, 32);
	unsigned char in = 0, out = 0;
	int i;

	for (i = 0; i < 20000; i++) {
		char byte = (char)in;
		struct str bytes;

		in += body_append(body, (struct str){ &byte, 1 }) ? 1 : 0;
		if (i % 3 == 0)
			continue;
		bytes = body_peek(body);
		if (!bytes.len)
			continue;
		CU_ASSERT_EQUAL((unsigned char)bytes.data[0], out);
		out++;
		body_consume(body, 1);
	}
	CU_ASSERT(in != 0 || out != 0);
	body_unref(body);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "targets are split or refused",
		  targets_are_split_or_refused },
		{ "overlong targets are refused",
		  overlong_targets_are_refused },
		{ "ambiguous body lengths are refused",
		  ambiguous_body_lengths_are_refused },
		{ "malformed fields are refused",
		  malformed_fields_are_refused },
		{ "hop-by-hop fields are removed",
		  hop_by_hop_fields_are_removed },
		{ "a body holds at most its limit",
		  a_body_holds_at_most_its_limit },
		{ "a short body can be read again",
		  a_short_body_can_be_read_again },
		{ "a long body passes through a small buffer",
		  a_long_body_passes_through_a_small_buffer },
		{ 0 },
	};

	return suite_run("http", cases);
}
