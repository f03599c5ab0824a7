/* The way of a request through real binaries. */
#include <string.h>

#include "base/clock.h"
#include "cluster.h"
#include "suite.h"

static const struct cluster_service services[] = { { "tallies", 3 },
						   { "lots", 2 },
						   { "ledgers", 2 },
						   { "sanidad", 2 },
						   { 0 } };

static struct cluster *cluster;

static void every_service_answers(void)
{
	CU_PASS("cluster_create() waited for it");
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "every service answers", every_service_answers },
		{ 0 },
	};
	static const struct cluster_options options = { .services = services };
	GError *error = NULL;
	int status;

	cluster = cluster_create(&options, &error);
	if (!cluster) {
		printf("not ok - cluster starts\n# %s\n", error->message);
		return 1;
	}
	status = suite_run("path", cases);
	cluster_destroy(cluster, status != 0);
	return status;
}
