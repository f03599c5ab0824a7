/* Preloaded into entry daemons by the soak test: loses datagrams between VMs,
 * like a link that drops packets. The first two bytes of the file named by
 * SOAK_LOSSES are the shares to lose of those that arrive and of those that are
 * sent, in percent. */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

static const volatile unsigned char *percents;
static ssize_t (*real_recv)(int fd, void *buf, size_t size, int flags);
static ssize_t (*real_sendto)(int fd, const void *buf, size_t size, int flags,
			      const struct sockaddr *to, socklen_t len);

__attribute__((constructor)) static void open_losses(void)
{
	const char *path = getenv("SOAK_LOSSES");
	int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
	void *map;

	*(void **)&real_recv = dlsym(RTLD_NEXT, "recv");
	*(void **)&real_sendto = dlsym(RTLD_NEXT, "sendto");
	if (fd < 0)
		return;
	map = mmap(NULL, 2, PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	if (map != MAP_FAILED)
		percents = map;
}

static int is_datagram_socket(int fd)
{
	int type = 0;
	socklen_t len = sizeof(type);

	return !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &len) &&
	       type == SOCK_DGRAM;
}

/* Whether a datagram that arrives (0) or is sent (1) gets lost. */
static int is_lost(int direction)
{
	return percents && random() % 100 < percents[direction];
}

ssize_t recv(int fd, void *buf, size_t size, int flags)
{
	ssize_t n;

	do {
		n = real_recv(fd, buf, size, flags);
	} while (n >= 0 && is_lost(0) && is_datagram_socket(fd));
	return n;
}

ssize_t sendto(int fd, const void *buf, size_t size, int flags,
	       const struct sockaddr *to, socklen_t len)
{
	if (is_lost(1) && is_datagram_socket(fd))
		return (ssize_t)size;
	return real_sendto(fd, buf, size, flags, to, len);
}
