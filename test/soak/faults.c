/* The faults of the soak test, and the changes of the configuration. */
#include <signal.h>
#include <stdio.h>

#include "drills.h"
#include "soak.h"

/* Time between two checks for faults to begin or end and for ended daemons. */
#define CHECK_PAUSE_US 10000
/* Mean time between the starts of two faults. Most faults last longer, so that
 * they overlap. */
#define FAULT_PAUSE_S 0.6
/* Time between two changes of the configuration; one in SERIES_SHARE is
 * followed by SERIES_LENGTH quick ones. */
#define CHANGE_MIN_S 0.7
#define CHANGE_MAX_S 1.5
#define SERIES_SHARE 6
#define SERIES_LENGTH 4
#define SERIES_PAUSE_S 0.05

/* Kinds of faults, with planned maintenance first. */
enum fault_kind {
	/* Planned maintenance: every request that is executed must get a
	 * response. */
	/* An entry daemon gets SIGTERM, or SIGHUP for a reload. */
	FAULT_STOP,
	FAULT_RELOAD,
	/* An upstream drains for a time. */
	FAULT_DRAIN,
	/* Its entry is gone for a time. */
	FAULT_LAPSE,
	/* Failures: requests may go without a response. */
	/* An entry daemon gets SIGKILL, or SIGSTOP for a time. */
	FAULT_KILL,
	FAULT_FREEZE,
	/* The store responds with 503 to all daemons. */
	FAULT_STORE_DOWN,
	/* Faults of the proxy between one daemon and the store. */
	FAULT_STORE_SILENT,
	FAULT_STORE_CUT_REQUESTS,
	FAULT_STORE_CUT_ANSWERS,
	FAULT_STORE_RESET,
	FAULT_STORE_DELAY,
	/* The proxies between all daemons and the store forget what is open. */
	FAULT_STORE_FORGET,
	/* Faults of the proxy between all daemons and one upstream. */
	FAULT_UPSTREAM_SILENT,
	FAULT_UPSTREAM_CUT_ANSWERS,
	FAULT_UPSTREAM_RESET,
	FAULT_UPSTREAM_FORGET,
	FAULT_UPSTREAM_DELAY,
	/* An upstream restarts without grants, or crashes and does so later. */
	FAULT_UPSTREAM_RESTART,
	FAULT_UPSTREAM_CRASH,
	/* The spare upstream ends, and later one of any service starts at its
	 * address. */
	FAULT_UPSTREAM_REPLACE,
	/* The responses of the store to a daemon end halfway. */
	FAULT_STORE_HALVE,
	/* A daemon loses datagrams of others, or its own. */
	FAULT_PEER_LOSS,
	FAULT_PEER_MUTE,
	/* Nothing reaches the daemons of a zone from the store and from other
	 * daemons. */
	FAULT_ZONE_CUT,
	/* The store has a configuration that can't be read. */
	FAULT_INVALID_CONFIG,
	FAULT_KINDS,
};

/* Number of kinds of planned maintenance. */
#define PLANNED_KINDS (FAULT_LAPSE + 1)

/* A fault in effect. */
struct fault {
	enum fault_kind kind;
	/** Random number that selects the daemon or upstream, modulo their
	 * count, and the length of a delay. */
	unsigned int random_number;
	/** For FAULT_STOP: the daemon's number of stops with this one; a higher
	 * number at the fault's end shows that the daemon was stopped again. */
	unsigned int stop_number;
	/** Time at which the fault ends; monotonic clock. */
	gint64 end_us;
};

/* Returns whether a fault of this kind suspends or ends an entry daemon. A
 * daemon has only one such fault at a time. */
static bool occupies_entry(enum fault_kind kind)
{
	return kind == FAULT_STOP || kind == FAULT_KILL || kind == FAULT_FREEZE;
}

/* Returns the time for which a fault stays in effect, random for most kinds. A
 * stop lasts one second longer than its grace time. */
static double fault_duration_s(struct soak *soak, enum fault_kind kind)
{
	switch (kind) {
	case FAULT_STOP:
		return STOP_GRACE_S + 1;
	case FAULT_KILL:
		return g_rand_double_range(soak->random, 1.6, 4);
	case FAULT_UPSTREAM_REPLACE:
		return g_rand_double_range(soak->random, 2.05, 4);
	case FAULT_DRAIN:
	case FAULT_LAPSE:
		return g_rand_double_range(soak->random, 2.5, 6);
	case FAULT_STORE_DOWN:
		return g_rand_double_range(soak->random, 0.5, 5);
	default:
		return g_rand_double_range(soak->random, 0.1, 4);
	}
}

