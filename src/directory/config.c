#include "directory/directory_defs.h"

#include <string.h>

bool route_kind_is_idempotent(enum route_kind kind)
{
	return kind == ROUTE_SAFE || kind == ROUTE_DOWNLOAD;
}

void route_clear_parts(struct route *route)
{
	size_t i;

	for (i = 0; i < route->part_count; i++)
		g_free(route->parts[i].service);
	g_free(route->parts);
	route->parts = NULL;
	route->part_count = 0;
}

void route_clear(struct route *route)
{
	route_clear_parts(route);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	memset(route, 0, sizeof(*route));
}

void customer_config_clear(struct customer_config *customer)
{
	g_free(customer->name);
	g_strfreev(customer->api_keys);
	memset(customer, 0, sizeof(*customer));
}

void config_free(struct config *config)
{
	size_t i;

	if (!config)
		return;
	for (i = 0; i < config->route_count; i++)
		route_clear(&config->routes[i]);
	for (i = 0; i < config->service_count; i++)
		g_free(config->services[i].name);
	for (i = 0; i < config->customer_count; i++)
		customer_config_clear(&config->customers[i]);
	g_free(config->customers);
	g_free(config->routes);
	g_free(config->services);
	g_free(config);
}

void upstream_entry_clear(struct upstream_entry *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->zone);
	memset(entry, 0, sizeof(*entry));
}

const struct service_config *config_service(const struct config *config,
					    const char *name)
{
	size_t i;

	for (i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	return NULL;
}

const struct route *config_route(const struct config *config, struct str host,
				 struct str path)
{
	const struct route *best = NULL;
	size_t best_len = 0;
	size_t i;

	for (i = 0; i < config->route_count; i++) {
		const struct route *route = &config->routes[i];
		size_t len = strlen(route->prefix);

		if (len > best_len && len <= path.len &&
		    !memcmp(route->prefix, path.data, len) &&
		    headers_name_equal(str_from(route->host), host)) {
			best = route;
			best_len = len;
		}
	}
	return best;
}
