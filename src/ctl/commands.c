#include "ctl/commands.h"

#include <jansson.h>
#include <stdio.h>
#include <unistd.h>

#include "ctl/change.h"
#include "ctl/output.h"
#include "profile/profile_file.h"
#include "profile/settings.h"

#define STATUS_OK 200

#define API "/api/v1"
/* Interval at which --watch repeats the status. */
#define WATCH_SECONDS 1
/* Terminal escape sequence: cursor to the top left, then clear the screen. */
#define CLEAR_SCREEN "\033[H\033[2J"

static enum ctl_status run_validate(struct ctl *ctl)
{
	struct settings *s = change_load(ctl->args[0]);

	if (!s)
		return CTL_REFUSED;
	printf("%s: deployment %s: %zu zones, %zu profiles, %zu services\n",
	       ctl->args[0], s->deployment, s->zone_count, s->profile_count,
	       s->service_count);
	settings_destroy(s);
	return CTL_OK;
}

static enum ctl_status run_diff(struct ctl *ctl)
{
	struct settings *s = change_load(ctl->args[0]);
	struct settings *current;
	enum ctl_status status;
	char *diff;

	if (!s)
		return CTL_REFUSED;
	status = change_current(ctl, &current);
	if (status == CTL_OK) {
		diff = change_diff(current, s);
		fputs(diff, stdout);
		g_free(diff);
	}
	settings_destroy(current);
	settings_destroy(s);
	return status;
}

static enum ctl_status run_history(struct ctl *ctl)
{
	json_t *answer;
	enum ctl_status status = change_get(ctl, API "/history", &answer);

	if (status != CTL_OK)
		return status;
	if (ctl->settings->json)
		change_print_json(answer);
	else
		output_table("versions", json_object_get(answer, "recent"));
	json_decref(answer);
	return CTL_OK;
}

static enum ctl_status run_rollback(struct ctl *ctl)
{
	char *version = client_escape(ctl->args[0]);
	char *query = g_strdup_printf("version=%s", version);
	enum ctl_status status = change_post(ctl, API "/rollback", query);

	g_free(query);
	g_free(version);
	return status;
}

/* Takes the zone or VM of the first argument into or out of service.
 *
 * @param kind "zones" or "vms"
 * @param direction "in" or "out" */
static enum ctl_status post_in_or_out(struct ctl *ctl, const char *kind,
				      const char *direction)
{
	char *target = client_escape(ctl->args[0]);
	char *path = g_strdup_printf(API "/%s/%s/%s", kind, target, direction);
	enum ctl_status status = change_post(ctl, path, NULL);

	g_free(path);
	g_free(target);
	return status;
}

static enum ctl_status run_zone_out(struct ctl *ctl)
{
	return post_in_or_out(ctl, "zones", "out");
}

static enum ctl_status run_zone_in(struct ctl *ctl)
{
	return post_in_or_out(ctl, "zones", "in");
}

static enum ctl_status run_vm_out(struct ctl *ctl)
{
	return post_in_or_out(ctl, "vms", "out");
}

static enum ctl_status run_vm_in(struct ctl *ctl)
{
	return post_in_or_out(ctl, "vms", "in");
}

/* Returns a table of the zones with their state, "in" or "out" of service. */
static json_t *zone_rows(const json_t *status)
{
	const json_t *zones = json_object_get(status, "zones");
	const json_t *out = json_object_get(status, "zones_out");
	json_t *rows = json_array();
	size_t i, k;

	for (i = 0; i < json_array_size(zones); i++) {
		json_t *zone = json_array_get(zones, i);
		const char *state = "in";

		for (k = 0; k < json_array_size(out); k++)
			if (json_equal(zone, json_array_get(out, k)))
				state = "out";
		json_array_append_new(rows, json_pack("{s:O, s:s}", "zone",
						      zone, "state", state));
	}
	return rows;
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const json_t *const *x = a;
	const json_t *const *y = b;
	const char *left = json_string_value(json_object_get(*x, "id"));
	const char *right = json_string_value(json_object_get(*y, "id"));

	return g_strcmp0(left, right);
}

