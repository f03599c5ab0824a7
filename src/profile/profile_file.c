#include "profile/profile_file.h"

#include "base/error.h"
#include "profile/profile_fields.h"
#include "profile/settings.h"

#define DEPLOYMENT "deployment"

/* State while one file is parsed. */
struct reader {
	const char *file;
	GKeyFile *keys;
	/* Line numbers, by "section" and by "section\nfield". */
	GHashTable *lines;
	struct settings *settings;
	GError **error;
};

/* Returns the line of a field, else of its section, else 1. */
static int line_of(const struct reader *r, const char *section,
		   const char *field)
{
	char *id = g_strdup_printf("%s\n%s", section, field);
	gpointer line = g_hash_table_lookup(r->lines, id);

	g_free(id);
	if (!line)
		line = g_hash_table_lookup(r->lines, section);
	return line ? GPOINTER_TO_INT(line) : 1;
}

/* Sets the error to "FILE:LINE: " and a text. Returns false, as
 * set_value_error() and set_field_error() do. */
static bool set_line_error(const struct reader *r, int line, const char *what)
{
	g_set_error(r->error, AUBURN_ERROR, AUBURN_ERROR_INVALID, "%s:%d: %s",
		    r->file, line, what);
	return false;
}

static bool set_value_error(const struct reader *r, const char *section,
			    const char *field, const char *value,
			    const char *allowed)
{
	g_set_error(r->error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
		    "%s:%d: [%s] %s: bad value \"%s\": allowed: %s", r->file,
		    line_of(r, section, field), section, field, value, allowed);
	return false;
}

static bool set_field_error(const struct reader *r, const char *section,
			    const char *field, const char *allowed)
{
	g_set_error(r->error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
		    "%s:%d: [%s] %s: unknown field: allowed: %s", r->file,
		    line_of(r, section, field), section, field, allowed);
	return false;
}

/*
 * Records the line of a section or field and rejects duplicates. Takes
 * ownership of the id, which is a key of `lines`.
 */
static bool record_line(struct reader *r, char *id, int line)
{
	if (g_hash_table_contains(r->lines, id)) {
		g_strdelimit(id, "\n", ' ');
		set_line_error(r, line, "given twice");
		g_prefix_error(r->error, "[%s] ", id);
		g_free(id);
		return false;
	}
	g_hash_table_insert(r->lines, id, GINT_TO_POINTER(line));
	return true;
}

/* Records the line of a section header or of a field. *section is the name of
 * the section that the line is in; a header replaces it. */
static bool index_line(struct reader *r, char **section, char *text, int line)
{
	char *end;

	g_strstrip(text);
	if (*text == '[') {
		end = strrchr(text, ']');
		if (!end)
			return set_line_error(
				r, line,
				"section header without closing \"]\"");
		*end = '\0';
		g_free(*section);
		*section = g_strdup(text + 1);
		return record_line(r, g_strdup(*section), line);
	}
	end = strchr(text, '=');
	if (!*text || *text == '#')
		return true;
	if (!end || !*section)
		return set_line_error(
			r, line, "expected a section, a field or a comment");
	*end = '\0';
	g_strchomp(text);
	return record_line(r, g_strdup_printf("%s\n%s", *section, text), line);
}

/*
 * Records the lines of all sections and fields in a separate parse, since
 * GKeyFile keeps no line numbers and merges duplicate sections and fields
 * silently.
 */
static bool index_lines(struct reader *r, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	char *section = NULL;
	bool ok = true;
	int i;

	for (i = 0; lines[i] && ok; i++)
		ok = index_line(r, &section, lines[i], i + 1);
	g_free(section);
	g_strfreev(lines);
	return ok;
}

/* Returns a field's value without surrounding blanks, or "" when absent; the
 * caller frees it with g_free(). */
static char *get_value(const struct reader *r, const char *section,
		       const char *field)
{
	char *value = g_key_file_get_value(r->keys, section, field, NULL);

	return value ? g_strstrip(value) : g_strdup("");
}

