#include "socket_options.h"

#include "log.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

static int set_option(int fd, int level, int name, int value)
{
	return setsockopt(fd, level, name, &value, sizeof(value));
}

void kb_socket_set_options(int fd, const kb_keepalive_t *keepalive)
{
	int failed;

	if (fd < 0)
		return;
	failed = set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	if (!failed && keepalive)
		failed = set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1) ||
			 set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE,
				    keepalive->idle_s) ||
			 set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
				    keepalive->interval_s) ||
			 set_option(fd, IPPROTO_TCP, TCP_KEEPCNT,
				    keepalive->probes);
	if (failed)
		kb_log(KB_EVENT_SOCKET_OPTION_FAILED, "fd=%d error=%s", fd,
		       strerror(errno));
}
