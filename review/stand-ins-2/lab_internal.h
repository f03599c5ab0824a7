/** What the files of the lab share. */
#ifndef LAB_INTERNAL_H
#define LAB_INTERNAL_H

#include "lab.h"

/** Ends all daemons and removes their files. */
void daemons_stop(void);
/** Handles the messages of one connection. */
typedef void (*serve_fn)(void *ctx, struct stream *stream);
/** Listens on a free loopback port; each connection gets a thread. */
void net_serve(struct sockaddr_in *address, serve_fn serve, void *ctx);

#endif
