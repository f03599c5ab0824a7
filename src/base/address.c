#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>

#define PORT_MAX 65535

bool address_parse(struct str text, struct sockaddr_in *addr)
{
	char buf[ADDRESS_TEXT_SIZE];
	char *colon, *end;
	guint64 port;

	if (!text.len || text.len >= sizeof(buf))
		return false;
	memcpy(buf, text.data, text.len);
	buf[text.len] = '\0';
	colon = strchr(buf, ':');
	if (!colon || !g_ascii_isdigit(colon[1]))
		return false;
	*colon = '\0';
	port = g_ascii_strtoull(colon + 1, &end, 10);
	if (*end || port > PORT_MAX)
		return false;
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, buf, &addr->sin_addr) == 1;
}

char *address_format(const struct sockaddr_in *addr, char *buf)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof(ip));
	g_snprintf(buf, ADDRESS_TEXT_SIZE, "%s:%u", ip, ntohs(addr->sin_port));
	return buf;
}
