/**
 * A crowd of callers on connections of the test process, which send as much as
 * the server takes, in turns, and whose misbehaviour the test chooses.
 */
#ifndef CLUSTER_CROWD_H
#define CLUSTER_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What one caller sends, in this order; and whether it reads. */
struct crowd_message {
	/** Text sent first, and how often; NULL: none. */
	const char *head;
	unsigned int heads;
	/** Bytes sent repeatedly after that, and the number of bytes that are
	 * sent of these repetitions; the last one may be cut off. */
	const char *block;
	size_t block_len;
	uint64_t block_bytes;
	/** Text sent last; NULL: none. */
	const char *tail;
	/** Most bytes sent at a time; 0: 64 KiB. */
	size_t piece_len;
	/** The caller leaves what it receives in its small socket buffer. */
	bool no_read;
};

/** The callers' connections, all open until the server or the test closes them.
 */
struct crowd;

/**
 * Connects a crowd, in which all callers send the same message except that each
 * eighth sends another.
 *
 * @param address "IPv4:port"
 * @param eighth message of each eighth caller; NULL: the same. The messages'
 *        texts are not copied.
 * @return the crowd, freed with crowd_destroy()
 */
struct crowd *crowd_create(const char *address, unsigned int callers,
			   const struct crowd_message *message,
			   const struct crowd_message *eighth);

/**
 * Connects a crowd of callers that send different messages: the first caller
 * sends the first message, and so on, repeatedly.
 *
 * @param messages not copied
 */
struct crowd *crowd_create_mixed(const char *address, unsigned int callers,
				 const struct crowd_message *messages,
				 unsigned int message_count);

/**
 * Sends, a block of bytes for each caller in turn, until each caller has sent
 * everything or its connection was closed, or sends nothing any more.
 *
 * @param idle_ms time without a byte sent or received after which it returns
 */
void crowd_run(struct crowd *crowd, int idle_ms);

/** Returns the number of callers whose connection isn't closed. */
unsigned int crowd_open(const struct crowd *crowd);

/** Returns the number of bytes that all callers sent. */
uint64_t crowd_sent_bytes(const struct crowd *crowd);

/** Returns the number of callers whose first response has this status. */
unsigned int crowd_status_count(const struct crowd *crowd, unsigned int status);

/** Returns the status of a caller's first response; 0 if it got none. */
unsigned int crowd_status(const struct crowd *crowd, unsigned int caller);

/** Closes all connections and frees the crowd. */
void crowd_destroy(struct crowd *crowd);

#endif
