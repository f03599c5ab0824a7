#include "profile/profile_fields.h"

#include <errno.h>

#include "base/clock.h"

/* Table entry of a field whose text form has the name and unit of the member.
 */
#define FIELD(member, kind, low, high, def, text)                              \
	{                                                                      \
		.name = #member, .type = (kind), .min = (low), .max = (high),  \
		.fallback = (def), .offset = offsetof(struct profile, member), \
		.help = (text)                                                 \
	}
/* Table entry of the field STEM_ms, whose member STEM_us is in microseconds.
 * The bounds and the default are in milliseconds. */
#define FIELD_TIME(stem, low, high, def, text)                                 \
	{                                                                      \
		.name = #stem "_ms", .type = FIELD_MS, .min = (low),           \
		.max = (high), .fallback = (def),                              \
		.offset = offsetof(struct profile, stem##_us), .help = (text)  \
	}

static const struct profile_field fields[] = {
	FIELD(weight, FIELD_COUNT, 1, 1000, 100,
	      "share of an overloaded service against other profiles"),
	FIELD(priority, FIELD_COUNT, 0, 9, 4,
	      "0 goes first, 9 waits for all others but never forever"),
	FIELD_TIME(deadline, 10, 3600000, 10000,
		   "time from arrival to the answer's first byte"),
	FIELD(queue_limit, FIELD_COUNT, 0, 100000, 1000,
	      "requests that may wait in one router"),
	FIELD_TIME(stall, 100, 3600000, 10000,
		   "longest time without progress of a transfer"),
	FIELD(retry_percent, FIELD_COUNT, 0, 100, 10,
	      "retries as a share of successes"),
	FIELD(body_limit, FIELD_BYTES, 0, INT64_C(1) << 40, 1048576,
	      "largest request body in bytes"),
	FIELD(idempotent, FIELD_FLAG, 0, 1, 0, "running it twice does no harm"),
	FIELD(once, FIELD_FLAG, 0, 1, 0,
	      "work with an idempotency key is claimed before it is sent; "
	      "not together with idempotent or hedge"),
	FIELD(hedge, FIELD_FLAG, 0, 1, 0,
	      "a second copy may be sent to another upstream; needs "
	      "idempotent, and a service that is not keyed"),
	{ 0 },
};

const struct profile_field *profile_fields(void)
{
	return fields;
}

const struct profile_field *profile_field_find(struct str name)
{
	const struct profile_field *f;

	for (f = fields; f->name; f++)
		if (str_equal(str_from(f->name), name))
			return f;
	return NULL;
}

static void *member_of(const struct profile_field *field,
		       struct profile *profile)
{
	return (char *)profile + field->offset;
}

int64_t profile_field_get(const struct profile_field *field,
			  const struct profile *profile)
{
	const void *member = (const char *)profile + field->offset;

	switch (field->type) {
	case FIELD_COUNT:
		return *(const uint32_t *)member;
	case FIELD_BYTES:
		return (int64_t) * (const uint64_t *)member;
	case FIELD_MS:
		return *(const int64_t *)member / US_PER_MS;
	case FIELD_FLAG:
		return *(const bool *)member;
	}
	return 0;
}

bool profile_field_set(const struct profile_field *field,
		       struct profile *profile, int64_t value)
{
	void *member = member_of(field, profile);

	if (value < field->min || value > field->max)
		return false;
	switch (field->type) {
	case FIELD_COUNT:
		*(uint32_t *)member = (uint32_t)value;
		break;
	case FIELD_BYTES:
		*(uint64_t *)member = (uint64_t)value;
		break;
	case FIELD_MS:
		*(int64_t *)member = value * US_PER_MS;
		break;
	case FIELD_FLAG:
		*(bool *)member = value != 0;
		break;
	}
	return true;
}

bool profile_field_parse(const struct profile_field *field, struct str text,
			 int64_t *value)
{
	char *copy;
	char *end;
	bool ok;

	if (field->type == FIELD_FLAG) {
		*value = str_equal(text, STR("true"));
		return *value || str_equal(text, STR("false"));
	}
	copy = str_dup(text);
	errno = 0;
	*value = g_ascii_strtoll(copy, &end, 10);
	ok = g_ascii_isdigit(*copy) && !*end && !errno &&
	     *value >= field->min && *value <= field->max;
	g_free(copy);
	return ok;
}

char *profile_field_format(const struct profile_field *field, int64_t value)
{
	if (field->type == FIELD_FLAG)
		return g_strdup(value ? "true" : "false");
	return g_strdup_printf("%" G_GINT64_FORMAT, value);
}

char *profile_field_allowed(const struct profile_field *field)
{
	if (field->type == FIELD_FLAG)
		return g_strdup("true, false");
	return g_strdup_printf("a whole number from %" G_GINT64_FORMAT
			       " to %" G_GINT64_FORMAT,
			       field->min, field->max);
}

void profile_defaults(struct profile *profile)
{
	const struct profile_field *f;

	for (f = fields; f->name; f++)
		profile_field_set(f, profile, f->fallback);
}

char *profile_fields_markdown(void)
{
	GString *out = g_string_new("| field | allowed | default | what |\n"
				    "| --- | --- | --- | --- |\n");
	const struct profile_field *f;

	for (f = fields; f->name; f++) {
		char *allowed = profile_field_allowed(f);
		char *fallback = profile_field_format(f, f->fallback);

		g_string_append_printf(out, "| `%s` | %s | %s | %s |\n",
				       f->name, allowed, fallback, f->help);
		g_free(fallback);
		g_free(allowed);
	}
	return g_string_free(out, FALSE);
}