static bool check_field_names(const struct reader *r, const char *section,
			      const char *const *allowed)
{
	char **fields = g_key_file_get_keys(r->keys, section, NULL, NULL);
	char *list = g_strjoinv(", ", (char **)allowed);
	bool ok = true;
	char **f;

	for (f = fields; ok && f && *f; f++)
		if (!g_strv_contains(allowed, *f))
			ok = set_field_error(r, section, *f,
					     *list ? list : "none");
	g_free(list);
	g_strfreev(fields);
	return ok;
}

static bool read_deployment(struct reader *r)
{
	static const char *const allowed[] = { "name", NULL };

	g_free(r->settings->deployment);
	r->settings->deployment = get_value(r, DEPLOYMENT, "name");
	return check_field_names(r, DEPLOYMENT, allowed);
}

static bool read_zone(struct reader *r, const char *section, const char *name)
{
	static const char *const allowed[] = { NULL };
	struct settings *s = r->settings;

	s->zones = g_renew(char *, s->zones, s->zone_count + 1);
	s->zones[s->zone_count++] = g_strdup(name);
	return check_field_names(r, section, allowed);
}

static bool read_profile_field(struct reader *r, const char *section,
			       const char *name, struct profile *p)
{
	const struct profile_field *field = profile_field_find(str_from(name));
	char *text, *allowed;
	int64_t value;
	bool ok;

	if (!field)
		return set_field_error(r, section, name,
				       "see docs/profiles.md");
	text = get_value(r, section, name);
	allowed = profile_field_allowed(field);
	ok = profile_field_parse(field, str_from(text), &value) &&
	     profile_field_set(field, p, value);
	if (!ok)
		set_value_error(r, section, name, text, allowed);
	g_free(allowed);
	g_free(text);
	return ok;
}

static bool read_profile(struct reader *r, const char *section,
			 const char *name)
{
	char **fields = g_key_file_get_keys(r->keys, section, NULL, NULL);
	struct settings *s = r->settings;
	struct profile *p;
	bool ok = true;
	char **f;

	s->profiles =
		g_renew(struct profile, s->profiles, s->profile_count + 1);
	p = &s->profiles[s->profile_count++];
	*p = (struct profile){ .name = g_strdup(name) };
	profile_defaults(p);
	for (f = fields; ok && f && *f; f++)
		ok = read_profile_field(r, section, *f, p);
	g_strfreev(fields);
	return ok;
}

static bool read_keyed(struct reader *r, const char *section, bool *keyed)
{
	char *text = get_value(r, section, "keyed");
	bool ok = !*text || !strcmp(text, "true") || !strcmp(text, "false");

	*keyed = !strcmp(text, "true");
	if (!ok)
		set_value_error(r, section, "keyed", text, "true, false");
	g_free(text);
	return ok;
}

/* Lists the names of the declared profiles for an error message; the caller
 * frees the text with g_free(). */
static char *profile_list(const struct settings *s)
{
	GString *out = g_string_new(s->profile_count ? "" : "none declared");
	size_t i;

	for (i = 0; i < s->profile_count; i++)
		g_string_append_printf(out, "%s%s", i ? ", " : "",
				       s->profiles[i].name);
	return g_string_free(out, FALSE);
}

/* Called after all profiles were read: the array of profiles no longer moves,
 * so that a service can point into it. */
static bool read_service(struct reader *r, const char *section,
			 const char *name)
{
	static const char *const allowed[] = { "tenant", "keyed", "profile",
					       NULL };
	struct settings *s = r->settings;
	struct service *service;
	char *profile, *list;
	bool ok;

	s->services =
		g_renew(struct service, s->services, s->service_count + 1);
	service = &s->services[s->service_count++];
	*service =
		(struct service){ .name = g_strdup(name),
				  .tenant = get_value(r, section, "tenant") };
	if (!check_field_names(r, section, allowed) ||
	    !read_keyed(r, section, &service->keyed))
		return false;
	profile = get_value(r, section, "profile");
	service->profile = settings_profile(s, str_from(profile));
	ok = service->profile;
	if (!ok) {
		list = profile_list(s);
		set_value_error(r, section, "profile", profile, list);
		g_free(list);
	}
	g_free(profile);
	return ok;
}

