#include "ctl/change.h"

#include <stdio.h>

#include "profile/profile_file.h"
#include "profile/settings.h"

#define API "/api/v1"
/* Interval at which wait_in_force() queries the assigner, in microseconds. */
#define POLL_US (200 * G_TIME_SPAN_MILLISECOND)

void change_print_json(const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	puts(text);
	free(text);
}

/* Prints an error message. @return status */
static enum ctl_status print_error(enum ctl_status status, const char *message)
{
	fprintf(stderr, "auburnctl: %s\n", message);
	return status;
}

struct settings *change_load(const char *path)
{
	GError *error = NULL;
	struct settings *s = profile_file_load(path, &error);

	if (s)
		return s;
	print_error(CTL_REFUSED, error->message);
	g_error_free(error);
	return NULL;
}

/* Maps the answer to a call to an exit status. A daemon answers 504 when it
 * does not know the outcome of a change. */
static enum ctl_status exit_status_of(const struct client_answer *answer,
				      bool change)
{
	if (answer->status == 0)
		return change && answer->sent ? CTL_UNKNOWN : CTL_UNAVAILABLE;
	if (answer->status < 300)
		return CTL_OK;
	if (answer->status == 504)
		return CTL_UNKNOWN;
	return answer->status >= 500 ? CTL_UNAVAILABLE : CTL_REFUSED;
}

/* Prints why a call failed.
 *
 * @param json the answer's body as JSON, or NULL */
static void print_failure(const struct client_answer *answer,
			  const json_t *json)
{
	const char *text = json_string_value(json_object_get(json, "error"));

	if (!answer->status) {
		fprintf(stderr, "auburnctl: no daemon answered: %s%s\n",
			answer->message,
			answer->sent ? " (a daemon may have received the call)"
				     : "");
		return;
	}
	fprintf(stderr, "auburnctl: status %ld: %s\n", answer->status,
		text ? text : answer->body->str);
}

enum ctl_status change_get(struct ctl *ctl, const char *path, json_t **json)
{
	struct client_call call = { .method = "GET", .path = path };
	struct client_answer answer;
	enum ctl_status status;

	client_send(ctl->client, &call, &answer);
	status = exit_status_of(&answer, false);
	*json = json_loadb(answer.body->str, answer.body->len, 0, NULL);
	if (status == CTL_OK && !*json)
		status = CTL_UNAVAILABLE;
	if (status != CTL_OK) {
		print_failure(&answer, *json);
		json_decref(*json);
		*json = NULL;
	}
	client_answer_clear(&answer);
	return status;
}

enum ctl_status change_current(struct ctl *ctl, struct settings **current)
{
	struct client_call call = { .method = "GET", .path = API "/settings" };
	struct client_answer answer;
	enum ctl_status status;

	*current = NULL;
	client_send(ctl->client, &call, &answer);
	status = exit_status_of(&answer, false);
	if (status == CTL_OK) {
		*current = settings_parse(
			(struct str){ answer.body->str, answer.body->len },
			NULL);
		if (!*current)
			status = print_error(CTL_UNAVAILABLE,
					     "the settings in force can't be "
					     "read by this program");
	} else if (answer.status == 404) {
		status = CTL_OK;
	} else {
		print_failure(&answer, NULL);
	}
	client_answer_clear(&answer);
	return status;
}

char *change_diff(const struct settings *current, struct settings *next)
{
	if (current)
		settings_inherit_out_lists(next, current);
	return settings_diff(current, next);
}

/* Prints the ids of the daemons on which the version is not in force. */
static void print_lacking(const json_t *coverage)
{
	const json_t *names = json_object_get(coverage, "lacking");
	size_t i;

	for (i = 0; i < json_array_size(names); i++)
		fprintf(stderr, "auburnctl: daemon lacking the version: %s\n",
			json_string_value(json_array_get(names, i)));
}

/* Waits until a version is in force on all daemons that the assigner has had
 * contact with lately, or until --wait-ms is over. Then prints on how many of
 * them it is in force. */
static enum ctl_status wait_in_force(struct ctl *ctl, json_int_t version)
{
	char *path = g_strdup_printf(
		API "/in-force?version=%" JSON_INTEGER_FORMAT, version);
	gint64 end = g_get_monotonic_time() +
		     ctl->settings->wait_ms * G_TIME_SPAN_MILLISECOND;
	enum ctl_status status;
	json_t *coverage;
	json_int_t in_force, total;