/* Returns a new array of the same objects, sorted by the member "id". */
static json_t *sort_by_id(const json_t *rows)
{
	GPtrArray *order = g_ptr_array_new();
	json_t *out = json_array();
	size_t i;

	for (i = 0; i < json_array_size(rows); i++)
		g_ptr_array_add(order, json_array_get(rows, i));
	g_ptr_array_sort(order, compare_ids);
	for (i = 0; i < order->len; i++)
		json_array_append(out, g_ptr_array_index(order, i));
	g_ptr_array_free(order, TRUE);
	return out;
}

static void print_status(const json_t *status)
{
	static const char *const tables[] = { "daemons", "cells", "vms" };
	const char *deployment =
		json_string_value(json_object_get(status, "deployment"));
	json_t *zones = zone_rows(status);
	size_t i;

	printf("deployment %s, version %" JSON_INTEGER_FORMAT ", %s\n",
	       deployment ? deployment : "(none)",
	       json_integer_value(json_object_get(status, "version")),
	       json_is_true(json_object_get(status, "in_contact"))
		       ? "in contact with the peers"
		       : "NOT in contact with half of the peers");
	output_table("zones", zones);
	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		json_t *rows = sort_by_id(json_object_get(status, tables[i]));

		output_table(tables[i], rows);
		json_decref(rows);
	}
	json_decref(zones);
}

static enum ctl_status show_status(struct ctl *ctl)
{
	json_t *answer;
	enum ctl_status status = change_get(ctl, API "/status", &answer);

	if (status != CTL_OK)
		return status;
	if (ctl->settings->watch && !ctl->settings->json)
		fputs(CLEAR_SCREEN, stdout);
	if (ctl->settings->json)
		change_print_json(answer);
	else
		print_status(answer);
	fflush(stdout);
	json_decref(answer);
	return CTL_OK;
}

static enum ctl_status run_status(struct ctl *ctl)
{
	enum ctl_status status = show_status(ctl);

	while (ctl->settings->watch) {
		sleep(WATCH_SECONDS);
		status = show_status(ctl);
	}
	return status;
}

/* Gets an object from the API and prints it. */
static enum ctl_status print_explanation(struct ctl *ctl, const char *path)
{
	json_t *answer;
	enum ctl_status status = change_get(ctl, path, &answer);

	if (status != CTL_OK)
		return status;
	if (ctl->settings->json)
		change_print_json(answer);
	else
		output_object(answer);
	json_decref(answer);
	return CTL_OK;
}

static enum ctl_status run_explain_key(struct ctl *ctl)
{
	char *service = client_escape(ctl->args[0]);
	char *key = client_escape(ctl->args[1]);
	char *path = g_strdup_printf(API "/explain/key?service=%s&key=%s",
				     service, key);
	enum ctl_status status = print_explanation(ctl, path);

	g_free(path);
	g_free(key);
	g_free(service);
	return status;
}

static enum ctl_status run_explain_request(struct ctl *ctl)
{
	char *id = client_escape(ctl->args[0]);
	char *path = g_strdup_printf(API "/explain/request/%s", id);
	struct client *assigners = ctl->client;
	enum ctl_status status;

	if (!*ctl->settings->routers) {
		fprintf(stderr, "auburnctl: --routers must name the operator "
				"addresses of the routers\n");
		g_free(path);
		g_free(id);
		return CTL_USAGE;
	}
	/* Only the router that received the request has a record of it. The
	 * client queries one router after another until one does not answer
	 * 404. */
	ctl->client =
		client_create(ctl->settings->routers, ctl->settings->token,
			      ctl->settings->timeout_ms);
	client_skip_not_found(ctl->client);
	status = print_explanation(ctl, path);
	client_destroy(ctl->client);
	ctl->client = assigners;
	g_free(path);
	g_free(id);
	return status;
}

/* Asserts to one assigner that the unlisted upstreams of a cell are gone, and
 * prints the result. */
