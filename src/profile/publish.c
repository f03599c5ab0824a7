#include "profile/publish.h"

#include "base/clock.h"
#include "base/planted.h"
#include "profile/settings.h"

/* A publication waits this long for contact with peers before it is refused,
 * since a daemon that just started has not found them yet. */
#define CONTACT_GRACE_US (2 * US_PER_SECOND)

/* The table call of a publication that is due or in progress. */
enum step {
	/* Read the current version. */
	STEP_READ,
	/* Read the version to roll back to from the history. */
	STEP_READ_ROLLBACK,
	/* Read the outdated base version, to show what changed since. */
	STEP_READ_BASE,
	/* Write the version that is to be replaced to the history. */
	STEP_WRITE_HISTORY,
	/* Write the new version. */
	STEP_WRITE,
	/* Read the row back after a write with unknown outcome. */
	STEP_RESOLVE,
	/* None: publish_ops.done was called. */
	STEP_ENDED,
};

struct publish {
	const struct publish_ops *ops;
	void *ctx;
	struct change change;
	/* Content to publish: a copy of the change's declarations, or for a
	 * rollback the version read from the history. */
	struct settings *declared;
	/* Copies of the change's target, attempt, author and note, in this
	 * order. */
	char *texts[4];
	enum step step;
	/* A table call is in progress. */
	bool call_pending;
	int64_t started_us;
	/* When the step's table call may be started. */
	int64_t due_us;
	/* The new version was sent and the table may yet write it. */
	bool may_be_written;
	/* The table's version of the row; 0 when it is absent. */
	uint64_t row_version;
	/* Current version as read, and its JSON; NULL and "" when nothing is
	 * published. */
	struct settings *current;
	GString *current_json;
	/* The new version to write, and its JSON; NULL until the change has
	 * been applied. */
	struct settings *next;
	char *next_json;
	/* The publication has ended with PUBLISH_ACCEPTED. */
	bool accepted;
};

static struct str copy_text(struct publish *p, size_t slot, struct str text)
{
	p->texts[slot] = str_dup(text);
	return str_from(p->texts[slot]);
}

struct publish *publish_create(const struct change *change,
			       const struct publish_ops *ops, void *ctx,
			       int64_t now_us)
{
	struct publish *p = g_new0(struct publish, 1);

	p->ops = ops;
	p->ctx = ctx;
	p->change = *change;
	p->change.target = copy_text(p, 0, change->target);
	p->change.attempt = copy_text(p, 1, change->attempt);
	p->change.author = copy_text(p, 2, change->author);
	p->change.note = copy_text(p, 3, change->note);
	if (change->declared)
		p->declared = settings_copy(change->declared);
	p->current_json = g_string_new(NULL);
	p->started_us = now_us;
	p->due_us = now_us;
	return p;
}

void publish_destroy(struct publish *p)
{
	size_t i;

	if (!p)
		return;
	for (i = 0; i < G_N_ELEMENTS(p->texts); i++)
		g_free(p->texts[i]);
	settings_destroy(p->declared);
	settings_destroy(p->current);
	settings_destroy(p->next);
	g_string_free(p->current_json, TRUE);
	free(p->next_json);
	g_free(p);
}

bool publish_ended(const struct publish *p)
{
	return p->step == STEP_ENDED;
}

struct str publish_accepted_json(const struct publish *p)
{
	if (!p->accepted)
		return (struct str){ NULL, 0 };
	if (p->next_json)
		return str_from(p->next_json);
	return (struct str){ p->current_json->str, p->current_json->len };
}

static void end_with_result(struct publish *p,
			    const struct publish_result *result)
{
	p->step = STEP_ENDED;
	p->accepted = result->outcome == PUBLISH_ACCEPTED;
	p->ops->done(p->ctx, result);
}

static void end(struct publish *p, enum publish_outcome outcome,
		uint64_t version, const char *message)
{
	struct publish_result result = { outcome, version, message, false };

	end_with_result(p, &result);
}

static uint64_t current_version(const struct publish *p)
{
	return p->current ? p->current->version : 0;
}

static void refuse(struct publish *p, const char *message)
{
	end(p, PUBLISH_REFUSED, current_version(p), message);
}

/* Refuses the change because of a check that `force` skips. */
static void refuse_with_force_hint(struct publish *p, const char *message)
{
	struct publish_result result = { PUBLISH_REFUSED, current_version(p),
					 message, true };

	end_with_result(p, &result);
}

