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

static void log_failure(int fd)
{
	kb_log(KB_EVENT_SOCKET_OPTION_FAILED, "fd=%d error=%s", fd,
	       strerror(errno));
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
		log_failure(fd);
}

void kb_socket_reset_on_close(int fd)
{
	static const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)))
		log_failure(fd);
}
