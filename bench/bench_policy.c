/*
 * Compares policies by which routers share the upstreams' slots, under the same
 * arrivals, service times and stragglers. Measures tail latency, imbalance and
 * overshoot, and the effect of backup requests. Stragglers slow down after the
 * first second.
 *
 * Prints: name case value unit baseline ratio. The baseline is round robin; for
 * "straggler-p99" the same policy without a straggler; for "backup-*" the same
 * policy without backup requests.
 */
#include <stdio.h>

#include "bench_policy_parts/model.h"

#define LOCAL 1

/* clang-format off */
static const struct scenario scenarios[] = {
	{ "el-oro/lots", 12, 8, 3, 1500, 6000 * MS, 0.6, 0, false },
	{ "centro/bitacora", 12, 12, 4, 1000, 6000 * MS, 0.6, 0, false },
	{ "490-routers", 490, 600, 6, 1500, 1200 * MS, 0.6, 0, false },
};
/* clang-format on */

static void print_line(const char *name, const char *where, const char *policy,
		       uint32_t stragglers, double value, const char *unit,
		       double baseline)
{
	printf("%s %s/%s/%u-slow %.3f %s %.3f %.3f\n", name, where, policy,
	       stragglers, value, unit, baseline,
	       baseline > 0 ? value / baseline : 0.0);
	fflush(stdout);
}

static void print_result(const char *where, const char *policy,
			 uint32_t stragglers, const struct result *r,
			 const struct result *base)
{
	print_line("p50", where, policy, stragglers, r->p50, "ms", base->p50);
	print_line("p99", where, policy, stragglers, r->p99, "ms", base->p99);
	print_line("p99.9", where, policy, stragglers, r->p999, "ms",
		   base->p999);
	print_line("imbalance", where, policy, stragglers, r->imbalance,
		   "max/mean", base->imbalance);
	print_line("overshoot", where, policy, stragglers, r->overshoot, "%",
		   base->overshoot);
}

/* Compares one policy with and without backup requests. */
static void print_backup(const struct scenario *without,
			 const struct result *base)
{
	struct scenario sc = *without;
	struct result r;

	sc.backup = true;
	r = model_run(&sc, &policies[LOCAL]);
	print_line("backup-p50", sc.name, policies[LOCAL].name, sc.stragglers,
		   r.p50, "ms", base->p50);
	print_line("backup-p99", sc.name, policies[LOCAL].name, sc.stragglers,
		   r.p99, "ms", base->p99);
	print_line("backup-p99.9", sc.name, policies[LOCAL].name, sc.stragglers,
		   r.p999, "ms", base->p999);
	print_line("backup-load", sc.name, policies[LOCAL].name, sc.stragglers,
		   r.added, "%", 0);
}

static void compare_policies(const struct scenario *scenario)
{
	double without[8] = { 0 };
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
				without[i] = r.p99;
			print_result(sc.name, policies[i].name, stragglers, &r,
				     &base);
			print_line("straggler-p99", sc.name, policies[i].name,
				   stragglers, r.p99, "ms", without[i]);
			if (i == LOCAL)
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