	for (;;) {
		status = change_get(ctl, path, &coverage);
		if (status != CTL_OK)
			break;
		in_force = json_integer_value(
			json_object_get(coverage, "in_force"));
		total = json_integer_value(json_object_get(coverage, "of"));
		if (in_force == total || g_get_monotonic_time() >= end) {
			if (ctl->settings->json)
				change_print_json(coverage);
			else
				printf("in force on %" JSON_INTEGER_FORMAT
				       " of %" JSON_INTEGER_FORMAT "\n",
				       in_force, total);
			print_lacking(coverage);
			status = in_force == total ? CTL_OK : CTL_UNAVAILABLE;
			json_decref(coverage);
			break;
		}
		json_decref(coverage);
		g_usleep(POLL_US);
	}
	g_free(path);
	return status;
}

/* Prints the outcome of a change.
 *
 * @param json the answer of the API to the change */
static void print_outcome(const struct ctl *ctl, const json_t *json,
			  json_int_t version)
{
	const char *outcome =
		json_string_value(json_object_get(json, "outcome"));
	const char *message =
		json_string_value(json_object_get(json, "message"));

	if (ctl->settings->json)
		change_print_json(json);
	else
		printf("%s %s version %" JSON_INTEGER_FORMAT "\n", outcome,
		       !strcmp(outcome, "accepted") ? "as" : "at", version);
	if (message && *message)
		fprintf(stderr, "auburnctl: %s\n", message);
	if (json_is_true(json_object_get(json, "force_helps")))
		fprintf(stderr, "auburnctl: --force overrides this check\n");
}

/* Sends a change, prints its outcome and, with --wait, waits until the change
 * is in force. */
static enum ctl_status send_change(struct ctl *ctl, struct client_call *call)
{
	char *attempt = g_uuid_string_random();
	struct client_answer answer;
	enum ctl_status status;
	json_int_t version;
	json_t *json;

	call->attempt = attempt;
	client_send(ctl->client, call, &answer);
	status = exit_status_of(&answer, true);
	json = json_loadb(answer.body->str, answer.body->len, 0, NULL);
	version = json_integer_value(json_object_get(json, "version"));
	if (json_is_string(json_object_get(json, "outcome")))
		print_outcome(ctl, json, version);
	else
		print_failure(&answer, json);
	json_decref(json);
	client_answer_clear(&answer);
	g_free(attempt);
	if (status == CTL_OK && ctl->settings->wait)
		status = wait_in_force(ctl, version);
	return status;
}

/* Builds a path with the query parameters of every change (author, note, force)
 * and those of the command.
 *
 * @param query parameters of the command, URL-escaped, or NULL */
static char *change_path(const struct ctl *ctl, const char *path,
			 const char *query)
{
	const char *author = *ctl->settings->author ? ctl->settings->author
						    : g_get_user_name();
	char *escaped = client_escape(author);
	char *note = client_escape(ctl->settings->note);
	char *full =
		g_strdup_printf("%s?author=%s&note=%s%s%s%s", path, escaped,
				note, ctl->settings->force ? "&force=true" : "",
				query ? "&" : "", query ? query : "");

	g_free(note);
	g_free(escaped);
	return full;
}

enum ctl_status change_post(struct ctl *ctl, const char *path,
			    const char *query)
{
	char *full = change_path(ctl, path, query);
	struct client_call call = { .method = "POST", .path = full };
	enum ctl_status status = send_change(ctl, &call);

	g_free(full);
	return status;
}

/* Publishes settings if those in force are still current, which is NULL when
 * nothing is published. */
static enum ctl_status put_settings(struct ctl *ctl,
				    const struct settings *current,
				    const struct settings *next)
{
	char *path = change_path(ctl, API "/settings", NULL);
	char *json = settings_encode(next);
	char *match = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"",
				      current ? current->version : 0);
	struct client_call call = { .method = "PUT",
				    .path = path,
				    .if_match = match,
				    .body = str_from(json) };
	enum ctl_status status = send_change(ctl, &call);

	g_free(match);
	free(json);
	g_free(path);
	return status;
}

enum ctl_status change_publish(struct ctl *ctl)
{
	struct settings *next = change_load(ctl->args[0]);
	struct settings *current;
	enum ctl_status status;
	char *diff;

	if (!next)
		return CTL_REFUSED;
	status = change_current(ctl, &current);
	if (status == CTL_OK) {
		diff = change_diff(current, next);
		if (!ctl->settings->json)
			fputs(diff, stdout);
		g_free(diff);
		status = put_settings(ctl, current, next);
	}
	settings_destroy(current);
	settings_destroy(next);
	return status;
}
