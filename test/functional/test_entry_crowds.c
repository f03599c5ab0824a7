/*
 * Crowds of callers that send what no client inside the published limits sends,
 * or more of it than the daemon can hold, and stay connected. Guards against a
 * process that ends, exceeds its memory or its descriptors, or serves nobody.
 */
#include <string.h>

#include "limited_suite.h"

/* Most kinds of callers in a crowd. */
#define SENDERS_MAX 8
/* Bytes that a caller sends of a message without an end. */
#define ENDLESS_BYTES ((uint64_t)4 << 20)
/* Bytes of a body that is sent in pieces of PIECE_BYTES. */
#define PIECE_BYTES ((size_t)4096)
/* A body that is small enough for an ordinary caller. */
#define SMALL_BODY 60000
/* Value of a header field; with LARGE_HEAD_FIELDS of them a head has nearly the
 * largest allowed size. */
#define FIELD_BYTES 1030
#define LARGE_HEAD_FIELDS 15

/* What one kind of callers sends: a text, then a repeated text of a prefix,
 * some bytes of filling and a suffix, then another text. */
struct sender {
	const char *head;
	const char *prefix;
	/* Number of header fields of FIELD_BYTES behind the prefix. */
	unsigned int fields;
	size_t filling;
	const char *suffix;
	/* How often it is repeated, and bytes left out at the end. */
	uint64_t repeats;
	uint64_t left_out;
	const char *tail;
	size_t piece_len;
	bool no_read;
};

struct crowd_case {
	const char *name;
	unsigned int callers;
	/* Kinds of callers, in turn; the first without any text ends them. */
	struct sender senders[SENDERS_MAX];
	/* The largest body is served beside the crowd. */
	bool largest_beside;
};

#define LENGTH_HEAD(length)                                                    \
	LIMITED_POST_HEAD "Content-Length: " length "\r\n\r\n"
#define LARGEST "33554432"
#define LARGEST_BYTES LIMITED_BODY_BYTES
#define ENDLESS(unit) (ENDLESS_BYTES / (unit))

/* Bodies of the largest size in pieces. */
#define IN_PIECES(short_by)                                                    \
	{                                                                      \
		.head = LENGTH_HEAD(LARGEST), .filling = PIECE_BYTES,          \
		.repeats = LARGEST_BYTES / PIECE_BYTES,                        \
		.left_out = (short_by), .piece_len = PIECE_BYTES               \
	}
/* Chunked bodies of the largest size in chunks of 1 MiB. */
#define LARGE_CHUNKS(end)                                                      \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD, .prefix = "100000\r\n",          \
		.filling = 1 << 20, .suffix = "\r\n", .repeats = 32,           \
		.tail = (end)                                                  \
	}
/* Chunked bodies in chunks of 16 bytes. */
#define SMALL_CHUNKS(end)                                                      \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD, .prefix = "10\r\n",              \
		.filling = 16, .suffix = "\r\n", .repeats = 400000,            \
		.tail = (end)                                                  \
	}
#define ONE_BYTE_CHUNKS                                                        \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD, .prefix = "1\r\n", .filling = 1, \
		.suffix = "\r\n", .repeats = 80000                             \
	}
#define ENDLESS_EXTENSION                                                      \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD "1;", .filling = 1024,            \
		.repeats = ENDLESS(1024)                                       \
	}
#define ENDLESS_TRAILER                                                        \
	{                                                                      \
		.head = LIMITED_CHUNKED_HEAD "0\r\n",                          \
		.prefix = "t: ", .filling = 1000, .suffix = "\r\n",            \
		.repeats = ENDLESS(1005)                                       \
	}
#define ENDLESS_HEAD                                                           \
	{                                                                      \
		.head = LIMITED_POST_HEAD, .prefix = "f: ", .filling = 1000,   \
		.suffix = "\r\n", .repeats = ENDLESS(1005)                     \
	}
#define EXPECT_ONLY                                                            \
	{                                                                      \
		.head = LIMITED_POST_HEAD "Expect: 100-continue\r\n"           \
					  "Content-Length: 33554432\r\n\r\n"   \
	}
#define SMALL_CUT_SHORT                                                        \
	{                                                                      \
		.head = LENGTH_HEAD("64000"), .filling = 1000, .repeats = 63   \
	}
/* Requests with bodies one behind the other; answers are not read. */
#define PIPELINED                                                              \
	{                                                                      \
		.prefix = LENGTH_HEAD("60000"), .filling = SMALL_BODY,         \
		.repeats = 200, .no_read = true                                \
	}

/* Requests that wait long, one behind the other; answers are not read. */
#define GET_HEAD                                                               \
	"GET /plain/work-ms-5000/a HTTP/1.1\r\nHost: app.example\r\n"          \
	"X-Deadline-Ms: 9000\r\n"
#define WAITING_REQUESTS                                                       \
	{                                                                      \
		.prefix = GET_HEAD "\r\n", .repeats = ENDLESS(100),            \
		.no_read = true                                                \
	}
#define WAITING_LARGE_HEADS                                                    \
	{                                                                      \
		.prefix = GET_HEAD, .fields = LARGE_HEAD_FIELDS,               \
		.suffix = "\r\n", .repeats = ENDLESS(16000), .no_read = true   \
	}

