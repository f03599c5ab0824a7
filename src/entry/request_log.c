/*
 * Log lines of requests. Each tells how recent the configuration, the list of
 * upstreams and the owners were by which it was decided.
 */
#include "entry/forward_impl.h"
#include "entry/watch_status.h"

/* Size of a buffer for what watch_status_describe() writes, and for the owner
 * of a key. */
#define STATUS_SIZE 256
#define OWNER_SIZE 192
/* Longest part of a caller's text in a line. */
#define TEXT_MAX 120

/* Milliseconds from a time; -1 if it is 0. */
static double ms_since(double time_s, double now)
{
	return time_s ? (now - time_s) * 1000 : -1;
}

/* Copies a caller's text to buf of TEXT_MAX + 1 bytes, without characters that
 * would end the value in a line. */
static void copy_text(char *buf, struct str text)
{
	size_t len = MIN(text.len, TEXT_MAX);
	size_t i;

	for (i = 0; i < len; i++)
		buf[i] = g_ascii_isgraph(text.data[i]) && text.data[i] != '"'
				 ? text.data[i]
				 : '?';
	if (!len)
		buf[len++] = '-';
	buf[len] = '\0';
}

/* Writes the owner of a request's key and how recent that is, or nothing for a
 * request without a key. */
static void describe_owner(const struct proxy_request *req, char *buf,
			   size_t size)
{
	const struct watch_status *status = req->forward->options.status;
	const struct key_map *keys = req->service->keys;
	const struct key_span *span;

	buf[0] = '\0';
	if (req->key < 0)
		return;
	span = key_map_find(keys, req->key);
	g_snprintf(buf, size,
		   " owner=%s fence=%" PRIu64 " map=%" PRIu64
		   " map_age_ms=%.0f map_missed=%d",
		   span->owner ? span->owner : "-", span->fence,
		   key_map_shown_version(keys->version),
		   ms_since(req->service->keys_updated_s,
			    forward_now(req->forward)),
		   status && watch_status_news(status)->missed_owners);
}

void request_log_event(const struct proxy_request *req, const char *event,
		       unsigned int status, const char *detail)
{
	const struct forward *forward = req->forward;
	double now = forward_now(forward);
	char watch[STATUS_SIZE], owner[OWNER_SIZE];

	watch_status_describe(forward->options.status, watch, sizeof(watch));
	describe_owner(req, owner, sizeof(owner));
	event_log_write(forward->options.log, "info", "request",
			"event=%s id=%.*s route=%s service=%s key=%d status=%u "
			"%s sends=%u age_ms=%.0f left_ms=%.0f config=%" PRIu64
			" config_now=%" PRIu64 " customer=%s %s%s",
			event, STR_ARG(req->id), req->route_name,
			req->service->name, req->key, status, detail,
			req->sends, (now - req->received_s) * 1000,
			(req->give_up_s - now) * 1000, req->routed_version,
			roster_config(forward->options.roster)->version,
			req->customer ? req->customer->name : "-", watch,
			owner);
}

void request_log_unrouted(const struct forward *forward,
			  const struct http_request *request,
			  unsigned int status, const char *reason)
{
	const struct config *config = roster_config(forward->options.roster);
	const struct header *id =
		headers_find(request->headers, STR("x-request-id"));
	struct str target = { request->target->str, request->target->len };
	char name[TEXT_MAX + 1], host[TEXT_MAX + 1], path[TEXT_MAX + 1];
	char watch[STATUS_SIZE];

	copy_text(name, id ? id->value : STR(""));
	copy_text(host, forward_host(request));
	copy_text(path, target);
	watch_status_describe(forward->options.status, watch, sizeof(watch));
	event_log_write(forward->options.log, "info", "request",
			"event=refused id=%s status=%u reason=%s host=%s "
			"target=%s config=%" PRIu64 " routes=%zu %s",
			name, status, reason, host, path,
			config ? config->version : 0,
			config ? config->route_count : 0, watch);
}

void request_log_sent(const struct upstream_attempt *attempt, bool backup)
{
	const struct forward *forward = attempt->forward;
	const struct proxy_request *req = attempt->req;
	const struct upstream *upstream = attempt->upstream;
	const struct load *load = &upstream->load;
	double now = forward_now(forward);
	char owner[OWNER_SIZE];

	describe_owner(req, owner, sizeof(owner));
	event_log_write(forward->options.log, "info", "request",
			"event=sent id=%.*s upstream=%s busy=%.1f slots=%u "
			"expected_ms=%.0f slowness=%.2f report_age_ms=%.0f "
			"backup=%d row=%" PRIu64 " row_age_ms=%.0f "
			"upstreams_age_ms=%.0f leaving_ms=%.0f lapsed=%d%s",
			STR_ARG(req->id), upstream->entry.id,
			attempt->busy_before, load->slots,
			load_expected_s(load, req->stats->mean_s, now) * 1000,
			load->slowness, (now - load->others_s) * 1000, backup,
			store_version_own(upstream->entry.row_version),
			ms_since(upstream->listed_s, now),
			watch_status_age_ms(forward->options.status,
					    COPIED_UPSTREAM_ROWS),
			ms_since(upstream->leaving_since_s, now),
			upstream->remove_at_s > 0, owner);
}

void request_log_reply(const struct upstream_attempt *attempt,
		       unsigned int status, const char *verdict)
{
	const struct upstream *upstream = attempt->upstream;
	const struct load *load = &upstream->load;
	double now = forward_now(attempt->forward);

	event_log_write(
		attempt->forward->options.log, "info", "request",
		"event=reply id=%.*s upstream=%s status=%u verdict=%s "
		"took_ms=%.0f others=%.0f work_factor=%.2f "
		"leaving_ms=%.0f removed=%d",
		attempt->req ? (int)attempt->req->id.len : 1,
		attempt->req ? attempt->req->id.data : "-", upstream->entry.id,
		status, verdict, (now - attempt->started_s) * 1000,
		load->others, load->work_factor,
		ms_since(upstream->leaving_since_s, now), upstream->removed);
}
