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

/*
 * Frees a connection with a deferred callback pending, as can happen at
 * shutdown. libevent then closes the socket only after the loop has run again.
 */
struct PendingCallback {
	int sockets[2];
	int calls = 0;
	struct event_base *loop = event_base_new();

	PendingCallback()
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

	~PendingCallback()
	{
		close(sockets[1]);
	}
};
} // namespace

TEST(Loop, ConnectionsFreedWithAPendingCallbackAreClosed)
{
	PendingCallback pending;
	char byte;

	kb_loop_free(pending.loop);
	EXPECT_EQ(0, recv(pending.sockets[1], &byte, 1, MSG_DONTWAIT))
		<< "the socket is still open";
	EXPECT_EQ(0, pending.calls) << "a freed connection's callback ran";
}

TEST(Loop, NullIsAllowed)
{
	kb_loop_free(nullptr);
}
