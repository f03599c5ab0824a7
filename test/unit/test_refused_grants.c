/* Tests of the grants that their owners refused. */
#include "keys/refused_grants.h"

#include <string.h>

#include "suite.h"

#define FENCE 5

/* An event at an owner: 's' a request is sent to it, 'r' it refuses one, 'a' it
 * answers one. */
struct event {
	char kind;
	double sent_s, at_s;
};

static void an_owner_is_asked_again_when_it_may_hold_the_key(void)
{
	static const struct {
		const char *name;
		struct event events[6];
		/* Whether a request is sent at 10 s. */
		bool sent;
	} cases[] = {
		{ "nothing is known", { { 0 } }, true },
		{ "a refusal", { { 'r', 9.8, 9.95 } }, false },
		{ "a refusal of a while ago", { { 'r', 9, 9.2 } }, true },
		{ "another request finds out",
		  { { 'r', 9, 9.2 }, { 's', 9.9, 9.9 } },
		  false },
		{ "it has got the key",
		  { { 'r', 9, 9.2 }, { 's', 9.8, 9.8 }, { 'a', 9.8, 9.9 } },
		  true },
		{ "it answers what it was sent while it held the key",
		  { { 'r', 9.8, 9.95 }, { 'a', 9, 9.98 } },
		  false },
		{ "many such answers",
		  { { 'r', 9.5, 9.6 },
		    { 'r', 9.76, 9.8 },
		    { 'a', 9, 9.85 },
		    { 'a', 9, 9.9 },
		    { 'a', 9.1, 9.95 } },
		  false },
	};
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct refused_grants *grants = refused_grants_create();
		bool sent;

		for (j = 0; cases[i].events[j].kind; j++) {
			const struct event *event = &cases[i].events[j];

			if (event->kind == 's')
				refused_grants_sent(grants, FENCE, event->at_s);
			else if (event->kind == 'r')
				refused_grants_note(grants, FENCE,
						    event->sent_s, event->at_s);
			else
				refused_grants_ran(grants, FENCE,
						   event->sent_s);
		}
		sent = refused_grants_wait_s(grants, FENCE, 10) <= 0;
		if (sent != cases[i].sent)
			printf("# %s: sent %d\n", cases[i].name, sent);
		CU_ASSERT_EQUAL(sent, cases[i].sent);
		refused_grants_destroy(grants);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an owner is asked again when it may hold the key",
		  an_owner_is_asked_again_when_it_may_hold_the_key },
		{ 0 },
	};

	return suite_run("refused_grants", cases);
}
