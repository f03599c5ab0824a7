#include "http/proof.h"

#include <glib.h>
#include <sys/socket.h>

struct proof {
	struct connection_ends ends;
	char *boot;
};

struct proofs {
	/* Socket -> struct proof *. */
	GHashTable *by_fd;
};

static void proof_free(void *data)
{
	struct proof *proof = data;

	g_free(proof->boot);
	g_free(proof);
}

struct proofs *proofs_create(void)
{
	struct proofs *proofs = g_new0(struct proofs, 1);

	proofs->by_fd = g_hash_table_new_full(NULL, NULL, NULL, proof_free);
	return proofs;
}

void proofs_destroy(struct proofs *proofs)
{
	if (!proofs)
		return;
	g_hash_table_destroy(proofs->by_fd);
	g_free(proofs);
}

static bool read_ends(int fd, struct connection_ends *ends)
{
	socklen_t local = sizeof(ends->local);
	socklen_t remote = sizeof(ends->remote);

	return !getsockname(fd, (struct sockaddr *)&ends->local, &local) &&
	       !getpeername(fd, (struct sockaddr *)&ends->remote, &remote);
}

void proofs_add(struct proofs *proofs, int fd, struct str boot)
{
	struct proof *proof = g_new0(struct proof, 1);

	proofs_remove(proofs, fd);
	if (!read_ends(fd, &proof->ends)) {
		proof_free(proof);
		return;
	}
	proof->boot = str_dup(boot);
	g_hash_table_insert(proofs->by_fd, GINT_TO_POINTER(fd), proof);
}

void proofs_remove(struct proofs *proofs, int fd)
{
	g_hash_table_remove(proofs->by_fd, GINT_TO_POINTER(fd));
}

static bool same_end(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static bool proves(const struct proof *proof, const struct sockaddr_in *remote,
		   struct str boot)
{
	return same_end(&proof->ends.remote, remote) &&
	       str_equal(str_from(proof->boot), boot);
}

bool proofs_hold(const struct proofs *proofs,
		 const struct connection_ends *ends, struct str boot)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proofs->by_fd);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct proof *proof = value;

		if (same_end(&proof->ends.local, &ends->local) &&
		    proves(proof, &ends->remote, boot))
			return true;
	}
	return false;
}

bool proofs_any(const struct proofs *proofs, const struct sockaddr_in *remote,
		struct str boot)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proofs->by_fd);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (proves(value, remote, boot))
			return true;
	return false;
}
