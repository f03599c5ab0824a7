#include "net/caller_body.h"

struct caller_body *caller_body_create(struct caller_budget *budget)
{
	struct caller_body *body = g_new0(struct caller_body, 1);

	body->bytes = g_string_new(NULL);
	body->references = 1;
	body->budget = budget;
	return body;
}

struct caller_body *caller_body_ref(struct caller_body *body)
{
	body->references++;
	return body;
}

void caller_body_unref(struct caller_body *body)
{
	if (!body || --body->references)
		return;
	if (body->budget)
		caller_budget_return(body->budget, NULL, body->held);
	g_string_free(body->bytes, TRUE);
	g_free(body);
}
