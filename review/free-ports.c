/*
 * free-ports COUNT: prints that many ports which are free for TCP and UDP on
 * loopback addresses, all different.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define COUNT_MAX 64

/* Binds a socket to a port of all loopback addresses' host; returns the port,
 * or 0. */
static int bind_port(int type, int port)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, type, 0);

	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((unsigned short)port);
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) < 0)
		return 0;
	return ntohs(address.sin_port);
}

int main(int argc, char **argv)
{
	long count = argc > 1 ? strtol(argv[1], NULL, 10) : 1;
	int tries;

	if (count > COUNT_MAX)
		return EXIT_FAILURE;
	/* The sockets stay open until the end, so that all ports differ. */
	for (tries = 0; count > 0 && tries < 2 * COUNT_MAX; tries++) {
		int port = bind_port(SOCK_STREAM, 0);

		if (!port || !bind_port(SOCK_DGRAM, port))
			continue;
		printf("%d\n", port);
		count--;
	}
	return count ? EXIT_FAILURE : EXIT_SUCCESS;
}
