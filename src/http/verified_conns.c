#include "http/verified_conns.h"

#include <glib.h>
#include <sys/socket.h>

/* The record of one connection. */
struct verified_conn {
	struct connection_ends ends;
	/* Id of the incarnation that answered. */
	char *boot;
};

struct verified_conns {
	/* Socket descriptor -> struct verified_conn *. */
	GHashTable *by_fd;
};

static void verified_conn_free(void *data)
{
	struct verified_conn *verified_conn = data;

	g_free(verified_conn->boot);
	g_free(verified_conn);
}

struct verified_conns *verified_conns_create(void)
{
	struct verified_conns *verified_conns =
		g_new0(struct verified_conns, 1);

	verified_conns->by_fd =
		g_hash_table_new_full(NULL, NULL, NULL, verified_conn_free);
	return verified_conns;
}

void verified_conns_destroy(struct verified_conns *verified_conns)
{
	if (!verified_conns)
		return;
	g_hash_table_destroy(verified_conns->by_fd);
	g_free(verified_conns);
}

/* Reads a socket's local and remote address; false if it isn't connected. */
static bool read_ends(int fd, struct connection_ends *ends)
{
	socklen_t local = sizeof(ends->local);
	socklen_t remote = sizeof(ends->remote);

	return !getsockname(fd, (struct sockaddr *)&ends->local, &local) &&
	       !getpeername(fd, (struct sockaddr *)&ends->remote, &remote);
}

void verified_conns_add(struct verified_conns *verified_conns, int fd,
			struct str boot)
{
	struct verified_conn *verified_conn = g_new0(struct verified_conn, 1);

	verified_conns_remove(verified_conns, fd);
	if (!read_ends(fd, &verified_conn->ends)) {
		verified_conn_free(verified_conn);
		return;
	}
	verified_conn->boot = str_dup(boot);
	g_hash_table_insert(verified_conns->by_fd, GINT_TO_POINTER(fd),
			    verified_conn);
}

void verified_conns_remove(struct verified_conns *verified_conns, int fd)
{
	g_hash_table_remove(verified_conns->by_fd, GINT_TO_POINTER(fd));
}

static bool same_end(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static bool conn_matches(const struct verified_conn *verified_conn,
			 const struct sockaddr_in *remote, struct str boot)
{
	return same_end(&verified_conn->ends.remote, remote) &&
	       str_equal(str_from(verified_conn->boot), boot);
}

bool verified_conns_match(const struct verified_conns *verified_conns,
			  const struct connection_ends *ends, struct str boot)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, verified_conns->by_fd);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct verified_conn *verified_conn = value;

		if (same_end(&verified_conn->ends.local, &ends->local) &&
		    conn_matches(verified_conn, &ends->remote, boot))
			return true;
	}
	return false;
}

bool verified_conns_any(const struct verified_conns *verified_conns,
			const struct sockaddr_in *remote, struct str boot)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, verified_conns->by_fd);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (conn_matches(value, remote, boot))
			return true;
	return false;
}
