#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Number of unanswered TCP keep-alive probes that end the connection. */
#define KEEPALIVE_PROBES 1

void socket_set_abortive(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	/* On failure, close() doesn't reset the connection. */
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void set_option(int fd, int level, int name, int value)
{
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

void socket_set_timeouts(int fd, unsigned int user_timeout_ms,
			 unsigned int keepalive_s)
{
	if (user_timeout_ms)
		set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			   (int)user_timeout_ms);
	if (!keepalive_s)
		return;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, (int)keepalive_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, (int)keepalive_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}
