#include "base/error.h"
#include "profile/profile_fields.h"
#include "profile/profile_file.h"
#include "profile/settings.h"
#include "suite.h"

#include <stdlib.h>

/* Three lines with which most declarations of the cases begin. */
#define HEAD "[deployment]\nname = a\n[zone z]\n"

/* Parses declarations that are expected to be valid; aborts the case if not. */
static struct settings *must_parse(const char *text)
{
	GError *error = NULL;
	struct settings *s =
		profile_file_parse("t.conf", str_from(text), &error);

	CU_ASSERT_PTR_NULL(error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	return s;
}

static void bad_declarations_name_line_field_and_allowed_values(void)
{
	static const struct {
		const char *text;
		const char *parts[4];
	} cases[] = {
		{ HEAD "[profile p]\nweight = 0\n",
		  { "t.conf:5:", "[profile p] weight", "\"0\"", "from 1 to" } },
		{ HEAD "[profile p]\nonce = yes\n",
		  { "t.conf:5:", "once", "\"yes\"", "true, false" } },
		{ HEAD "[profile p]\ncolour = 1\n",
		  { "t.conf:5:", "colour", "unknown field", "allowed" } },
		{ HEAD "[service s]\ntenant = t\nprofile = q\n",
		  { "t.conf:6:", "profile", "\"q\"", "none declared" } },
		{ HEAD "[profile p]\n[service s]\ntenant = t\nprofile = q\n",
		  { "t.conf:7:", "profile", "\"q\"", "allowed: p" } },
		{ HEAD "[profile p]\nonce=true\nidempotent=true\n",
		  { "t.conf:5:", "once", "\"true\"", "idempotent" } },
		{ HEAD "[profile p]\nhedge=true\n",
		  { "t.conf:5:", "hedge", "\"true\"", "idempotent" } },
		{ HEAD "[profile p]\nhedge=true\nidempotent=true\n"
		       "[service s]\ntenant=t\nkeyed=true\nprofile=p\n",
		  { "t.conf:10:", "profile", "\"p\"", "no second owner" } },
		{ HEAD "[zone z]\n", { "t.conf:4:", "given twice", "", "" } },
		{ HEAD "[profile p]\nweight=1\nweight=2\n",
		  { "t.conf:6:", "given twice", "weight", "" } },
		{ HEAD "[profile P]\n",
		  { "t.conf:4:", "name", "\"P\"", "lower-case" } },
		{ HEAD "[table x]\n",
		  { "t.conf:4:", "unknown section", "[zone NAME]", "" } },
		{ HEAD "what\n",
		  { "t.conf:4:", "expected a section, a field", "", "" } },
		{ "[deployment]\nname = a\n",
		  { "t.conf:1:", "zones", "at least one zone", "" } },
		{ "[zone z]\n", { "t.conf:1:", "name", "\"\"", "letters" } },
		{ "", { "t.conf:1:", "UTF-8", "", "" } },
	};
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;
		struct settings *s = profile_file_parse(
			"t.conf", str_from(cases[i].text), &error);

		CU_ASSERT_PTR_NULL(s);
		CU_ASSERT_PTR_NOT_NULL(error);
		if (!error)
			continue;
		for (k = 0; k < 4; k++)
			CU_ASSERT_PTR_NOT_NULL(
				strstr(error->message, cases[i].parts[k]));
		g_error_free(error);
	}
}

