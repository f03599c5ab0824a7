#include "wire/socket.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"

/* Maximum number of connections that wait to be accepted. */
#define BACKLOG 512
/* Fewest unanswered retransmissions, or probes of a closed window, of a peer
 * that counts as lost. A live peer may leave out the answer to a probe that
 * follows another one within half a second. */
#define UNANSWERED_MIN 3

static void set_option(int fd, int level, int name, unsigned int value)
{
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static int open_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int socket_listen(const struct sockaddr_in *addr, GError **error)
{
	char text[ADDRESS_TEXT_SIZE];
	int fd = open_socket();
	int on = 1;

	if (fd >= 0 &&
	    !setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) &&
	    !bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) &&
	    !listen(fd, BACKLOG))
		return fd;
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
		    "cannot listen on %s: %s", address_format(addr, text),
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int socket_connect(const struct sockaddr_in *addr)
{
	int fd = open_socket();
	int error;

	if (fd < 0)
		return -1;
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, SOCKET_USER_TIMEOUT_MS);
	if (!connect(fd, (const struct sockaddr *)addr, sizeof(*addr)) ||
	    errno == EINPROGRESS)
		return fd;
	error = errno;
	close(fd);
	errno = error;
	return -1;
}

bool socket_lacks_resource(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	       error == ENOMEM || error == EADDRNOTAVAIL;
}

int socket_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	return fd;
}

bool socket_peer_ended(int fd)
{
	struct pollfd state = { .fd = fd, .events = POLLRDHUP };

	return poll(&state, 1, 0) > 0;
}

size_t socket_unacknowledged(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) < 0 ? 0 : (size_t)bytes;
}

void socket_set_receive_buffer(int fd, size_t bytes)
{
	set_option(fd, SOL_SOCKET, SO_RCVBUF, (unsigned int)bytes);
}

void socket_set_unsent_limit(int fd, size_t bytes)
{
	set_option(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, (unsigned int)bytes);
}

void socket_set_abortive(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	/* On failure, close() doesn't reset the connection. */
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

bool socket_is_reset(int fd)
{
	struct pollfd state = { .fd = fd };

	return poll(&state, 1, 0) > 0;
}

bool socket_peer_lost(int fd, unsigned int timeout_ms)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
		return false;
	return info.tcpi_last_ack_recv >= timeout_ms &&
	       (info.tcpi_unacked ? info.tcpi_retransmits : info.tcpi_probes) >=
		       UNANSWERED_MIN;
}

void socket_detect_loss(int fd, const struct socket_loss *loss)
{
	if (loss->user_timeout_ms)
		set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			   loss->user_timeout_ms);
	if (!loss->keepalive_s)
		return;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, loss->keepalive_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, loss->keepalive_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, loss->probes);
}

bool socket_address(int fd, struct sockaddr_in *addr)
{
	socklen_t len = sizeof(*addr);

	return !getsockname(fd, (struct sockaddr *)addr, &len);
}

/* Converts a result of recv() or send() that is 0 or negative. */
static ssize_t io_status(ssize_t n)
{
	if (n == 0)
		return SOCKET_CLOSED;
	if (errno == EAGAIN || errno == EINTR)
		return SOCKET_AGAIN;
	return SOCKET_CLOSED;
}

ssize_t socket_read(int fd, void *buf, size_t size)
{
	ssize_t n = recv(fd, buf, size, 0);

	return n > 0 ? n : io_status(n);
}

ssize_t socket_peek(int fd, void *buf, size_t size)
{
	ssize_t n = recv(fd, buf, size, MSG_PEEK);

	return n > 0 ? n : io_status(n);
}

ssize_t socket_write(int fd, const void *buf, size_t size)
{
	ssize_t n = send(fd, buf, size, MSG_NOSIGNAL);

	return n > 0 ? n : io_status(n);
}