/* Has the open connections of all daemons to the store go silent for good. */
void faults_forget_store(struct soak *soak)
{
	unsigned int i;

	for (i = 0; i < soak->vms; i++) {
		rules_pulse(soak->rules, RULES_STORE_LINK, i);
		proxy_forget(soak->entries[i].store);
	}
}

/* Writes a valid configuration with random changes. */
void faults_change_config(struct soak *soak)
{
	char *text;

	changes_next(&soak->config, soak->changes_random);
	text = changes_text(&soak->config, ++soak->config_version,
			    soak->fillers);
	soak->config.sent_us = g_get_monotonic_time();
	soak_command(soak, "config", 0, text);
	soak->config.acked_us = g_get_monotonic_time();
	rules_add_config(soak->rules, &soak->config);
	g_free(text);
}

/* Changes the configuration if it is time to. */
static void change_config_in_time(struct soak *soak, gint64 now_us)
{
	double pause_s;

	if (now_us < soak->change_us)
		return;
	pause_s = g_rand_double_range(soak->changes_random, CHANGE_MIN_S,
				      CHANGE_MAX_S);
	faults_change_config(soak);
	if (soak->series_left) {
		soak->series_left--;
		pause_s = SERIES_PAUSE_S;
	} else if (g_rand_int(soak->changes_random) % SERIES_SHARE == 0) {
		soak->series_left = SERIES_LENGTH;
	}
	soak->change_us = now_us + (gint64)(pause_s * G_USEC_PER_SEC);
}

/* Changes the mode of the proxy between a daemon and the store. */
static void set_store_mode(struct soak *soak, unsigned int entry,
			   enum proxy_mode mode)
{
	if (mode != PROXY_PASS)
		rules_begin(soak->rules, RULES_STORE_LINK, entry);
	proxy_set_mode(soak->entries[entry].store, mode);
	if (mode == PROXY_PASS)
		rules_end(soak->rules, RULES_STORE_LINK, entry);
}

/* Changes the mode of the proxy between the daemons and an upstream. */
static void set_upstream_mode(struct soak *soak, unsigned int upstream,
			      enum proxy_mode mode)
{
	if (mode != PROXY_PASS)
		rules_begin(soak->rules, RULES_UPSTREAM_LINK, upstream);
	proxy_set_mode(soak->upstreams[upstream], mode);
	if (mode == PROXY_PASS)
		rules_end(soak->rules, RULES_UPSTREAM_LINK, upstream);
}

/* Sets the shares of the datagrams to and from a daemon that are lost. */
static void set_losses(struct soak *soak, unsigned int vm, unsigned char to,
		       unsigned char from)
{
	FILE *file = fopen(soak->entries[vm].losses, "r+");

	if (to || from)
		rules_begin(soak->rules, RULES_PEER_LINK, vm);
	if (!file || fputc(to, file) == EOF || fputc(from, file) == EOF ||
	    fclose(file))
		g_error("cannot write %s", soak->entries[vm].losses);
	if (!to && !from)
		rules_end(soak->rules, RULES_PEER_LINK, vm);
}

/* Cuts what reaches the daemons of a zone, or ends that. */
static void cut_zone(struct soak *soak, unsigned int zone, bool cut)
{
	unsigned int vm;

	for (vm = zone; vm < soak->vms; vm += 2) {
		set_losses(soak, vm, cut ? 100 : 0, 0);
		set_store_mode(soak, vm, cut ? PROXY_CUT_ANSWERS : PROXY_PASS);
	}
}

/* Starts an upstream of a random service in place of the spare one. */
static void replace_spare(struct soak *soak, unsigned int number)
{
	soak_command(soak, "replace", soak->spare,
		     changes_services[number % 3]);
	soak->spare = soak->next_spare++;
	soak->spare_gone = false;
}

static void write_invalid_config(struct soak *soak)
{
	char *text =
		changes_invalid_text(&soak->config, ++soak->config_version);

	soak_command(soak, "config", 0, text);
	g_free(text);
}

