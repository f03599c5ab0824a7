#include "operator/common_routes.h"

#define TEXT_TYPE "text/plain; charset=utf-8"
#define METRICS_TYPE "text/plain; version=0.0.4"

static void on_help(void *ctx, struct operator_call *call)
{
	const struct common_routes *common = ctx;
	char *text = operator_routes_help(common->mounts);

	operator_call_answer(call, 200, TEXT_TYPE, str_from(text));
	g_free(text);
}

static void on_health(void *ctx, struct operator_call *call)
{
	(void)ctx;
	operator_call_answer(call, 200, TEXT_TYPE, STR("ok\n"));
}

static void on_ready(void *ctx, struct operator_call *call)
{
	const struct common_routes *common = ctx;
	const char *why = "not ready";
	char *text;

	if (common->ops->ready(common->ctx, &why)) {
		operator_call_answer(call, 200, TEXT_TYPE, STR("ready\n"));
		return;
	}
	text = g_strdup_printf("%s\n", why);
	operator_call_answer(call, 503, TEXT_TYPE, str_from(text));
	g_free(text);
}

static void on_metrics(void *ctx, struct operator_call *call)
{
	const struct common_routes *common = ctx;
	GString *out = g_string_new(NULL);

	common->ops->metrics(common->ctx, out);
	operator_call_answer(call, 200, METRICS_TYPE,
			     (struct str){ out->str, out->len });
	g_string_free(out, TRUE);
}

const struct operator_route common_routes[] = {
	{ "GET", "/", false, on_help, "this list" },
	{ "GET", "/health", false, on_health, "the process answers" },
	{ "GET", "/ready", false, on_ready,
	  "whether the daemon takes new work" },
	{ "GET", "/metrics", false, on_metrics, "counters and histograms" },
	{ 0 },
};
