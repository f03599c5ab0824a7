/*
 * Validation of option values, the hash of keys and the names of reasons.
 */
#include "base/address.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/options.h"
#include "base/verdict.h"
#include "suite.h"

struct settings {
	int64_t limit;
	char *address;
	bool json;
};

static const struct option_spec options[] = {
	{ .name = "limit",
	  .type = OPTION_INT,
	  .fallback = "3",
	  .min = 1,
	  .max = 9,
	  .help = "a limit",
	  .offset = offsetof(struct settings, limit) },
	{ .name = "listen",
	  .type = OPTION_ADDRESS,
	  .fallback = "",
	  .help = "an address",
	  .offset = offsetof(struct settings, address) },
	{ .name = "json",
	  .type = OPTION_BOOL,
	  .fallback = "false",
	  .help = "a switch",
	  .offset = offsetof(struct settings, json) },
	{ 0 },
};

static void option_values_are_checked(void)
{
	static const struct {
		/* Index into options. */
		int option;
		const char *text;
		bool ok;
	} cases[] = {
		{ 0, "1", true },
		{ 0, "9", true },
		{ 0, "0", false },
		{ 0, "10", false },
		{ 0, "x", false },
		{ 0, "", false },
		{ 0, "3x", false },
		{ 1, "127.0.0.1:80", true },
		{ 1, "127.0.0.1", false },
		{ 1, "localhost:80", false },
		{ 1, "127.0.0.1:-1", false },
		{ 1, "127.0.0.1:65536", false },
		{ 2, "true", true },
		{ 2, "yes", false },
	};
	struct settings settings = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;
		const struct option_spec *o = &options[cases[i].option];

		CU_ASSERT_EQUAL(
			options_set(o, cases[i].text, &settings, &error),
			cases[i].ok);
		CU_ASSERT_EQUAL(!error, cases[i].ok);
		if (error) {
			CU_ASSERT_PTR_NOT_NULL(strstr(error->message, o->name));
			CU_ASSERT_PTR_NOT_NULL(
				strstr(error->message, cases[i].text));
			CU_ASSERT_PTR_NOT_NULL(
				strstr(error->message, "allowed"));
		}
		g_clear_error(&error);
		g_clear_pointer(&settings.address, g_free);
	}
}

/* Processes of different releases must map a key to the same position. */
static void hash_is_stable(void)
{
	CU_ASSERT_EQUAL(hash_key(STR("")), UINT64_C(0x2d06800538d394c2));
	CU_ASSERT_NOT_EQUAL(hash_key(STR("a")), hash_key(STR("b")));
}

static void every_reason_has_a_token(void)
{
	int i;

	for (i = 0; i < REASON_COUNT; i++) {
		enum verdict_reason reason;
		const char *name = verdict_reason_name(i);

		CU_ASSERT_PTR_NOT_NULL_FATAL(name);
		CU_ASSERT_TRUE(verdict_reason_parse(name, &reason));
		CU_ASSERT_EQUAL((int)reason, i);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "option values are checked", option_values_are_checked },
		{ "hash is stable", hash_is_stable },
		{ "every reason has a token", every_reason_has_a_token },
		{ 0 },
	};

	return suite_run("base", cases);
}