static void set_step(struct publish *p, enum step step, int64_t due_us)
{
	p->step = step;
	p->due_us = due_us;
}

static void read_history(struct publish *p, uint64_t version)
{
	char key[64];

	g_snprintf(key, sizeof(key),
		   PUBLISH_HISTORY_PREFIX "%" G_GUINT64_FORMAT, version);
	p->ops->read(p->ctx, str_from(key));
}

static void write_history(struct publish *p)
{
	char key[64];

	g_snprintf(key, sizeof(key),
		   PUBLISH_HISTORY_PREFIX "%" G_GUINT64_FORMAT,
		   current_version(p));
	p->ops->write(
		p->ctx, str_from(key), 0,
		(struct str){ p->current_json->str, p->current_json->len });
}

static void write_next(struct publish *p)
{
	/* From here on, only reading the row back can prove that the new
	 * version was not written. */
	p->may_be_written = true;
	p->ops->write(p->ctx, STR(PUBLISH_KEY), p->row_version,
		      str_from(p->next_json));
}

static void start_table_call(struct publish *p)
{
	p->call_pending = true;
	switch (p->step) {
	case STEP_READ:
	case STEP_RESOLVE:
		p->ops->read(p->ctx, STR(PUBLISH_KEY));
		break;
	case STEP_READ_ROLLBACK:
		read_history(p, p->change.to_version);
		break;
	case STEP_READ_BASE:
		read_history(p, p->change.base_version);
		break;
	case STEP_WRITE_HISTORY:
		write_history(p);
		break;
	case STEP_WRITE:
		write_next(p);
		break;
	case STEP_ENDED:
		break;
	}
}

void publish_tick(struct publish *p, int64_t now_us)
{
	if (p->step == STEP_ENDED)
		return;
	if (now_us - p->started_us >= PUBLISH_DEADLINE_US) {
		if (p->may_be_written)
			end(p, PUBLISH_UNKNOWN, current_version(p),
			    "the table did not confirm the write; check "
			    "the history before trying again");
		else
			end(p, PUBLISH_UNAVAILABLE, current_version(p),
			    "the platform's table can't be reached; nothing "
			    "was written");
		return;
	}
	if (!p->call_pending && now_us >= p->due_us)
		start_table_call(p);
}

/*
 * Takes a zone out of service or back in. Like apply_vm() and
 * apply_declared(), returns the new settings without version and history entry,
 * or NULL after a refusal.
 */
static struct settings *apply_zone(struct publish *p)
{
	struct settings *next;

	if (!settings_has_zone(p->current, p->change.target)) {
		refuse(p, "no such zone is declared in the settings");
		return NULL;
	}
	next = settings_copy(p->current);
	settings_set_zone_out(next, p->change.target, p->change.out);
	if (next->zones_out_count < next->zone_count)
		return next;
	settings_destroy(next);
	refuse(p, "the last zone in service can't be taken out");
	return NULL;
}

static struct settings *apply_vm(struct publish *p)
{
	struct settings *next;

	if (!settings_vm_id_valid(p->change.target)) {
		refuse(p, "invalid VM id: allowed: 1 to 63 letters, digits, "
			  "\"-\", \".\" and \"_\"");
		return NULL;
	}
	next = settings_copy(p->current);
	settings_set_vm_out(next, p->change.target, p->change.out);
	return next;
}

static struct settings *apply_declared(struct publish *p)
{
	struct settings *next = settings_copy(p->declared);

	if (p->current)
		settings_inherit_out_lists(next, p->current);
	return next;
}

static struct settings *apply_change(struct publish *p)
{
	if (p->change.kind == CHANGE_ZONE)
		return apply_zone(p);
	if (p->change.kind == CHANGE_VM)
		return apply_vm(p);
	return apply_declared(p);
}

static bool check_rules(struct publish *p, const struct settings *next)
{
	struct settings_fault fault = { 0 };
	char *message;

	if (settings_check(next, &fault))
		return true;
	message = g_strdup_printf("[%s] %s: bad value \"%s\": allowed: %s",
				  fault.section, fault.field, fault.value,
				  fault.allowed);
	refuse(p, message);
	g_free(message);
	settings_fault_clear(&fault);
	return false;
}

static bool check_remaining_capacity(struct publish *p,
				     const struct settings *next)
{
	bool takes_out = p->change.out && (p->change.kind == CHANGE_ZONE ||
					   p->change.kind == CHANGE_VM);
	char *why = NULL;
	bool fits;

	if (!takes_out || p->change.force)
		return true;
	fits = p->ops->fits(p->ctx, next, &why);
	if (!fits)
		refuse_with_force_hint(
			p, why ? why
			       : "the remaining capacity would be too small");
	g_free(why);
	return fits;
}

