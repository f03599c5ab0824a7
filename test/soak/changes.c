#include "changes.h"

#include <string.h>

/* Routes that change with a version, at most. */
#define CHANGES_MAX 4
/* One version in so many has an invalid route. */
#define INVALID_SHARE 5

enum service { PLAIN, OTHER, KEYED };

const char *const changes_services[] = {
	[PLAIN] = "plain", [OTHER] = "other", [KEYED] = "keyed", NULL
};

void changes_first(struct rules_config *config)
{
	unsigned int route;

	for (route = 0; route < RULES_ROUTES; route++)
		config->services[route] =
			route < CHANGES_RANDOM ? PLAIN : RULES_NO_ROUTE;
	config->services[CHANGES_KEYED] = KEYED;
}

void changes_next(struct rules_config *config, GRand *random)
{
	int count = g_rand_int_range(random, 1, CHANGES_MAX + 1);

	config->services[CHANGES_MOVED] =
		config->services[CHANGES_MOVED] == PLAIN ? OTHER : PLAIN;
	while (count-- > 0)
		config->services[g_rand_int_range(random, CHANGES_RANDOM,
						  CHANGES_NEVER)] =
			(signed char)g_rand_int_range(random, RULES_NO_ROUTE,
						      KEYED);
}

char *changes_path(unsigned int route)
{
	static const char *const names[] = { [CHANGES_PLAIN] = "plain",
					     [CHANGES_ONCE] = "once",
					     [CHANGES_KEYED] = "keyed",
					     [CHANGES_MOVED] = "moved" };

	if (route < CHANGES_RANDOM)
		return g_strdup(names[route]);
	return g_strdup_printf("route-%u", route);
}

static void add_route(GString *text, const char *path, const char *kind,
		      const char *service)
{
	g_string_append_printf(text,
			       "%s[\"%s\",\"app.example\",\"/%s/\",\"%s\",3,"
			       "0.5,1,\"%s\",2]",
			       text->str[text->len - 1] == ']' ? "," : "", path,
			       path, kind, service);
}

char *changes_text(const struct rules_config *config, unsigned int version,
		   unsigned int fillers)
{
	static const char *const invalid[] = {
		"[\"bad\",\"app.example\",\"/bad\",\"safe\",3,0.5,1,\"plain\","
		"2]",
		"[\"bad\",\"app.example\",\"/bad/\",\"safe\",-3,0.5,1,"
		"\"plain\",2]",
		"[\"bad\",\"app.example\",\"/bad/\",\"safe\",3,0.5,1,"
		"\"unknown\",2]",
		"[\"bad\",7,null,\"safe\",3]",
	};
	GString *text = g_string_new(NULL);
	unsigned int i;

	g_string_append_printf(
		text,
		"{\"version\":\"r%u\",\"routes\":{\"columns\":[\"name\","
		"\"host\",\"prefix\",\"kind\",\"timeout_s\",\"aim_s\","
		"\"priority\",\"service\",\"max_attempts\"],\"rows\":[",
		version);
	for (i = 0; i < fillers; i++) {
		char *path = g_strdup_printf("filler-%u-%u", i, i % 7);

		add_route(text, path, i % 3 ? "safe" : "unsafe",
			  changes_services[i % 2]);
		g_free(path);
	}
	for (i = 0; i < RULES_ROUTES; i++) {
		char *path = changes_path(i);

		if (config->services[i] != RULES_NO_ROUTE)
			add_route(text, path,
				  i == CHANGES_ONCE ? "unsafe" : "safe",
				  changes_services[(int)config->services[i]]);
		g_free(path);
	}
	if (version % INVALID_SHARE == 0)
		g_string_append_printf(text, ",%s",
				       invalid[version / INVALID_SHARE %
					       G_N_ELEMENTS(invalid)]);
	g_string_append(text, "]},\"services\":{\"columns\":[\"name\","
			      "\"health_path\",\"max_conns\","
			      "\"cold_start_s\",\"cold_per_s\",\"sharded\","
			      "\"warm_s\"],\"rows\":["
			      "[\"plain\",\"/health\",130,3,5.2,null,null],"
			      "[\"other\",\"/health\",130,3,5.2,null,null],"
			      "[\"keyed\",\"/health\",130,3,5.2,true,3]]},"
			      "\"limits\":{\"max_header_bytes\":4096,"
			      "\"max_body_bytes\":100000,"
			      "\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
	return g_string_free(text, FALSE);
}

char *changes_invalid_text(const struct rules_config *config,
			   unsigned int version)
{
	char *text = changes_text(config, version, 0);

	text[strlen(text) / 2] = '\0';
	return text;
}
