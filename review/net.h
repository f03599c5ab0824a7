/**
 * Blocking HTTP/1.1 with small messages, and a record of what happens, for the
 * stand-ins of the review.
 */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

/** Largest message, with its head. */
#define MESSAGE_BYTES 8192
/** Time after which connections give up to receive, in seconds. */
#define RECEIVE_TIMEOUT_S 5

/** A message's head and body, as texts. */
struct message {
	char head[MESSAGE_BYTES];
	char body[MESSAGE_BYTES];
};

/** Returns the time since the first call, in seconds. */
double now_s(void);
/** Returns the Unix time in milliseconds. */
long long unix_ms(void);
void sleep_s(double seconds);

/** Prints one line to standard output, with the time. */
__attribute__((format(printf, 1, 2))) void record(const char *format, ...);
/** Ends the process with status 2: the test can't run. */
__attribute__((noreturn)) void fail(const char *what);
/** Runs a function on a thread of its own. */
void start_thread(void *(*fn)(void *), void *arg);

/** Parses "IPv4:port"; fails if it is malformed. */
void parse_address(const char *text, struct sockaddr_in *address);
/** Opens a connection; returns its descriptor, or -1. */
int connect_to(const struct sockaddr_in *address);
/** Listens on a port of 127.0.0.1, 0: any, and writes it to address. */
int listen_on(struct sockaddr_in *address);
bool send_all(int fd, const char *data, size_t len);

/** Copies the value of a header field to buf, "" when it is missing. Returns
 * buf. */
const char *field(const char *head, const char *name, char *buf, size_t size);
/**
 * Reads one message that has a Content-Length, or no body.
 *
 * @param in bytes received so far, MESSAGE_BYTES long
 * @param len their number
 * @return false when the connection ended
 */
bool read_message(int fd, char *in, size_t *len, struct message *message);

/** Has standin-site carry out a control call; fails if it doesn't answer. */
void control(const struct sockaddr_in *store, const char *call,
	     const char *body);

#endif