static bool check_changed(struct publish *p, const struct settings *next)
{
	char *diff = settings_diff(p->current, next);
	bool changed = *diff || !p->current;

	if (!changed)
		end(p, PUBLISH_UNCHANGED, current_version(p),
		    "no change from the current version; nothing "
		    "was written");
	g_free(diff);
	return changed;
}

static void set_next(struct publish *p, struct settings *next)
{
	struct settings_entry entry = {
		.attempt = p->texts[1],
		.author = p->texts[2],
		.note = p->texts[3],
		.published_s = p->change.published_s,
	};

	next->version = current_version(p) + 1;
	settings_append_entry(next, p->current, &entry);
	settings_destroy(p->next);
	free(p->next_json);
	p->next = next;
	p->next_json = settings_encode(next);
}

/* Applies the change to the current version, checks the result and makes the
 * write the next step, or ends the publication. */
static void build_next(struct publish *p, int64_t now_us)
{
	struct settings *next;

	if (!p->change.force && !p->ops->in_contact(p->ctx)) {
		if (now_us - p->started_us < CONTACT_GRACE_US)
			set_step(p, STEP_READ, now_us + PUBLISH_RETRY_US);
		else
			refuse_with_force_hint(
				p, "this assigner is not in contact with half "
				   "of its peers, so a change may stay unknown "
				   "to the others");
		return;
	}
	next = apply_change(p);
	if (!next)
		return;
	if (!check_changed(p, next) || !check_rules(p, next) ||
	    !check_remaining_capacity(p, next)) {
		settings_destroy(next);
		return;
	}
	set_next(p, next);
	set_step(p, p->current ? STEP_WRITE_HISTORY : STEP_WRITE, now_us);
}

/* Lists author and note of each version published since the base version; the
 * caller frees the text with g_free(). */
static char *later_versions(const struct publish *p)
{
	GString *out = g_string_new(NULL);
	uint64_t v;

	for (v = p->change.base_version + 1; v <= current_version(p); v++) {
		const struct settings_entry *e = settings_entry(p->current, v);

		if (e)
			g_string_append_printf(out,
					       "version %" G_GUINT64_FORMAT
					       " by %s: %s\n",
					       v, e->author, e->note);
	}
	return g_string_free(out, FALSE);
}

static void end_conflict(struct publish *p, const struct settings *base)
{
	char *later = later_versions(p);
	char *diff = base ? settings_diff(base, p->current) : g_strdup("");
	char *message = g_strdup_printf("%s%s", later, diff);

	end(p, PUBLISH_CONFLICT, current_version(p), message);
	g_free(message);
	g_free(diff);
	g_free(later);
}

/* Sets the current version from the row. An invalid row refuses the change and
 * returns false. */
static bool set_current(struct publish *p, enum table_status status,
			uint64_t row_version, struct str value)
{
	GError *error = NULL;

	settings_destroy(p->current);
	p->current = NULL;
	p->row_version = row_version;
	g_string_truncate(p->current_json, 0);
	if (status == TABLE_ABSENT) {
		p->row_version = 0;
		return true;
	}
	g_string_append_len(p->current_json, value.data, (gssize)value.len);
	p->current = settings_parse(value, &error);
	if (p->current)
		return true;
	refuse(p, error->message);
	g_error_free(error);
	return false;
}

/* When an earlier request with the same change id was accepted but its answer
 * was lost, ends this one with the version that the earlier one wrote. Returns
 * whether the publication was ended. */
static bool end_if_accepted_before(struct publish *p)
{
	size_t i, n = p->current ? p->current->recent_count : 0;

	for (i = 0; i < n; i++) {
		const struct settings_entry *e = &p->current->recent[i];

		if (!str_equal(str_from(e->attempt), p->change.attempt))
			continue;
		end(p, PUBLISH_ACCEPTED, e->version, "");
		return true;
	}
	return false;
}

