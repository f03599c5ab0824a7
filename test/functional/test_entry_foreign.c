/*
 * Entries of other writers among those of the upstreams: they name a service
 * that the configuration doesn't have. Such an entry must neither end the wait
 * for an owner's grant nor take an upstream out of use.
 */
#include <string.h>

#include "cluster_entry.h"
#include "suite.h"

/* Number of auburn-entry processes. */
#define ENTRIES 2
#define GRACE_S 6
/* A foreign entry's start: later than that of any upstream, 2096-10-02. */
#define LATE_MS "4000000000000"

static struct entry_rig rig;

/* Returns the address of an upstream as JSON; the caller frees it. */
static char *upstream_address(unsigned int index)
{
	char *uri = g_strdup_printf("/control/address?id=%u", index);
	GString *state = entry_rig_query(&rig, uri, NULL);
	static const char name[] = "\"address\":";
	const char *at = strstr(state->str, name);
	char *address = NULL;

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	if (at) {
		at += strlen(name);
		address = g_strndup(at, strcspn(at + 1, "\"") + 2);
	}
	g_string_free(state, TRUE);
	g_free(uri);
	return address;
}

/* Writes an entry of a service that the configuration doesn't have.
 *
 * @param key the entry's key
 * @param address upstream whose address the entry has */
static void put_foreign_entry(const char *key, unsigned int address)
{
	char *uri = g_strdup_printf("/control/entry?id=%s", key);
	char *text = upstream_address(address);
	char *body = g_strdup_printf(
		"{\"service\":\"inventory\",\"address\":%s,\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
		"\"cold_left_s\":0.0,\"seq\":1,\"born\":" LATE_MS "}",
		text);

	entry_rig_command(&rig, uri, body);
	g_free(body);
	g_free(text);
	g_free(uri);
}

/* Guards against granting keys whose owner was only cut off from the store,
 * because a foreign entry has the owner's address or its id. Upstreams 2 and 3
 * own all keys. */
static void a_foreign_entry_does_not_end_an_owners_grant(void)
{
	static const struct {
		const char *key;
		unsigned int address;
		/* The owner's entry disappears; else the foreign one is under
		 * its id. */
		bool lapses;
	} rows[] = {
		{ "x-foreign", 2, true },
		{ "t-2", 2, false },
		{ "t-2", 0, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		entry_rig_start(&rig, ENTRIES, GRACE_S);
		put_foreign_entry(rows[i].key, rows[i].address);
		if (rows[i].lapses)
			entry_rig_command(&rig, "/control/lapse?id=2", NULL);
		/* The keys of the owner that lapsed are served again, by the
		 * other one, once they were released or its grant expired. */
		g_usleep(G_USEC_PER_SEC);
		CU_ASSERT_TRUE(process_wait_until(
			entry_serves_keys, &rig.entries[0], RIG_WAIT_US));
		CU_ASSERT_EQUAL(entry_rig_count(&rig, "double_owners"), 0);
		entry_rig_stop(&rig);
	}
}

/* Whether upstream 0 answers a request; upstream 1 gets requests as well. */
static bool upstream_0_answers(void *ctx)
{
	char id[32];
	struct http_answer *answer =
		entry_send(ctx, "/plain/a", NULL, 0, NULL, id);
	bool found = !strcmp(answer->body->str, "t-0");

	http_answer_destroy(answer);
	return found;
}

/* Guards against an upstream that gets no more requests, because a foreign
 * entry with a later start replaced its own for a moment. */
static void an_upstream_is_used_again_after_a_foreign_entry(void)
{
	unsigned int i;

	entry_rig_start(&rig, ENTRIES, GRACE_S);
	put_foreign_entry("t-0", 0);
	g_usleep(G_USEC_PER_SEC);
	/* The upstream writes its entry again. */
	entry_rig_command(&rig, "/control/undrain?id=0", NULL);
	for (i = 0; i < ENTRIES; i++)
		CU_ASSERT_TRUE(process_wait_until(
			upstream_0_answers, &rig.entries[i], RIG_WAIT_US));
	entry_rig_stop(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a foreign entry does not end an owner's grant",
		  a_foreign_entry_does_not_end_an_owners_grant },
		{ "an upstream is used again after a foreign entry",
		  an_upstream_is_used_again_after_a_foreign_entry },
		{ 0 },
	};

	return suite_run("entry_foreign", cases);
}
