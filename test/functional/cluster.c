#include "cluster.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/error.h"
#include "profile/profile_file.h"
#include "profile/settings.h"

/* Time limit for a process to listen, and for auburnctl to end. */
#define START_LIMIT_US (30 * US_PER_SECOND)
/* Time limit for a service to answer through a router after the start. */
#define READY_LIMIT_US (60 * US_PER_SECOND)
/* Pause between two requests of cluster_wait_answer(). */
#define RETRY_US (20 * US_PER_MS)
/* Number of lines to print from the end of each log. */
#define LOG_LINES 40
/* Pairs of a router and an assigner, when the options don't say how many. */
#define DEFAULT_PAIRS 3
/* Buffer size for an id, a number or a short URI. */
#define TEXT_SIZE 64

struct cluster {
	char *folder;
	struct process *platform;
	/* struct cluster_upstream * */
	GPtrArray *upstreams;
	/* struct process * */
	GPtrArray *assigners, *routers, *loadgens;
	/* The published settings; they name the zones. */
	struct settings *settings;
};

static const char *const no_arguments[] = { NULL };

static void free_upstream(gpointer data)
{
	struct cluster_upstream *u = data;

	process_destroy(u->process);
	g_free(u->id);
	g_free(u->service);
	g_free(u->zone);
	g_free(u->record_path);
	g_free(u);
}

static void free_process(gpointer data)
{
	process_destroy(data);
}

/* Creates the argument list of a program; argument_add() extends it. */
static GPtrArray *arguments_new(const char *program)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(args, g_strdup_printf("%s/%s", PROGRAM_DIR, program));
	return args;
}

/* Adds an argument "--name=value". */
static void argument_add(GPtrArray *args, const char *name, const char *value)
{
	g_ptr_array_add(args, g_strdup_printf("--%s=%s", name, value));
}

/* Starts a program with args, then more, which may be NULL. Frees args. */
static struct process *arguments_start(struct cluster *cluster, GPtrArray *args,
				       const char *name,
				       const char *const *more, GError **error)
{
	struct process *process;

	for (; more && *more; more++)
		g_ptr_array_add(args, g_strdup(*more));
	g_ptr_array_add(args, NULL);
	process = process_start(name, cluster->folder,
				(const char *const *)args->pdata, error);
	g_ptr_array_unref(args);
	return process;
}

static bool start_platform(struct cluster *cluster, GError **error)
{
	cluster->platform =
		arguments_start(cluster, arguments_new("standin-platform"),
				"platform", no_arguments, error);
	return cluster->platform &&
	       process_wait_listening(cluster->platform, START_LIMIT_US, error);
}

/* Returns the zone of a VM, by the VM's number within its service or role:
 * zones are assigned round robin. */
static const char *zone_of(const struct cluster *cluster, unsigned int number)
{
	return cluster->settings->zones[number % cluster->settings->zone_count];
}

static bool start_upstream(struct cluster *cluster, const char *service,
			   unsigned int number, const char *const *more,
			   GError **error)
{
	struct cluster_upstream *u = g_new0(struct cluster_upstream, 1);
	GPtrArray *args = arguments_new("standin-upstream");
	char seed[TEXT_SIZE];

	u->id = g_strdup_printf("%s-%u", service, number);
	u->service = g_strdup(service);
	u->zone = g_strdup(zone_of(cluster, number));
	u->record_path = g_strdup_printf("%s/%s.tsv", cluster->folder, u->id);
	u->state = "live";
	g_ptr_array_add(cluster->upstreams, u);
	snprintf(seed, sizeof(seed), "%u", cluster->upstreams->len);
	argument_add(args, "id", u->id);
	argument_add(args, "service", service);
	argument_add(args, "record", u->record_path);
	argument_add(args, "seed", seed);
	u->process = arguments_start(cluster, args, u->id, more, error);
	return u->process != NULL;
}