static void settings_survive_their_json_form(void)
{
	struct settings *s = must_parse(HEAD "[profile p]\ndeadline_ms = 70\n"
					     "[service s]\ntenant = t\n"
					     "keyed = true\nprofile = p\n");
	struct settings_entry entry = { .attempt = (char *)"a-1",
					.author = (char *)"ana",
					.note = (char *)"first",
					.published_s = 9 };
	struct settings *decoded;
	GError *error = NULL;
	char *json, *diff;

	s->version = 3;
	settings_set_vm_out(s, STR("vm-1"), true);
	settings_append_entry(s, NULL, &entry);
	json = settings_encode(s);
	decoded = settings_parse(str_from(json), &error);
	CU_ASSERT_PTR_NULL(error);
	CU_ASSERT_PTR_NOT_NULL(decoded);
	if (!decoded)
		abort();
	CU_ASSERT_EQUAL(decoded->version, 3);
	CU_ASSERT_EQUAL(decoded->services[0].profile->deadline_us, 70000);
	CU_ASSERT_STRING_EQUAL(settings_entry(decoded, 3)->attempt, "a-1");
	diff = settings_diff(s, decoded);
	CU_ASSERT_STRING_EQUAL(diff, "");
	g_free(diff);
	g_free(json);
	settings_destroy(decoded);
	settings_destroy(s);
}

static void bad_json_is_refused(void)
{
	static const char *const cases[] = {
		"",
		"[]",
		"{",
		"null",
		"{\"version\":-1}",
		"{\"version\":1,\"deployment\":\"a\"}",
		"{\"version\":1,\"deployment\":\"a\",\"zones\":[1]}",
		"{\"version\":1,\"deployment\":\"a\",\"zones\":\"z\"}",
		"{\"version\":1,\"deployment\":\"a\",\"zones\":[\"z\"],"
		"\"zones_out\":[\"z\"]}",
		"{\"version\":1,\"deployment\":\"a\",\"zones\":[\"z\"],"
		"\"profiles\":[{\"name\":\"p\",\"weight\":\"1\"}]}",
		"{\"version\":1,\"deployment\":\"a\",\"zones\":[\"z\"],"
		"\"profiles\":[3]}",
		"{\"version\":1,\"deployment\":\"a\",\"zones\":[\"z\"],"
		"\"services\":[{\"name\":\"s\",\"tenant\":\"t\","
		"\"profile\":\"gone\"}]}",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(settings_parse(str_from(cases[i]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		if (!error)
			continue;
		CU_ASSERT_EQUAL(error->code, AUBURN_ERROR_INVALID);
		g_error_free(error);
	}
}

static void a_difference_names_each_change(void)
{
	struct settings *from = must_parse(HEAD "[profile p]\nweight = 1\n"
						"[profile old]\n");
	struct settings *to = must_parse(HEAD "[zone y]\n"
					      "[profile p]\nweight = 2\n");
	char *diff;

	settings_set_zone_out(to, STR("z"), true);
	diff = settings_diff(from, to);
	CU_ASSERT_STRING_EQUAL(diff, "+ zone y\n~ zone z: in -> out\n"
				     "- profile old\n"
				     "~ profile p weight: 1 -> 2\n");
	g_free(diff);
	settings_destroy(from);
	settings_destroy(to);
}

static void old_entries_are_forgotten(void)
{
	struct settings *last = NULL;
	uint64_t version;

	for (version = 1; version <= SETTINGS_RECENT_LIMIT + 5; version++) {
		struct settings *next = must_parse(HEAD);
		struct settings_entry entry = { .attempt = (char *)"a" };

		next->version = version;
		settings_append_entry(next, last, &entry);
		settings_destroy(last);
		last = next;
	}
	CU_ASSERT_EQUAL(last->recent_count, SETTINGS_RECENT_LIMIT);
	CU_ASSERT_PTR_NULL(settings_entry(last, 5));
	CU_ASSERT_PTR_NOT_NULL(settings_entry(last, 6));
	CU_ASSERT_PTR_NOT_NULL(settings_entry(last, version - 1));
	settings_destroy(last);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "bad declarations name line, field and allowed values",
		  bad_declarations_name_line_field_and_allowed_values },
		{ "settings survive their JSON form",
		  settings_survive_their_json_form },
		{ "bad JSON is refused", bad_json_is_refused },
		{ "a difference names each change",
		  a_difference_names_each_change },
		{ "old entries are forgotten", old_entries_are_forgotten },
		{ 0 },
	};

	return suite_run("settings", cases);
}
