/**
 * What is read from requests and answers beside plain HTTP, and what is added
 * to them. An adapter fills the operations.
 */
#ifndef DIRECTORY_PROTOCOL_H
#define DIRECTORY_PROTOCOL_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "directory/directory_defs.h"
#include "http/headers.h"

/** What a caller's request says of itself. */
struct request_facts {
	struct str id;
	/** How long the caller waits; 0: not said. */
	double wait_s;
	/** The key, or -1. */
	int key;
};

/** What an upstream's answer says. */
struct reply_facts {
	struct str id;
	/** The upstream says that it did not run the request. */
	bool not_run;
	/** The bytes are the upstream's own. */
	bool signed_by_upstream;
	/** The body is in a coding that nobody asked for. */
	bool coded;
	/** Id of the upstream that refused; empty: not said. */
	struct str refused_by;
	bool has_load;
	unsigned int running;
	unsigned int waiting;
	unsigned int slots;
	/** How long work takes there now, 1 as usual; 0: not said. */
	double work_factor;
	/** How long it stays cold; negative: not said. */
	double cold_remaining_s;
};

/** A range of keys, both ends included, under a fencing token. */
struct key_grant {
	uint16_t first;
	uint16_t last;
	uint64_t fence;
	double hold_s;
	/** Token of the last holder's release, or NULL. */
	const char *handover;
};

struct protocol {
	void (*read_request)(const struct headers *headers,
			     struct request_facts *facts);
	void (*read_reply)(unsigned int status, const struct headers *headers,
			   struct reply_facts *facts);
	/** Whether a caller's field is not passed on. */
	bool (*own_field)(struct str name);
	/** Appends the fields that a request to an upstream carries. */
	void (*write_fields)(GString *out, double left_s,
			     const char *upstream_id);
	/**
	 * Build whole requests that give and take keys. Another upstream at
	 * the same address does not carry them out.
	 */
	GString *(*grant)(const struct upstream_entry *to,
			  const struct key_grant *grant);
	GString *(*release)(const struct upstream_entry *to,
			    const struct key_grant *grant);
	/** The handover token of a release's answer; NULL: none. */
	char *(*handover)(const struct headers *headers);
};

/** Where declarations are kept, and how they are read. */
struct declarations {
	const char *operator_table;
	const char *upstream_table;
	/** Whether a row of the operator's table is the configuration. */
	bool (*is_config)(const char *key);
	/** The zone that a row takes out, or NULL. */
	const char *(*zone_out)(const char *key);
	struct config *(*config)(struct str value, GError **error);
	bool (*upstream)(const char *id, struct str value,
			 struct upstream_entry *entry, GError **error);
};

#endif
