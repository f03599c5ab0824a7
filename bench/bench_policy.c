/*
 * Compares policies by which routers share the upstreams' slots, under the same
 * arrivals, service times and stragglers. Measures tail latency, imbalance and
 * overshoot, and the effect of backup requests. Stragglers slow down after the
 * first second.
 *
 * Prints: name case value unit baseline ratio. The baseline is round robin; for
 * "straggler-p99" the same policy without a straggler; for the latencies of
 * "backup-*" the same policy without backup requests. The ratio is value over
 * baseline, 0 without a baseline.
 */
#include <stdio.h>

#include "bench_policy_parts/model.h"

/* Index in policies of the one that is also run with backup requests. */
#define POLICY_TWO_CHOICES 1

/* Routers, upstreams, zones, cross_zone_us, run_us, load, stragglers, backup.
 */
/* clang-format off */
static const struct scenario scenarios[] = {
	{ "el-oro/lots", 12, 8, 3, 1500, 6000 * MS, 0.6, 0, false },
	{ "centro/bitacora", 12, 12, 4, 1000, 6000 * MS, 0.6, 0, false },
	{ "490-routers", 490, 600, 6, 1500, 1200 * MS, 0.6, 0, false },
};
/* clang-format on */

static void print_line(const char *name, const char *label, const char *policy,
		       uint32_t stragglers, double value, const char *unit,
		       double baseline)
{
	printf("%s %s/%s/%u-slow %.3f %s %.3f %.3f\n", name, label, policy,
	       stragglers, value, unit, baseline,
	       baseline > 0 ? value / baseline : 0.0);
	fflush(stdout);
}

static void print_result(const char *label, const char *policy,
			 uint32_t stragglers, const struct result *r,
			 const struct result *base)
{
	print_line("p50", label, policy, stragglers, r->p50_ms, "ms",
		   base->p50_ms);
	print_line("p99", label, policy, stragglers, r->p99_ms, "ms",
		   base->p99_ms);
	print_line("p99.9", label, policy, stragglers, r->p999_ms, "ms",
		   base->p999_ms);
	print_line("imbalance", label, policy, stragglers, r->imbalance,
		   "max/mean", base->imbalance);
	print_line("overshoot", label, policy, stragglers, r->overshoot_percent,
		   "%", base->overshoot_percent);
}

/*
 * Runs a scenario again with backup requests under POLICY_TWO_CHOICES. base is
 * the result without backup requests.
 */
static void print_backup(const struct scenario *without_backup,
			 const struct result *base)
{
	struct scenario sc = *without_backup;
	struct result r;

	sc.backup = true;
	r = model_run(&sc, &policies[POLICY_TWO_CHOICES]);
	print_line("backup-p50", sc.name, policies[POLICY_TWO_CHOICES].name,
		   sc.stragglers, r.p50_ms, "ms", base->p50_ms);
	print_line("backup-p99", sc.name, policies[POLICY_TWO_CHOICES].name,
		   sc.stragglers, r.p99_ms, "ms", base->p99_ms);
	print_line("backup-p99.9", sc.name, policies[POLICY_TWO_CHOICES].name,
		   sc.stragglers, r.p999_ms, "ms", base->p999_ms);
	print_line("backup-load", sc.name, policies[POLICY_TWO_CHOICES].name,
		   sc.stragglers, r.wasted_percent, "%", 0);
}

/* Runs a scenario under each policy, with 0 to 2 stragglers. */
static void compare_policies(const struct scenario *scenario)
{
	double p99_without_straggler[8] = { 0 };
	uint32_t stragglers;
	size_t i;

	for (stragglers = 0; stragglers <= 2; stragglers++) {
		struct scenario sc = *scenario;
		struct result base = { 0 };

		sc.stragglers = stragglers;
		for (i = 0; i < policy_count; i++) {
			struct result r = model_run(&sc, &policies[i]);

			if (!i)
				base = r;
			if (!stragglers)
				p99_without_straggler[i] = r.p99_ms;
			print_result(sc.name, policies[i].name, stragglers, &r,
				     &base);
			print_line("straggler-p99", sc.name, policies[i].name,
				   stragglers, r.p99_ms, "ms",
				   p99_without_straggler[i]);
			if (i == POLICY_TWO_CHOICES)
				print_backup(&sc, &r);
		}
	}
}

int main(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		compare_policies(&scenarios[i]);
	return 0;
}