static bool start_upstreams(struct cluster *cluster,
			    const struct cluster_options *options,
			    GError **error)
{
	const struct cluster_service *s;
	bool ok = true;
	unsigned int i;

	for (s = options->services; ok && s->name; s++)
		for (i = 0; ok && i < s->count; i++)
			ok = start_upstream(cluster, s->name, i,
					    options->upstream_arguments, error);
	for (i = 0; ok && i < cluster->upstreams->len; i++)
		ok = process_wait_listening(
			cluster_upstream(cluster, i)->process, START_LIMIT_US,
			error);
	return ok;
}

/* Returns the arguments that routers and assigners have in common. The index
 * of the daemon among those of its role determines its zone. */
static GPtrArray *daemon_arguments(const struct cluster *cluster,
				   const char *program, const char *id,
				   unsigned int index)
{
	GPtrArray *args = arguments_new(program);

	argument_add(args, "daemon", id);
	argument_add(args, "zone", zone_of(cluster, index));
	argument_add(args, "listen", "127.0.0.1:0");
	argument_add(args, "operator-listen", "127.0.0.1:0");
	argument_add(args, "operator-token", CLUSTER_TOKEN);
	argument_add(args, "platform",
		     process_address(cluster->platform, "http"));
	return args;
}

/* Returns the started assigners' addresses, separated by commas. */
static char *assigner_addresses(const struct cluster *cluster)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < cluster->assigners->len; i++)
		g_string_append_printf(
			text, "%s%s", i ? "," : "",
			process_address(cluster->assigners->pdata[i], "wire"));
	return g_string_free(text, FALSE);
}

/* Starts a router or an assigner and adds it to the array "into", which is
 * cluster->routers or cluster->assigners and so determines the role. */
static bool start_daemon(struct cluster *cluster, const char *program,
			 GPtrArray *into, unsigned int index,
			 const char *const *more, GError **error)
{
	bool router = into == cluster->routers;
	char *peers = assigner_addresses(cluster);
	struct process *process;
	char id[TEXT_SIZE];
	GPtrArray *args;

	snprintf(id, sizeof(id), "%s-%u", router ? "router" : "assigner",
		 index);
	args = daemon_arguments(cluster, program, id, index);
	if (*peers)
		argument_add(args, router ? "assigners" : "peers", peers);
	g_free(peers);
	process = arguments_start(cluster, args, id, more, error);
	if (!process)
		return false;
	g_ptr_array_add(into, process);
	return process_wait_listening(process, START_LIMIT_US, error);
}

static bool start_pairs(struct cluster *cluster,
			const struct cluster_options *options, GError **error)
{
	unsigned int pairs = options->pairs ? options->pairs : DEFAULT_PAIRS;
	bool ok = true;
	unsigned int i;

	for (i = 0; ok && i < pairs; i++)
		ok = start_daemon(cluster, "auburn-assigner",
				  cluster->assigners, i,
				  options->assigner_arguments, error);
	for (i = 0; ok && i < pairs; i++)
		ok = start_daemon(cluster, "auburn-router", cluster->routers, i,
				  options->router_arguments, error);
	return ok;
}

static json_t *vm_json(const struct cluster_upstream *u)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b}", "id", u->id,
			 "service", u->service, "zone", u->zone, "address",
			 process_address(u->process, "data"), "control",
			 process_address(u->process, "control"), "state",
			 u->state, "fences", 1);
}

/* Returns whether a POST was answered with status 200. */
static bool post(const char *address, const char *uri, const char *body)
{
	struct http_request request = { .address = address,
					.uri = uri,
					.body = body };

	return http_status(&request) == 200;
}