static void on_current_read(struct publish *p, int64_t now_us)
{
	if (end_if_accepted_before(p))
		return;
	switch (p->change.kind) {
	case CHANGE_DECLARE:
		if (p->change.base_version == current_version(p))
			build_next(p, now_us);
		else if (p->change.base_version && p->current)
			set_step(p, STEP_READ_BASE, now_us);
		else if (p->current)
			end_conflict(p, NULL);
		else
			end(p, PUBLISH_CONFLICT, 0,
			    "no settings are published");
		return;
	case CHANGE_ROLLBACK:
		if (p->change.to_version == 0 ||
		    p->change.to_version > current_version(p))
			refuse(p, "no such version");
		else if (p->change.to_version == current_version(p))
			end(p, PUBLISH_UNCHANGED, current_version(p),
			    "this is the current version already");
		else if (p->declared)
			build_next(p, now_us);
		else
			set_step(p, STEP_READ_ROLLBACK, now_us);
		return;
	case CHANGE_ZONE:
	case CHANGE_VM:
		if (p->current)
			build_next(p, now_us);
		else
			refuse(p, "no settings are published");
		return;
	}
}

static void on_rollback_read(struct publish *p, enum table_status status,
			     struct str value, int64_t now_us)
{
	if (status == TABLE_OK)
		p->declared = settings_parse(value, NULL);
	if (p->declared)
		build_next(p, now_us);
	else
		refuse(p, "this version is not in the history");
}

static void on_base_read(struct publish *p, enum table_status status,
			 struct str value)
{
	struct settings *base =
		status == TABLE_OK ? settings_parse(value, NULL) : NULL;

	end_conflict(p, base);
	settings_destroy(base);
}

/* Handles the row that was read back after a write with unknown outcome. The
 * row holds this change, another one, or still the old version. */
static void on_resolved(struct publish *p, enum table_status status,
			uint64_t row_version, struct str value, int64_t now_us)
{
	uint64_t wanted = p->next->version;
	const struct settings_entry *entry = NULL;
	struct settings *row =
		status == TABLE_OK ? settings_parse(value, NULL) : NULL;

	if (status == TABLE_OK && !row) {
		set_step(p, STEP_RESOLVE, now_us + PUBLISH_RETRY_US);
		return;
	}
	if (!row || row->version < wanted) {
		settings_destroy(row);
		set_step(p, STEP_WRITE, now_us + PUBLISH_RETRY_US);
		return;
	}
	entry = settings_entry(row, wanted);
	if (entry && str_equal(str_from(entry->attempt), p->change.attempt)) {
		end(p, PUBLISH_ACCEPTED, wanted, "");
	} else if (!entry) {
		end(p, PUBLISH_UNKNOWN, row->version,
		    "too many versions were published since; check the "
		    "history");
	} else {
		/* Another change has this version, so that the compare-and-set
		 * can't succeed any more. */
		p->may_be_written = false;
		if (set_current(p, status, row_version, value))
			on_current_read(p, now_us);
	}
	settings_destroy(row);
}

void publish_on_read(struct publish *p, enum table_status status,
		     uint64_t row_version, struct str value, int64_t now_us)
{
	p->call_pending = false;
	if (p->step == STEP_ENDED)
		return;
	if (status != TABLE_OK && status != TABLE_ABSENT) {
		p->due_us = now_us + PUBLISH_RETRY_US;
		return;
	}
	if (p->step == STEP_READ_ROLLBACK)
		on_rollback_read(p, status, value, now_us);
	else if (p->step == STEP_READ_BASE)
		on_base_read(p, status, value);
	else if (p->step == STEP_RESOLVE)
		on_resolved(p, status, row_version, value, now_us);
	else if (set_current(p, status, row_version, value))
		on_current_read(p, now_us);
}

static void on_history_written(struct publish *p, enum table_status status,
			       int64_t now_us)
{
	/* A conflict means that the history has this version already. */
	if (status == TABLE_OK || status == TABLE_CONFLICT)
		set_step(p, STEP_WRITE, now_us);
	else
		p->due_us = now_us + PUBLISH_RETRY_US;
}

void publish_on_written(struct publish *p, enum table_status status,
			int64_t now_us)
{
	p->call_pending = false;
	if (p->step == STEP_ENDED)
		return;
	if (p->step == STEP_WRITE_HISTORY) {
		on_history_written(p, status, now_us);
		return;
	}
	if (status == TABLE_UNKNOWN && injected(INJECTED_PUBLISH_ASSUMED))
		status = TABLE_OK;
	if (status == TABLE_OK)
		end(p, PUBLISH_ACCEPTED, p->next->version, "");
	else
		/* Read the row back, also after a conflict: a repeated write
		 * conflicts with the first one if that took effect. */
		set_step(p, STEP_RESOLVE, now_us);
}
