#include "loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
void on_read(struct bufferevent *, void *ctx)
{
	++*static_cast<int *>(ctx);
}

/* Ends a connection one of whose callbacks is due, as a stop can do it. */
struct DueCallback {
	int sockets[2];
	int calls = 0;
	struct event_base *loop = event_base_new();

	DueCallback()
	{
		struct bufferevent *stream;

		EXPECT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM, 0, sockets));
		evutil_make_socket_nonblocking(sockets[0]);
		stream = bufferevent_socket_new(
			loop, sockets[0],
			BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
		bufferevent_setcb(stream, on_read, nullptr, nullptr, &calls);
		bufferevent_enable(stream, EV_READ);
		bufferevent_trigger(stream, EV_READ,
				    BEV_TRIG_IGNORE_WATERMARKS);
		bufferevent_free(stream);
	}

	~DueCallback()
	{
		close(sockets[1]);
	}
};
} // namespace

TEST(Loop, ConnectionsFreedWithACallbackDueAreClosedWithTheLoop)
{
	DueCallback due;
	char byte;

	kb_loop_free(due.loop);
	EXPECT_EQ(0, recv(due.sockets[1], &byte, 1, MSG_DONTWAIT))
		<< "the socket is still open";
	EXPECT_EQ(0, due.calls) << "a connection that was freed was told news";
}

TEST(Loop, NoLoopIsNoFault)
{
	kb_loop_free(nullptr);
}
