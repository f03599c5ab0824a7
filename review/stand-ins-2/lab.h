/**
 * A small deployment on loopback addresses, for the cases of the second
 * review: the platform's store, targets and clients as threads of one process,
 * and auburn-entry daemons as separate processes.
 *
 * Clients, targets and the store only do what the users' pages allow. All times
 * are in seconds since the start of the program.
 */
#ifndef LAB_H
#define LAB_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/types.h>

/* --- record --- */

/** Opens record.txt in a folder; reads the variable TROUBLE. */
void lab_begin(const char *folder);
/** Whether the disruption is played: false with TROUBLE=0. */
bool lab_trouble(void);
double lab_now(void);
void lab_sleep(double s);
/** Writes a line with the time to the record. */
void lab_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Records that the rule was broken. */
void lab_broken(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Ends the program with 2: the case couldn't run. */
void lab_cannot_run(const char *format, ...)
	G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;
/** Ends the daemons; returns 1 if the rule was broken, else 0. */
int lab_end(void);

/* --- HTTP --- */

/** A connection with the bytes that were read ahead. */
struct stream {
	int fd;
	GString *in;
};

/** A request or an answer. */
struct message {
	/** Start line and header fields. */
	GString *head;
	GString *body;
	/** Status of an answer. */
	int status;
};

int net_listen(struct sockaddr_in *address);
int net_connect(const char *address);
void net_format(const struct sockaddr_in *address, char text[32]);
/** Writes all bytes; false if the connection is broken. */
bool net_write(int fd, const GString *bytes);
void stream_init(struct stream *stream, int fd);
/** Closes the connection; with reset, by a TCP reset. */
void stream_close(struct stream *stream, bool reset);
/** Whether the other side closed the connection. */
bool stream_is_closed(const struct stream *stream);
/** Reads a whole message; false when the connection ended before. */
bool message_read(struct stream *stream, struct message *message);
void message_clear(struct message *message);
/** Returns a header field's value, or ""; to be freed. */
char *message_field(const struct message *message, const char *name);

/* --- store --- */

void store_start(void);
const char *store_address(void);
void store_put(const char *table, const char *key, const char *json);
void store_remove(const char *table, const char *key);

/* --- targets --- */

#define LAB_KEYS 65536
#define LAB_SLOTS 3

struct target;

/** Starts a target and its heartbeats. */
struct target *target_start(const char *id, const char *service,
			    const char *zone, bool keyed);
const char *target_id(const struct target *target);
const char *target_address(const struct target *target);
gint64 target_born(const struct target *target);
/** Partitions it from the store: no more heartbeats, and its entry is removed
 * after three intervals. Requests still reach it. */
void target_cut(struct target *target);
/** Returns the target that the request of this id reached last, or NULL. */
struct target *target_of_request(const char *id);
/** Times that a target began to run the request of this id. */
unsigned int runs_of_request(const char *id);
/* --- daemons --- */

struct daemon;

/** Writes the configuration: routes /plain/ (safe), /once/ (unsafe) of the
 * service "plain", and /keyed/ (safe) of the service "keyed". */
void config_put(void);
/** Starts COUNT daemons, each in its own zone z1, z2, ..., and waits until all
 * are ready and serve. */
void daemons_start(unsigned int count, bool keyed);
struct daemon *daemon_at(unsigned int index);
const char *daemon_callers(const struct daemon *daemon);
/** Returns the daemon that leads. */
struct daemon *daemon_leader(void);
void daemon_signal(struct daemon *daemon, int signal);
/** Whether the process has ended; sets how, as text for the record. */
bool daemon_ended(struct daemon *daemon, char how[64]);

/* --- clients --- */

/** Sends a request. key below 0: none. extra: more header lines or "". */
bool client_send(struct stream *stream, const char *method, const char *path,
		 const char *id, int key, const char *extra);
/** Sends a GET on a new connection and waits for the answer; returns its
 * status, or 0. body: set to the answer's body, to be freed; or NULL. */
int client_get(const struct daemon *daemon, const char *path, const char *id,
	       int key, char **body);

#endif
