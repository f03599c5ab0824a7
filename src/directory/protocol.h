/**
 * Interface of the platform adapter: the platform's HTTP header fields, its
 * messages about keys, and the encoding of its directory. The adapter provides
 * the operations.
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

/** Values of the platform's header fields in a caller's request. */
struct request_facts {
	/** Request id; empty: not given. Points into the headers. */
	struct str id;
	/** Seconds for which the caller waits; 0: not given. */
	double wait_s;
	/** The key, from 0 to 65535; -1: not given. */
	int key;
	/** The customer's API key; empty: not given. Points into the headers.
	 * Never logged. */
	struct str api_key;
};

/** Values of the platform's header fields in an upstream's answer. */
struct reply_facts {
	/** Id of the request that is answered; empty: not given. */
	struct str id;
	/** The upstream states that it did not run the request. */
	bool not_run;
	/** The answer has the signature field, so the upstream itself made it.
	 */
	bool signed_by_upstream;
	/** The body has a Content-Encoding, which was not asked for. */
	bool has_content_encoding;
	/** Id of the upstream that refused the request; empty: not given. */
	struct str refused_by;
	/** The answer has a load report: the next four fields. */
	bool has_load;
	/** Requests that the upstream executes, and that it has queued. */
	unsigned int running;
	unsigned int waiting;
	/** Requests that the upstream can execute concurrently. */
	unsigned int slots;
	/** The upstream's current execution time, as a factor of its usual one;
	 * 0: not given. */
	double work_factor;
	/** Seconds for which the upstream stays cold; negative: not given. */
	double cold_remaining_s;
	/** Requests per second that the upstream takes from all VMs together;
	 * negative: it names no limit. */
	double limit_per_s;
	/** The upstream says that it leaves. */
	bool leaving;
	/** Seconds for which the upstream, which refused the request, wants no
	 * other one from this VM; negative: it doesn't say. */
	double pause_s;
};

/** A grant or release of a key range. */
struct key_grant {
	/** First and last key of the range, both included. */
	uint16_t first;
	uint16_t last;
	/** Fencing token of the grant. */
	uint64_t fence;
	/** Seconds for which the owner may hold the keys. */
	double hold_s;
	/** Token from the previous owner's release, or NULL. */
	const char *handover;
};

/** Encodes and decodes what is exchanged with callers and upstreams. */
struct protocol {
	/** Reads the platform's header fields of a caller's request. */
	void (*read_request)(const struct headers *headers,
			     struct request_facts *facts);
	/** Reads the platform's header fields of an upstream's answer. */
	void (*read_reply)(unsigned int status, const struct headers *headers,
			   struct reply_facts *facts);
	/**
	 * Returns whether a caller's header field is dropped, because
	 * write_fields() writes it anew or because it is not for upstreams.
	 *
	 * @param customers the configuration has customers
	 */
	bool (*is_rewritten_field)(struct str name, bool customers);
	/**
	 * Appends the header fields that are added to a request.
	 *
	 * @param left_s seconds until the request must be answered
	 * @param upstream_id the upstream that the request is sent to
	 * @param customer name of the request's customer, or NULL
	 */
	void (*write_fields)(GString *out, double left_s,
			     const char *upstream_id, const char *customer);
	/** Scheme of the authentication that requests need, for the field
	 * WWW-Authenticate of an answer 401. */
	const char *authentication;
	/**
	 * Builds the HTTP request that grants or releases keys; the caller
	 * frees it. It names the upstream, so that another upstream at the same
	 * address refuses it.
	 */
	GString *(*grant)(const struct upstream_entry *to,
			  const struct key_grant *grant);
	GString *(*release)(const struct upstream_entry *to,
			    const struct key_grant *grant);
	/** Returns the handover token in the answer to a release, or NULL; the
	 * caller frees it with g_free(). */
	char *(*handover)(const struct headers *headers);
};

/** Store tables of the directory, and decoders of their rows. */
struct directory_codec {
	/** Table of configurations and zone evacuations. */
	const char *operator_table;
	/** Table of upstream entries, by id. */
	const char *upstream_table;
	/** Returns whether a key of the operator's table is that of the
	 * configuration. */
	bool (*is_config)(const char *key);
	/** Returns the zone that a row of the operator's table evacuates, as a
	 * part of the row's key, or NULL. */
	const char *(*evacuated_zone)(const char *key);
	/** Decodes a configuration; freed with config_free(). */
	struct config *(*config)(struct str value, GError **error);
	/** Decodes an upstream's entry; cleared with upstream_entry_clear(). */
	bool (*upstream)(const char *id, struct str value,
			 struct upstream_entry *entry, GError **error);
};

#endif