/* Replaces the platform's VM list by the upstreams that aren't "gone". */
static bool register_vms(struct cluster *cluster)
{
	json_t *vms = json_array();
	json_t *body;
	char *text;
	bool ok;
	guint i;

	for (i = 0; i < cluster->upstreams->len; i++) {
		struct cluster_upstream *u = cluster_upstream(cluster, i);

		if (strcmp(u->state, "gone") != 0)
			json_array_append_new(vms, vm_json(u));
	}
	body = json_pack("{s:b,s:o}", "replace", 1, "vms", vms);
	text = json_dumps(body, JSON_COMPACT);
	ok = post(process_address(cluster->platform, "http"), "/standin/vms",
		  text);
	free(text);
	json_decref(body);
	return ok;
}

static bool wait_services(struct cluster *cluster,
			  const struct cluster_options *options, GError **error)
{
	const struct cluster_service *s;
	char uri[TEXT_SIZE];
	unsigned int i;

	for (i = 0; i < cluster->routers->len; i++)
		for (s = options->services; s->name; s++) {
			snprintf(uri, sizeof(uri), "/%s/first", s->name);
			if (cluster_wait_answer(cluster, i, uri,
						READY_LIMIT_US))
				continue;
			g_set_error(error, AUBURN_ERROR,
				    AUBURN_ERROR_UNAVAILABLE,
				    "router-%u did not answer GET %s with "
				    "status 200 in time",
				    i, uri);
			return false;
		}
	return true;
}

static bool publish(struct cluster *cluster, const char *profiles)
{
	const char *const arguments[] = { "publish", profiles, "--wait", NULL };
	char *output = NULL;
	int status = cluster_run_auburnctl(cluster, arguments, &output);

	if (status)
		printf("# auburnctl publish: exit status %d\n%s", status,
		       output);
	g_free(output);
	return status == 0;
}

static bool start_all(struct cluster *cluster,
		      const struct cluster_options *options, GError **error)
{
	const char *profiles = options->profiles ? options->profiles
						 : SOURCE_DIR
				       "/examples/el-oro.conf";

	cluster->folder = g_dir_make_tmp("auburn-XXXXXX", error);
	cluster->settings =
		cluster->folder ? profile_file_load(profiles, error) : NULL;
	return cluster->settings && start_platform(cluster, error) &&
	       start_upstreams(cluster, options, error) &&
	       register_vms(cluster) && start_pairs(cluster, options, error) &&
	       publish(cluster, profiles) &&
	       (options->no_wait || wait_services(cluster, options, error));
}

struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error)
{
	struct cluster *cluster = g_new0(struct cluster, 1);

	signal(SIGPIPE, SIG_IGN);
	cluster->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	cluster->assigners = g_ptr_array_new_with_free_func(free_process);
	cluster->routers = g_ptr_array_new_with_free_func(free_process);
	cluster->loadgens = g_ptr_array_new_with_free_func(free_process);
	if (start_all(cluster, options, error))
		return cluster;
	if (error && !*error)
		g_set_error_literal(error, AUBURN_ERROR,
				    AUBURN_ERROR_UNAVAILABLE,
				    "the platform refused the VM list, or "
				    "auburnctl failed to "
				    "publish the settings");
	cluster_destroy(cluster, true);
	return NULL;
}

static void print_logs(const GPtrArray *processes)
{
	guint i;

	for (i = 0; i < processes->len; i++)
		process_print_log(processes->pdata[i], LOG_LINES);
}

void cluster_destroy(struct cluster *cluster, bool failed)
{
	if (!cluster)
		return;
	if (failed) {
		print_logs(cluster->assigners);
		print_logs(cluster->routers);
	}
	g_ptr_array_unref(cluster->loadgens);
	g_ptr_array_unref(cluster->routers);
	g_ptr_array_unref(cluster->assigners);
	g_ptr_array_unref(cluster->upstreams);
	process_destroy(cluster->platform);
	settings_destroy(cluster->settings);
	if (cluster->folder)
		process_remove_folder(cluster->folder);
	g_free(cluster->folder);
	g_free(cluster);
}

