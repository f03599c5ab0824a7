#include "wire/message_list.h"

#include <glib.h>

void message_list_free(void *messages, size_t count)
{
	void **list = messages;
	size_t i;

	for (i = 0; i < count; i++)
		g_free(list[i]);
	g_free(messages);
}
