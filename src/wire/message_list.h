/**
 * Lists of messages that a message refers to, as protobuf-c keeps them: an
 * array of pointers and a count.
 */
#ifndef WIRE_MESSAGE_LIST_H
#define WIRE_MESSAGE_LIST_H

#include <stddef.h>

/** Frees a list that was made with GLib, and each message in it, but nothing
 * that these refer to. */
void message_list_free(void *messages, size_t count);

#endif