/* Kinds of named sections, in the order in which they are read. */
struct section_kind {
	const char *prefix;
	bool (*read)(struct reader *r, const char *section, const char *name);
};

static const struct section_kind kinds[] = {
	{ "zone ", read_zone },
	{ "profile ", read_profile },
	{ "service ", read_service },
};

static const struct section_kind *kind_of(const char *section)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (g_str_has_prefix(section, kinds[i].prefix))
			return &kinds[i];
	return NULL;
}

static bool read_sections_of(struct reader *r, char **sections,
			     const struct section_kind *kind)
{
	char **s;

	for (s = sections; *s; s++) {
		const char *name = *s + strlen(kind->prefix);

		if (kind_of(*s) != kind)
			continue;
		if (!settings_name_valid(str_from(name)))
			return set_value_error(
				r, *s, "name", name,
				"1 to 63 lower-case letters, digits "
				"and \"-\"");
		if (!kind->read(r, *s, name))
			return false;
	}
	return true;
}

static bool check_section_names(struct reader *r, char **sections)
{
	char **s;

	for (s = sections; *s; s++)
		if (strcmp(*s, DEPLOYMENT) != 0 && !kind_of(*s))
			return set_line_error(r, line_of(r, *s, ""),
					      "unknown section: allowed: "
					      "[deployment], [zone NAME], "
					      "[profile NAME], [service NAME]");
	return true;
}

static bool check_rules(struct reader *r)
{
	struct settings_fault fault = { 0 };

	if (settings_check(r->settings, &fault))
		return true;
	set_value_error(r, fault.section, fault.field, fault.value,
			fault.allowed);
	settings_fault_clear(&fault);
	return false;
}

static bool read_all(struct reader *r, const char *text)
{
	char **sections;
	GError *problem = NULL;
	bool ok = index_lines(r, text);
	size_t i;

	if (!ok)
		return false;
	if (!g_key_file_load_from_data(r->keys, text, strlen(text),
				       G_KEY_FILE_NONE, &problem)) {
		ok = set_line_error(r, 1, problem->message);
		g_error_free(problem);
		return ok;
	}
	sections = g_key_file_get_groups(r->keys, NULL);
	ok = check_section_names(r, sections) && read_deployment(r);
	for (i = 0; ok && i < G_N_ELEMENTS(kinds); i++)
		ok = read_sections_of(r, sections, &kinds[i]);
	g_strfreev(sections);
	return ok && check_rules(r);
}

struct settings *profile_file_parse(const char *file, struct str text,
				    GError **error)
{
	struct reader r = { .file = file, .error = error };
	char *copy;

	if (text.len > PROFILE_FILE_LIMIT || !text.len ||
	    memchr(text.data, '\0', text.len) ||
	    !g_utf8_validate(text.data, (gssize)text.len, NULL)) {
		set_line_error(&r, 1, "allowed: 1 byte to 1 MiB of UTF-8 text");
		return NULL;
	}
	copy = str_dup(text);
	r.keys = g_key_file_new();
	r.lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r.settings = settings_create(STR(""));
	if (!read_all(&r, copy)) {
		settings_destroy(r.settings);
		r.settings = NULL;
	}
	g_hash_table_destroy(r.lines);
	g_key_file_free(r.keys);
	g_free(copy);
	return r.settings;
}

struct settings *profile_file_load(const char *path, GError **error)
{
	struct settings *s;
	GError *problem = NULL;
	char *text;
	gsize size;

	if (!g_file_get_contents(path, &text, &size, &problem)) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_NOT_FOUND,
			    "%s: %s", path, problem->message);
		g_error_free(problem);
		return NULL;
	}
	s = profile_file_parse(path, (struct str){ text, size }, error);
	g_free(text);
	return s;
}