static bool force_at(struct ctl *ctl, const char *address, const char *path)
{
	struct client_call call = { .method = "POST", .path = path };
	struct client *client = client_create(address, ctl->settings->token,
					      ctl->settings->timeout_ms);
	struct client_answer answer;
	bool done;

	client_send(client, &call, &answer);
	done = answer.status == STATUS_OK;
	printf("%s: %s\n", address,
	       done	       ? "forced"
	       : answer.status ? answer.body->str
			       : answer.message);
	client_answer_clear(&answer);
	client_destroy(client);
	return done;
}

/* Sends the assertion to every assigner, since any of them may become the
 * coordinator of the cell. */
static enum ctl_status run_force(struct ctl *ctl)
{
	char *service = client_escape(ctl->args[0]);
	char *path = g_strdup_printf(API "/cells/%s/force", service);
	char **addresses = g_strsplit(ctl->settings->operators, ",", -1);
	enum ctl_status status = CTL_OK;
	char **address;

	if (!ctl->settings->force) {
		fprintf(stderr, "auburnctl: needs --force: cell force is "
				"unsafe while an unlisted upstream runs\n");
		status = CTL_USAGE;
	}
	for (address = addresses; *address && ctl->settings->force; address++)
		if (!force_at(ctl, *address, path))
			status = CTL_UNAVAILABLE;
	g_strfreev(addresses);
	g_free(path);
	g_free(service);
	return status;
}

static enum ctl_status run_help(struct ctl *ctl)
{
	char *text = commands_help();

	(void)ctl;
	fputs(text, stdout);
	g_free(text);
	return CTL_OK;
}

static const struct command commands[] = {
	{ "validate", "FILE", 1, "check declarations, without any daemon",
	  run_validate },
	{ "diff", "FILE", 1, "what publishing a file would change", run_diff },
	{ "publish", "FILE", 1,
	  "publish declarations; --wait until they are in force",
	  change_publish },
	{ "history", "", 0, "the last versions, by whom and why", run_history },
	{ "rollback", "VERSION", 1,
	  "publish the declarations of an earlier version again",
	  run_rollback },
	{ "zone out", "ZONE", 1,
	  "no new work in a zone; --force skips the check of capacity",
	  run_zone_out },
	{ "zone in", "ZONE", 1, "new work in a zone again", run_zone_in },
	{ "vm out", "ID", 1, "no new work for a VM", run_vm_out },
	{ "vm in", "ID", 1, "new work for a VM again", run_vm_in },
	{ "status", "", 0, "daemons, zones, cells and VMs; --watch repeats",
	  run_status },
	{ "cell force", "SERVICE", 1,
	  "unlisted upstreams of a cell are gone for good; all --operators",
	  run_force },
	{ "explain key", "SERVICE KEY", 2, "who owns a key, and why",
	  run_explain_key },
	{ "explain request", "ID", 1,
	  "what became of a request; needs --routers", run_explain_request },
	{ "help", "", 0, "this list", run_help },
	{ 0 },
};

/* Returns how many arguments a command's name takes up; 0 when the arguments
 * don't begin with the name.
 *
 * @param words the command's name, of one or two words */
static size_t match_words(char **args, const char *words)
{
	char **parts = g_strsplit(words, " ", -1);
	size_t n = 0;

	while (parts[n] && args[n] && !strcmp(parts[n], args[n]))
		n++;
	if (parts[n])
		n = 0;
	g_strfreev(parts);
	return n;
}

const struct command *command_find(char **args, char ***rest)
{
	const struct command *c;

	for (c = commands; c->words; c++) {
		size_t n = match_words(args, c->words);

		*rest = args + n;
		if (n)
			return c;
	}
	return NULL;
}

char *commands_help(void)
{
	GString *out = g_string_new("Commands:\n");
	const struct command *c;

	for (c = commands; c->words; c++) {
		char *usage = g_strdup_printf("%s %s", c->words, c->arguments);

		g_string_append_printf(out, "  %-26s %s\n", usage, c->help);
		g_free(usage);
	}
	g_string_append(out, "Exit status: 0 done, 1 refused or conflict, "
			     "2 usage, 3 unavailable, 4 outcome unknown\n");
	return g_string_free(out, FALSE);
}
