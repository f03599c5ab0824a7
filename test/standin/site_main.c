/* standin-site: a small deployment's store and upstreams, for tests of the
 * entry daemon. Starts two upstreams without keys, index 0 and 1, two with
 * keys, 2 and 3, and one of another service without keys, 4. Prints "listening
 * store=IPv4:port" and runs until it is killed.
 *
 * standin-site [EVENTS]: writes what happens at the store and the upstreams to
 * the file EVENTS, see site_event(). */
#include <signal.h>
#include <stdio.h>

#include "base/address.h"
#include "site.h"

/* The first configuration of routes, services and limits, as JSON. */
#define CONFIG                                                                 \
	"{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","      \
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","            \
	"\"service\","                                                         \
	"\"max_attempts\",\"split\"],\"rows\":["                               \
	"[\"plain\",\"app.example\",\"/plain/\",\"safe\",3,0.5,1,\"plain\",2," \
	"null],"                                                               \
	"[\"once\",\"app.example\",\"/once/\",\"unsafe\",3,0.5,1,\"plain\",2," \
	"null],"                                                               \
	"[\"moved\",\"app.example\",\"/moved/\",\"safe\",3,0.5,1,\"plain\",2," \
	"null],"                                                               \
	"[\"keyed\",\"app.example\",\"/keyed/\",\"safe\",3,0.5,1,\"keyed\",2," \
	"null]]},\"services\":{\"columns\":[\"name\",\"health_path\","         \
	"\"max_conns\",\"cold_start_s\",\"cold_per_s\",\"sharded\",\"warm_"    \
	"s\"],"                                                                \
	"\"rows\":[[\"plain\",\"/health\",130,3,5.2,null,null],"               \
	"[\"other\",\"/health\",130,3,5.2,null,null],"                         \
	"[\"keyed\",\"/health\",130,3,5.2,true,3]]},"                          \
	"\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"     \
	"\"header_timeout_s\":3,\"idle_timeout_s\":15}}"

void site_event(const struct site *site, const char *format, ...)
{
	va_list args;

	if (!site->events)
		return;
	va_start(args, format);
	fprintf(site->events, "%" G_GINT64_FORMAT " ", g_get_monotonic_time());
	vfprintf(site->events, format, args);
	fprintf(site->events, "\n");
	fflush(site->events);
	va_end(args);
}

int main(int argc, char **argv)
{
	struct site site = { 0 };
	struct http_server *store;
	struct sockaddr_in address;
	char text[ADDRESS_TEXT_SIZE];

	signal(SIGPIPE, SIG_IGN);
	if (argc > 1) {
		site.events = fopen(argv[1], "w");
		if (!site.events)
			g_error("cannot write %s", argv[1]);
	}
	site.loop.ev = ev_loop_new(EVFLAG_AUTO);
	site.loop.clock = clock_system();
	site.upstreams = g_ptr_array_new();
	site.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	site.customers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store = site_store_create(&site);
	site_put_row(&site, "op", "config", CONFIG);
	site_upstream_create(&site, "plain", "z1", false);
	site_upstream_create(&site, "plain", "z2", false);
	site_upstream_create(&site, "keyed", "z1", true);
	site_upstream_create(&site, "keyed", "z2", true);
	site_upstream_create(&site, "other", "z1", false);
	/* Entry daemons must skip this malformed entry in the table of
	 * upstreams. */
	site_put_row(&site, "servers", "odd", "{\"service\":7}");
	address = http_server_address(store);
	printf("listening store=%s\n", address_format(&address, text));
	fflush(stdout);
	ev_run(site.loop.ev, 0);
	return 0;
}
