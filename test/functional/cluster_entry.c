#include "cluster_entry.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"

/* Listening addresses of one entry daemon. */
#define PORTS 4

/* Writes "IPv4:port" on process_loopback_host() to a buffer of 32 bytes. */
static void write_address(char *buf, unsigned int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	char text[ADDRESS_TEXT_SIZE];

	address.sin_addr.s_addr = process_loopback_host();
	address.sin_port = htons((uint16_t)port);
	g_strlcpy(buf, address_format(&address, text), 32);
}

/* Finds free ports and keeps them bound: a daemon that hasn't started yet must
 * not share one with another.
 *
 * @param fds set to the sockets that hold the ports */
static void reserve_ports(unsigned int ports[PORTS], int fds[PORTS])
{
	unsigned int i;

	for (i = 0; i < PORTS; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET };
		socklen_t len = sizeof(address);

		address.sin_addr.s_addr = process_loopback_host();
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (fds[i] < 0 ||
		    bind(fds[i], (struct sockaddr *)&address, len) < 0 ||
		    getsockname(fds[i], (struct sockaddr *)&address, &len) < 0)
			g_error("can't find a free loopback port");
		ports[i] = ntohs(address.sin_port);
	}
}

/* Chooses free ports and writes the settings file of the VM "vmINDEX".
 *
 * @param fds set to the sockets that hold the ports */
static void write_settings(const struct entry_rig *rig, unsigned int index,
			   struct entry *entry, double grace_s, int fds[PORTS])
{
	unsigned int ports[PORTS];
	char *text;

	reserve_ports(ports, fds);
	write_address(entry->callers, ports[0]);
	write_address(entry->ready, ports[1]);
	write_address(entry->metrics, ports[2]);
	write_address(entry->peers, ports[3]);
	g_snprintf(entry->settings, sizeof(entry->settings), "%s/entry%u.conf",
		   rig->folder, index);
	text = g_strdup_printf(
		"[vm]\nname = vm%u\nzone = z1\n%s[listen]\ncallers = %s\n"
		"ready = %s\npeers = %s\nmetrics = %s\n"
		"[store]\naddress = %s\n[stop]\ngrace = %.1f\n",
		index, rig->vm_settings ? rig->vm_settings : "", entry->callers,
		entry->ready, entry->peers, entry->metrics,
		process_address(rig->site, "store"), grace_s);
	g_file_set_contents(entry->settings, text, -1, NULL);
	g_free(text);
}

static void start_entry(const struct entry_rig *rig, struct entry *entry)
{
	const char *argv[] = { PROGRAM_DIR "/auburn-entry", "--settings",
			       entry->settings, NULL };
	GError *error = NULL;

	entry->process = process_start("entry", rig->folder, argv, &error);
	if (!entry->process)
		g_error("%s", error->message);
}

struct http_answer *entry_send(const struct entry *entry, const char *uri,
			       const char *method, int key, const char *body,
			       char *id)
{
	static unsigned int last_id;
	char id_line[64], key_line[32];
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 3000",
				  id_line, key_line, NULL };
	struct http_request request = {
		.address = entry->callers,
		.uri = uri,
		.method = method,
		.headers = headers,
		.body = body,
	};

	g_snprintf(id, 32, "id%08u", ++last_id);
	g_snprintf(id_line, sizeof(id_line), "X-Request-Id: %s", id);
	g_snprintf(key_line, sizeof(key_line), "X-Shard-Key: %d", key);
	return http_send(&request);
}

long entry_status(const struct entry *entry, const char *uri, int key)
{
	char id[32];
	struct http_answer *answer =
		entry_send(entry, uri, NULL, key, NULL, id);
	long status = answer->whole ? answer->status : 0;

	http_answer_destroy(answer);
	return status;
}

bool entry_is_ready(void *entry)
{
	const struct entry *e = entry;
	struct http_request request = { .address = e->ready, .uri = "/ready" };

	return http_status(&request) == 200;
}

bool entry_serves_keys(void *entry)
{
	return entry_status(entry, "/keyed/a", 100) == 200 &&
	       entry_status(entry, "/keyed/a", 60000) == 200;
}

bool entry_serves_added_route(void *entry)
{
	return entry_status(entry, "/added/a", 0) == 200;
}

bool entry_leads(const struct entry *entry)
{
	struct http_request request = {
		.address = entry->metrics,
		.uri = "/metrics",
	};
	struct http_answer *answer = http_send(&request);
	bool leads = strstr(answer->body->str, "\nauburn_leads 1") != NULL;

	http_answer_destroy(answer);
	return leads;
}

GString *entry_rig_query(const struct entry_rig *rig, const char *uri,
			 const char *body)
{
	struct http_request request = {
		.address = process_address(rig->site, "store"),
		.uri = uri,
		.body = body,
	};
	struct http_answer *answer = http_send(&request);
	GString *text =
		g_string_new_len(answer->body->str, (gssize)answer->body->len);

	http_answer_destroy(answer);
	return text;
}

void entry_rig_command(const struct entry_rig *rig, const char *uri,
		       const char *body)
{
	g_string_free(entry_rig_query(rig, uri, body), TRUE);
}

/* Returns the number after "NAME": in a JSON text; -1 if there is none. */
static int number_after(const char *text, const char *name)
{
	char *quoted = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(text, quoted);
	int number =
		at ? (int)g_ascii_strtoll(at + strlen(quoted), NULL, 10) : -1;

	g_free(quoted);
	return number;
}

int entry_rig_count(const struct entry_rig *rig, const char *name)
{
	GString *text = entry_rig_query(rig, "/control/state", NULL);
	int count = number_after(text->str, name);

	g_string_free(text, TRUE);
	return count;
}

int entry_rig_runs(const struct entry_rig *rig, const char *id)
{
	char *uri = g_strdup_printf("/control/runs?id=%s", id);
	GString *text = entry_rig_query(rig, uri, NULL);
	int runs = number_after(text->str, "runs");

	g_string_free(text, TRUE);
	g_free(uri);
	return runs;
}

void entry_rig_start(struct entry_rig *rig, unsigned int entry_count,
		     double grace_s)
{
	const char *argv[] = { PROGRAM_DIR "/standin-site", NULL };
	int fds[RIG_ENTRIES_MAX][PORTS];
	GError *error = NULL;
	unsigned int i, port;

	rig->entry_count = entry_count;
	rig->folder = g_dir_make_tmp("auburn-entry-XXXXXX", NULL);
	rig->site = process_start("site", rig->folder, argv, &error);
	if (!rig->site ||
	    !process_wait_listening(rig->site, RIG_WAIT_US, &error))
		g_error("%s", error->message);
	for (i = 0; i < entry_count; i++)
		write_settings(rig, i, &rig->entries[i], grace_s, fds[i]);
	for (i = 0; i < entry_count; i++)
		for (port = 0; port < PORTS; port++)
			close(fds[i][port]);
	for (i = 0; i < entry_count; i++)
		start_entry(rig, &rig->entries[i]);
	for (i = 0; i < entry_count; i++) {
		struct entry *entry = &rig->entries[i];

		if (!process_wait_until(entry_is_ready, entry, RIG_WAIT_US) ||
		    !process_wait_until(entry_serves_keys, entry, RIG_WAIT_US))
			g_error("entry daemon %u does not serve in time", i);
	}
}

void entry_rig_stop(struct entry_rig *rig)
{
	unsigned int i;

	for (i = 0; i < rig->entry_count; i++)
		process_destroy(rig->entries[i].process);
	process_destroy(rig->site);
	process_remove_folder(rig->folder);
	g_free(rig->folder);
}
