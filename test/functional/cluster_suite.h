/**
 * Runs the test cases of one program against one cluster.
 */
#ifndef CLUSTER_SUITE_H
#define CLUSTER_SUITE_H

#include <curl/curl.h>
#include <stdio.h>

#include "cluster.h"
#include "suite.h"

/**
 * Starts a cluster, runs the cases and ends the cluster.
 *
 * @param cluster set to the cluster before the first case runs
 * @return the process exit status
 */
static inline int cluster_suite_run(const char *name,
				    const struct cluster_options *options,
				    const struct suite_case *cases,
				    struct cluster **cluster)
{
	GError *error = NULL;
	int status;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	*cluster = cluster_create(options, &error);
	if (!*cluster) {
		printf("not ok - the cluster starts\n# %s\n", error->message);
		g_error_free(error);
		return 1;
	}
	status = suite_run(name, cases);
	cluster_destroy(*cluster, status != 0);
	curl_global_cleanup();
	return status;
}

#endif