static const struct crowd_case crowds[] = {
	{ .name = "large bodies in pieces",
	  .callers = 16,
	  .senders = { IN_PIECES(0) } },
	{ .name = "large bodies in pieces that stop short of their end",
	  .callers = 16,
	  .senders = { IN_PIECES(100) },
	  .largest_beside = true },
	{ .name = "bodies in large chunks sent whole",
	  .callers = 16,
	  .senders = { LARGE_CHUNKS("0\r\n\r\n") } },
	{ .name = "bodies in large chunks that stop short of their end",
	  .callers = 16,
	  .senders = { LARGE_CHUNKS("0\r\n") },
	  .largest_beside = true },
	{ .name = "bodies in small chunks sent whole",
	  .callers = 16,
	  .senders = { SMALL_CHUNKS("0\r\n\r\n") } },
	{ .name = "bodies in small chunks that stop short of their end",
	  .callers = 16,
	  .senders = { SMALL_CHUNKS("0\r\n") },
	  .largest_beside = true },
	{ .name = "bodies in chunks of one byte without an end",
	  .callers = 150,
	  .senders = { ONE_BYTE_CHUNKS },
	  .largest_beside = true },
	{ .name = "chunk extensions without an end",
	  .callers = 100,
	  .senders = { ENDLESS_EXTENSION } },
	{ .name = "trailers without an end",
	  .callers = 100,
	  .senders = { ENDLESS_TRAILER } },
	{ .name = "heads without an end",
	  .callers = 100,
	  .senders = { ENDLESS_HEAD } },
	{ .name = "announced bodies that are never sent",
	  .callers = 400,
	  .senders = { EXPECT_ONLY },
	  .largest_beside = true },
	{ .name = "many small bodies that stop short of their end",
	  .callers = 400,
	  .senders = { SMALL_CUT_SHORT },
	  .largest_beside = true },
	{ .name = "pipelined bodies whose answers are not read",
	  .callers = 150,
	  .senders = { PIPELINED } },
	{ .name = "pipelined requests without an end",
	  .callers = 180,
	  .senders = { WAITING_REQUESTS } },
	{ .name = "pipelined requests with large heads",
	  .callers = 180,
	  .senders = { WAITING_LARGE_HEADS } },
	{ .name = "callers of all kinds at once",
	  .callers = 180,
	  .senders = { IN_PIECES(100), LARGE_CHUNKS("0\r\n"), ONE_BYTE_CHUNKS,
		       ENDLESS_EXTENSION, ENDLESS_HEAD, EXPECT_ONLY,
		       SMALL_CUT_SHORT, PIPELINED } },
};

/* The cases to run, and the number of those that have begun; suite_run() passes
 * no context. */
static const struct crowd_case *selected[G_N_ELEMENTS(crowds)];
static size_t begun;

/* Builds a sender's message; free_message() frees it. */
static struct crowd_message build_message(const struct sender *sender)
{
	GString *block = g_string_new(sender->prefix);
	struct crowd_message message = {
		.head = sender->head,
		.heads = sender->head != NULL,
		.tail = sender->tail,
		.piece_len = sender->piece_len,
		.no_read = sender->no_read,
	};
	char *filling = g_strnfill(sender->filling, 'x');
	char *field = g_strnfill(FIELD_BYTES, 'f');
	unsigned int i;

	for (i = 0; i < sender->fields; i++)
		g_string_append_printf(block, "F%u: %s\r\n", i, field);
	g_free(field);
	g_string_append(block, filling);
	if (sender->suffix)
		g_string_append(block, sender->suffix);
	g_free(filling);
	message.block_len = MAX(block->len, 1);
	message.block_bytes = block->len * sender->repeats - sender->left_out;
	message.block = g_string_free(block, FALSE);
	return message;
}

static void free_message(struct crowd_message *message)
{
	g_free((char *)message->block);
}

static void run_case(void)
{
	const struct crowd_case *c = selected[begun++];
	struct crowd_message messages[SENDERS_MAX];
	struct limited_result result = { 0 };
	unsigned int count = 0, i;

	for (i = 0; i < SENDERS_MAX; i++)
		if (c->senders[i].head || c->senders[i].prefix)
			messages[count++] = build_message(&c->senders[i]);
	CU_ASSERT_TRUE_FATAL(limited_start());
	limited_run_crowd(c->name,
			  crowd_create_mixed(limited_rig.entries[0].callers,
					     c->callers, messages, count),
			  c->largest_beside, &result);
	limited_check_result(&result);
	limited_stop();
	for (i = 0; i < count; i++)
		free_message(&messages[i]);
}

/* Whether the command line names a case, or none. */
static bool is_selected(const char *name, int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++)
		if (!strcmp(argv[i], name))
			return true;
	return argc == 1;
}

/* Runs the cases named on the command line; without names, all. */
int main(int argc, char **argv)
{
	struct suite_case cases[G_N_ELEMENTS(crowds) + 1] = { 0 };
	size_t i, count = 0;

	for (i = 0; i < G_N_ELEMENTS(crowds); i++) {
		if (!is_selected(crowds[i].name, argc, argv))
			continue;
		selected[count] = &crowds[i];
		cases[count].name = crowds[i].name;
		cases[count++].run = run_case;
	}
	return suite_run("entry_crowds", cases);
}
