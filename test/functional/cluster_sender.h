/**
 * Kinds of callers that misbehave, for crowds against a daemon of
 * cluster_limited.h.
 */
#ifndef CLUSTER_SENDER_H
#define CLUSTER_SENDER_H

#include "cluster_crowd.h"
#include "cluster_limited.h"

/** Most kinds of callers in a crowd. */
#define SENDERS_MAX 8
/** Bytes that a caller sends of a message without an end. */
#define SENDER_ENDLESS_BYTES ((uint64_t)4 << 20)
/** Bytes of a body that is sent in pieces of SENDER_PIECE_BYTES. */
#define SENDER_PIECE_BYTES ((size_t)4096)
/** A body that is small enough for an ordinary caller. */
#define SENDER_SMALL_BODY 60000
/** Value of a header field; with SENDER_FIELDS of them a head has nearly the
 * largest allowed size. */
#define SENDER_FIELD_BYTES 1030
#define SENDER_FIELDS 15

/** What one kind of callers sends: a text (head), then a repeated text that
 * consists of a prefix, header fields, some bytes of filling and a suffix, then
 * another text (tail). */
struct sender {
	const char *head;
	const char *prefix;
	/** Number of header fields of SENDER_FIELD_BYTES behind the prefix. */
	unsigned int fields;
	size_t filling;
	const char *suffix;
	/** How often it is repeated, and bytes left out at the end. */
	uint64_t repeats;
	uint64_t left_out;
	const char *tail;
	size_t piece_len;
	bool no_read;
};

/** Head of a request with a body of a length. */
#define SENDER_LENGTH_HEAD(length)                                             \
	LIMITED_POST_HEAD "Content-Length: " length "\r\n\r\n"
#define SENDER_LARGEST "33554432"
#define SENDER_LARGEST_BYTES LIMITED_BODY_BYTES
#define SENDER_ENDLESS(unit) (SENDER_ENDLESS_BYTES / (unit))

/** Bodies of the largest size in pieces. */
#define SENDER_IN_PIECES(short_by)                                             \
	{                                                                      \
		.head = SENDER_LENGTH_HEAD(SENDER_LARGEST),                    \
		.filling = SENDER_PIECE_BYTES,                                 \
		.repeats = SENDER_LARGEST_BYTES / SENDER_PIECE_BYTES,          \
		.left_out = (short_by), .piece_len = SENDER_PIECE_BYTES        \
	}
/** Chunked bodies of the largest size in chunks of 1 MiB. */
#define SENDER_LARGE_CHUNKS(end)                                               \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD, .prefix = "100000\r\n",          \
		.filling = 1 << 20, .suffix = "\r\n", .repeats = 32,           \
		.tail = (end)                                                  \
	}
/** Chunked bodies in chunks of 16 bytes. */
#define SENDER_SMALL_CHUNKS(end)                                               \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD, .prefix = "10\r\n",              \
		.filling = 16, .suffix = "\r\n", .repeats = 400000,            \
		.tail = (end)                                                  \
	}
#define SENDER_ONE_BYTE_CHUNKS                                                 \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD, .prefix = "1\r\n", .filling = 1, \
		.suffix = "\r\n", .repeats = 80000                             \
	}
#define SENDER_ENDLESS_EXTENSION                                               \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD "1;", .filling = 1024,            \
		.repeats = SENDER_ENDLESS(1024)                                \
	}
#define SENDER_ENDLESS_TRAILER                                                 \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD "0\r\n",                          \
		.prefix = "t: ", .filling = 1000, .suffix = "\r\n",            \
		.repeats = SENDER_ENDLESS(1005)                                \
	}
#define SENDER_ENDLESS_HEAD                                                    \
	{                                                                      \
		.head = LIMITED_POST_HEAD, .prefix = "f: ", .filling = 1000,   \
		.suffix = "\r\n", .repeats = SENDER_ENDLESS(1005)              \
	}
#define SENDER_EXPECT_ONLY                                                     \
	{                                                                      \
		.head = LIMITED_POST_HEAD "Expect: 100-continue\r\n"           \
					  "Content-Length: 33554432\r\n\r\n"   \
	}
#define SENDER_SMALL_CUT_SHORT                                                 \
	{                                                                      \
		.head = SENDER_LENGTH_HEAD("64000"), .filling = 1000,          \
		.repeats = 63                                                  \
	}
/** Requests with bodies one behind the other; answers are not read. */
#define SENDER_PIPELINED                                                       \
	{                                                                      \
		.prefix = SENDER_LENGTH_HEAD("60000"),                         \
		.filling = SENDER_SMALL_BODY, .repeats = 200, .no_read = true  \
	}

/** Head of a request that an upstream works on for 5 s, without its end. */
#define SENDER_GET_HEAD                                                        \
	"GET /plain/work-ms-5000/a HTTP/1.1\r\nHost: app.example\r\n"          \
	"X-Deadline-Ms: 9000\r\n"
/** Such requests, one behind the other; answers are not read. */
#define SENDER_WAITING_REQUESTS                                                \
	{                                                                      \
		.prefix = SENDER_GET_HEAD "\r\n",                              \
		.repeats = SENDER_ENDLESS(100), .no_read = true                \
	}
#define SENDER_WAITING_LARGE_HEADS                                             \
	{                                                                      \
		.prefix = SENDER_GET_HEAD, .fields = SENDER_FIELDS,            \
		.suffix = "\r\n", .repeats = SENDER_ENDLESS(16000),            \
		.no_read = true                                                \
	}

/** Builds a sender's message; sender_free_message() frees it. */
struct crowd_message sender_message(const struct sender *sender);

/** Frees the texts of a message. */
void sender_free_message(struct crowd_message *message);

#endif