static void begin_fault(struct soak *soak, struct fault *fault)
{
	unsigned int random = fault->random_number;
	unsigned int vm = random % soak->vms;
	unsigned int at = random % SPARE;
	struct soak_entry *entry = &soak->entries[vm];
	struct proxy *upstream = soak->upstreams[at];

	soak->fault_count++;
	switch (fault->kind) {
	case FAULT_STOP:
		entry->stopping = true;
		fault->stop_number = ++entry->stops;
		rules_begin(soak->rules, RULES_STOPPED, vm);
		process_terminate(entry->process);
		break;
	case FAULT_RELOAD:
		kill(process_pid(entry->process), SIGHUP);
		break;
	case FAULT_DRAIN:
		soak_command(soak, "drain", at, NULL);
		break;
	case FAULT_LAPSE:
		soak_command(soak, "lapse", at, NULL);
		break;
	case FAULT_KILL:
		entry->stopping = true;
		entry->stops++;
		/* Some are back at once, some after a while. */
		entry->down_until_us = g_get_monotonic_time() +
				       random / 16 % 4 * G_USEC_PER_SEC / 2;
		rules_begin(soak->rules, RULES_STOPPED, vm);
		process_kill(entry->process);
		break;
	case FAULT_FREEZE:
		rules_begin(soak->rules, RULES_FROZEN, vm);
		process_freeze(entry->process);
		break;
	case FAULT_STORE_DOWN:
		soak_command(soak, "down", 1, NULL);
		break;
	case FAULT_STORE_SILENT:
		set_store_mode(soak, vm, PROXY_SILENT);
		break;
	case FAULT_STORE_CUT_REQUESTS:
		set_store_mode(soak, vm, PROXY_CUT_REQUESTS);
		break;
	case FAULT_STORE_CUT_ANSWERS:
		set_store_mode(soak, vm, PROXY_CUT_ANSWERS);
		break;
	case FAULT_STORE_RESET:
		rules_pulse(soak->rules, RULES_STORE_LINK, vm);
		proxy_reset(entry->store);
		break;
	case FAULT_STORE_FORGET:
		faults_forget_store(soak);
		break;
	case FAULT_UPSTREAM_SILENT:
		set_upstream_mode(soak, at, PROXY_SILENT);
		break;
	case FAULT_UPSTREAM_CUT_ANSWERS:
		set_upstream_mode(soak, at, PROXY_CUT_ANSWERS);
		break;
	case FAULT_UPSTREAM_RESET:
		rules_pulse(soak->rules, RULES_UPSTREAM_LINK, at);
		proxy_reset(upstream);
		break;
	case FAULT_UPSTREAM_FORGET:
		rules_pulse(soak->rules, RULES_UPSTREAM_LINK, at);
		proxy_forget(upstream);
		break;
	case FAULT_UPSTREAM_DELAY:
		rules_begin(soak->rules, RULES_UPSTREAM_DELAY, at);
		proxy_set_delay(upstream, 50 + (int)(random % 200));
		break;
	case FAULT_UPSTREAM_CRASH:
		soak_command(soak, "crash", at, NULL);
		break;
	case FAULT_UPSTREAM_REPLACE:
		soak->spare_gone = true;
		soak_command(soak, "end", soak->spare, NULL);
		break;
	case FAULT_STORE_HALVE:
		proxy_halve(entry->store);
		break;
	case FAULT_PEER_LOSS:
		set_losses(soak, vm, (unsigned char)(30 + random / 16 % 71), 0);
		break;
	case FAULT_PEER_MUTE:
		set_losses(soak, vm, 0, (unsigned char)(30 + random / 16 % 71));
		break;
	case FAULT_STORE_DELAY:
		rules_begin(soak->rules, RULES_STORE_DELAY, vm);
		proxy_set_delay(entry->store, 200 + (int)(random / 16 % 1500));
		break;
	case FAULT_ZONE_CUT:
		cut_zone(soak, random % 2, true);
		break;
	case FAULT_INVALID_CONFIG:
		write_invalid_config(soak);
		break;
	case FAULT_UPSTREAM_RESTART:
		soak_command(soak, "restart", at, NULL);
		break;
	case FAULT_KINDS:
		break;
	}
}

/* Ends a fault. When faults that change the same thing overlap, such as the
 * mode of a proxy, the end of the first one ends them all. */
static void end_fault(struct soak *soak, const struct fault *fault)
{
	unsigned int vm = fault->random_number % soak->vms;
	unsigned int at = fault->random_number % SPARE;
	struct soak_entry *entry = &soak->entries[vm];
	struct proxy *upstream = soak->upstreams[at];

	switch (fault->kind) {
	case FAULT_STOP:
		if (entry->stopping && entry->stops == fault->stop_number &&
		    process_running(entry->process))
			soak_report(soak,
				    "an entry daemon is still running 1 s "
				    "after the grace time of its stop");
		break;
	case FAULT_FREEZE:
		process_continue(entry->process);
		rules_end(soak->rules, RULES_FROZEN, vm);
		entry->busy = false;
		break;
	case FAULT_DRAIN:
	case FAULT_LAPSE:
		soak_command(soak, "undrain", at, NULL);
		soak->drain_active = false;
		break;
	case FAULT_STORE_DOWN:
		soak_command(soak, "down", 0, NULL);
		break;
	case FAULT_STORE_SILENT:
	case FAULT_STORE_CUT_REQUESTS:
	case FAULT_STORE_CUT_ANSWERS:
		set_store_mode(soak, vm, PROXY_PASS);
		break;
	case FAULT_UPSTREAM_SILENT:
	case FAULT_UPSTREAM_CUT_ANSWERS:
		set_upstream_mode(soak, at, PROXY_PASS);
		break;
	case FAULT_UPSTREAM_DELAY:
		proxy_set_delay(upstream, 0);
		rules_end(soak->rules, RULES_UPSTREAM_DELAY, at);
		break;
	case FAULT_UPSTREAM_REPLACE:
		replace_spare(soak, fault->random_number);
		break;
	case FAULT_STORE_DELAY:
		proxy_set_delay(entry->store, 0);
		rules_end(soak->rules, RULES_STORE_DELAY, vm);
		break;
	case FAULT_PEER_LOSS:
	case FAULT_PEER_MUTE:
		set_losses(soak, vm, 0, 0);
		break;
	case FAULT_ZONE_CUT:
		cut_zone(soak, fault->random_number % 2, false);
		break;
	default:
		break;
	}
}