struct process *cluster_platform(struct cluster *cluster)
{
	return cluster->platform;
}

unsigned int cluster_pair_count(const struct cluster *cluster)
{
	return cluster->routers->len;
}

struct process *cluster_router(struct cluster *cluster, unsigned int index)
{
	return cluster->routers->pdata[index];
}

struct process *cluster_assigner(struct cluster *cluster, unsigned int index)
{
	return cluster->assigners->pdata[index];
}

unsigned int cluster_upstream_count(const struct cluster *cluster)
{
	return cluster->upstreams->len;
}

struct cluster_upstream *cluster_upstream(struct cluster *cluster,
					  unsigned int index)
{
	return cluster->upstreams->pdata[index];
}

const char *cluster_caller_address(struct cluster *cluster, unsigned int router)
{
	return process_address(cluster_router(cluster, router), "callers");
}

const char *cluster_operator_address(const struct process *daemon)
{
	return process_address(daemon, "operator");
}

const char *cluster_folder(const struct cluster *cluster)
{
	return cluster->folder;
}

int cluster_find_upstream(struct cluster *cluster, const char *id)
{
	guint i;

	for (i = 0; i < cluster->upstreams->len; i++)
		if (!strcmp(cluster_upstream(cluster, i)->id, id))
			return (int)i;
	return -1;
}

void cluster_switch_platform(struct cluster *cluster, const char *json)
{
	if (!post(process_address(cluster->platform, "http"), "/switch", json))
		printf("# the platform stand-in did not accept the faults %s\n",
		       json);
}

void cluster_switch_upstream(struct cluster *cluster, unsigned int index,
			     const char *json)
{
	struct process *process = cluster_upstream(cluster, index)->process;

	if (!post(process_address(process, "control"), "/switch", json))
		printf("# the upstream stand-in did not accept the faults %s\n",
		       json);
}

/* Makes the process listen on its current addresses again at its next start,
 * since the other processes know only these. */
static void keep_addresses(struct process *process)
{
	/* Name of an address in the "listening" line, and name of the argument
	 * that sets this address. */
	static const struct {
		const char *address, *argument;
	} names[] = {
		{ "data", "data" },   { "control", "control" },
		{ "wire", "listen" }, { "callers", "listen" },
		{ "http", "listen" }, { "operator", "operator-listen" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *address =
			process_address(process, names[i].address);

		if (*address)
			process_set_argument(process, names[i].argument,
					     address);
	}
}

bool cluster_restart(struct process *process)
{
	keep_addresses(process);
	return process_restart(process, NULL) &&
	       process_wait_listening(process, START_LIMIT_US, NULL);
}

void cluster_set_state(struct cluster *cluster, unsigned int index,
		       const char *state)
{
	cluster_upstream(cluster, index)->state = state;
	register_vms(cluster);
}

/* Returns the assigners' operator addresses, separated by commas. */
static char *operator_addresses(const struct cluster *cluster)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < cluster->assigners->len; i++)
		g_string_append_printf(
			text, "%s%s", i ? "," : "",
			cluster_operator_address(cluster->assigners->pdata[i]));
	return g_string_free(text, FALSE);
}

/* Reads a file descriptor to its end; g_free() frees the text. */
static char *read_all(int fd)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	while ((n = read(fd, buf, sizeof(buf))) > 0)
		g_string_append_len(text, buf, n);
	return g_string_free(text, FALSE);
}

int cluster_run_auburnctl(struct cluster *cluster, const char *const *arguments,
			  char **output)
{
	GPtrArray *args = arguments_new("auburnctl");
	char *operators = operator_addresses(cluster);
	struct process *process;
	char *text;
	int status = -1;

	argument_add(args, "operators", operators);
	argument_add(args, "token", CLUSTER_TOKEN);
	g_free(operators);
	process = arguments_start(cluster, args, "auburnctl", arguments, NULL);
	if (!process)
		return -1;
	text = read_all(process_stdout(process));
	if (!process_wait_end(process, START_LIMIT_US, &status))
		status = -1;
	if (status)
		process_print_log(process, LOG_LINES);
	process_destroy(process);
	if (output)
		*output = text;
	else
		g_free(text);
	return status == -1 || !WIFEXITED(status) ? -1 : WEXITSTATUS(status);
}

