/* Tests of the request history, in which operators look up ended requests. */
#include "request/request_history.h"

#include <glib.h>

#include "suite.h"

#define CAPACITY 4

static void the_last_entries_are_found(void)
{
	static const struct {
		const char *id;
		bool found;
	} cases[] = {
		{ "request-0", false }, { "request-1", false },
		{ "request-2", true },	{ "request-5", true },
		{ "request", false },	{ "", false },
	};
	struct request_history *request_history =
		request_history_create(CAPACITY);
	struct request_history_entry entry = { 0 };
	uint32_t i;

	CU_ASSERT_FALSE(request_history_find(request_history, STR("request-0"),
					     &entry));
	for (i = 0; i < CAPACITY + 2; i++) {
		g_snprintf(entry.id, sizeof(entry.id), "request-%u", i);
		entry.copies = i;
		request_history_add(request_history, &entry);
	}
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		CU_ASSERT_EQUAL(request_history_find(request_history,
						     str_from(cases[i].id),
						     &entry),
				cases[i].found);
		if (cases[i].found)
			CU_ASSERT_STRING_EQUAL(entry.id, cases[i].id);
	}
	CU_ASSERT_EQUAL(entry.copies, 5);
	request_history_destroy(request_history);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "the last entries are found", the_last_entries_are_found },
		{ 0 },
	};

	return suite_run("journal", cases);
}