/* Restarts the entry daemons that have ended. Reports an unexpected exit unless
 * the daemon's last exit was unexpected, too. */
static void restart_ended(struct soak *soak)
{
	GError *error = NULL;
	unsigned int i;

	for (i = 0; i < soak->vms; i++) {
		struct soak_entry *entry = &soak->entries[i];

		if (proxy_take_halved(entry->store))
			rules_pulse(soak->rules, RULES_STORE_LINK, i);
		if (process_running(entry->process) ||
		    g_get_monotonic_time() < entry->down_until_us)
			continue;
		if (!entry->stopping && !entry->exit_reported)
			soak_report(soak, "entry daemon %u exited unexpectedly",
				    i);
		entry->exit_reported = !entry->stopping;
		if (!process_restart(entry->process, &error))
			g_error("%s", error->message);
		rules_end(soak->rules, RULES_STOPPED, i);
		entry->stopping = false;
		entry->busy = false;
	}
}

static void begin_random_fault(struct soak *soak, gint64 now_us)
{
	struct fault fault = { 0 };

	fault.kind = (enum fault_kind)g_rand_int_range(
		soak->random, 0,
		soak->planned_only ? PLANNED_KINDS : FAULT_KINDS);
	/* A third of the faults act where the last one did. */
	fault.random_number = g_rand_int(soak->random);
	if (g_rand_int(soak->random) % 3 == 0)
		fault.random_number = soak->last_random;
	soak->last_random = fault.random_number;
	fault.end_us = now_us + (gint64)(fault_duration_s(soak, fault.kind) *
					 G_USEC_PER_SEC);
	/* The fault is skipped if it would interfere with one in effect: a
	 * daemon has one stop, kill or freeze at a time and no reload during
	 * it, and one upstream drains at a time. */
	if (occupies_entry(fault.kind) || fault.kind == FAULT_RELOAD) {
		struct soak_entry *entry =
			&soak->entries[fault.random_number % soak->vms];

		if (entry->busy)
			return;
		entry->busy = occupies_entry(fault.kind);
	}
	if (fault.kind == FAULT_UPSTREAM_REPLACE && soak->spare_gone)
		return;
	if (fault.kind == FAULT_DRAIN || fault.kind == FAULT_LAPSE) {
		if (soak->drain_active)
			return;
		soak->drain_active = true;
	}
	begin_fault(soak, &fault);
	g_array_append_val(soak->faults, fault);
}

/* Ends the faults whose time is over. */
static void end_faults(struct soak *soak, gint64 now_us)
{
	guint i;

	for (i = soak->faults->len; i > 0; i--) {
		struct fault fault =
			g_array_index(soak->faults, struct fault, i - 1);

		if (fault.end_us > now_us)
			continue;
		g_array_remove_index(soak->faults, i - 1);
		end_fault(soak, &fault);
	}
}

/* Begins random faults for a time, and waits until all of them have ended. */
void faults_inject(struct soak *soak, double seconds)
{
	gint64 start_us = g_get_monotonic_time();
	gint64 next_us = start_us;
	gint64 end_us = start_us + (gint64)(seconds * G_USEC_PER_SEC);
	gint64 now_us;

	soak->faults = g_array_new(FALSE, FALSE, sizeof(struct fault));
	while ((now_us = g_get_monotonic_time()) < end_us ||
	       soak->faults->len) {
		if (now_us < end_us && now_us >= next_us) {
			begin_random_fault(soak, now_us);
			next_us = now_us +
				  (gint64)(g_rand_double(soak->random) * 2 *
					   FAULT_PAUSE_S * G_USEC_PER_SEC);
		}
		change_config_in_time(soak, now_us);
		if (soak->drills && now_us < end_us)
			drills_run(soak->drills, soak);
		else if (soak->drills)
			drills_end(soak->drills, soak);
		end_faults(soak, now_us);
		restart_ended(soak);
		g_usleep(CHECK_PAUSE_US);
	}
	g_array_free(soak->faults, TRUE);
}