bool cluster_set_zone(struct cluster *cluster, const char *zone, bool out)
{
	const char *const arguments[] = { "zone", out ? "out" : "in", zone,
					  "--wait", NULL };
	char *output = NULL;
	int status = cluster_run_auburnctl(cluster, arguments, &output);

	if (status)
		printf("# auburnctl zone %s %s: exit status %d\n%s",
		       arguments[1], zone, status, output);
	g_free(output);
	return status == 0;
}

struct slice_map *cluster_owner_map(struct cluster *cluster, const char *cell)
{
	char *uri = g_strdup_printf("/table/cell/%s", cell);
	struct http_request request = { .address = process_address(
						cluster->platform, "http"),
					.uri = uri };
	struct http_answer *answer = http_send(&request);
	struct str row = { answer->body->str, answer->body->len };
	struct slice_map *map = NULL;

	if (answer->whole && answer->status == 200)
		map = slice_map_decode(row, NULL);
	http_answer_destroy(answer);
	g_free(uri);
	return map;
}

struct http_answer *cluster_get(struct cluster *cluster, unsigned int router,
				const char *uri)
{
	struct http_request request = {
		.address = cluster_caller_address(cluster, router), .uri = uri
	};

	return http_send(&request);
}

/* A GET that is repeated until its answer has status 200. */
struct probe {
	struct cluster *cluster;
	unsigned int router;
	const char *uri;
};

static bool is_answered(void *ctx)
{
	const struct probe *probe = ctx;
	struct http_request request = { .address = cluster_caller_address(
						probe->cluster, probe->router),
					.uri = probe->uri };
	bool ok = http_status(&request) == 200;

	if (!ok)
		g_usleep(RETRY_US);
	return ok;
}

bool cluster_wait_answer(struct cluster *cluster, unsigned int router,
			 const char *uri, int64_t timeout_us)
{
	struct probe probe = { cluster, router, uri };

	return process_wait_until(is_answered, &probe, timeout_us);
}

int cluster_owner(struct cluster *cluster, unsigned int router, const char *uri)
{
	struct http_answer *answer = cluster_get(cluster, router, uri);
	int index = -1;

	if (answer->whole && answer->status == 200)
		index = cluster_find_upstream(
			cluster, http_header(answer, "Standin-Upstream"));
	http_answer_destroy(answer);
	return index;
}

struct execution_record *cluster_load_record(struct cluster *cluster)
{
	struct execution_record *record = execution_record_create();
	guint i;

	for (i = 0; i < cluster->upstreams->len; i++)
		execution_record_add_file(
			record, cluster_upstream(cluster, i)->record_path, i);
	return record;
}

/* Returns the routers' addresses for callers, separated by commas. */
static char *caller_addresses(struct cluster *cluster)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < cluster->routers->len; i++)
		g_string_append_printf(text, "%s%s", i ? "," : "",
				       cluster_caller_address(cluster, i));
	return g_string_free(text, FALSE);
}

struct process *cluster_start_loadgen(struct cluster *cluster, const char *name,
				      const char *const *arguments)
{
	GPtrArray *args = arguments_new("loadgen");
	char *targets = caller_addresses(cluster);
	char *events = g_strdup_printf("%s/%s.events", cluster->folder, name);
	struct process *process;

	argument_add(args, "targets", targets);
	argument_add(args, "events", events);
	process = arguments_start(cluster, args, name, arguments, NULL);
	g_ptr_array_add(cluster->loadgens, process);
	g_free(targets);
	g_free(events);
	return process;
}
