#include "target_link.h"

#include "fake_server.h"

#include <event2/listener.h>
#include <gtest/gtest.h>
#include <string>

namespace
{

/* Accepts connections, records what it is sent until a line end, and closes. */
class LineServer
{
      public:
	std::string received;
	uint16_t port;

	explicit LineServer(Loop *loop)
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = evconnlistener_new_bind(
			loop->base, on_accept, this, LEV_OPT_CLOSE_ON_FREE, 1,
			(struct sockaddr *)&address, sizeof(address));
		getsockname(evconnlistener_get_fd(listener),
			    (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
	}

	~LineServer()
	{
		evconnlistener_free(listener);
	}

      private:
	struct evconnlistener *listener;

	static void on_accept(struct evconnlistener *listener,
			      evutil_socket_t fd, struct sockaddr *, int,
			      void *ctx)
	{
		struct bufferevent *stream = bufferevent_socket_new(
			evconnlistener_get_base(listener), fd,
			BEV_OPT_CLOSE_ON_FREE);

		bufferevent_setcb(stream, on_read, nullptr, nullptr, ctx);
		bufferevent_enable(stream, EV_READ);
	}

	static void on_read(struct bufferevent *stream, void *ctx)
	{
		std::string &received =
			static_cast<LineServer *>(ctx)->received;
		char data[256];

		received.append(data,
				bufferevent_read(stream, data, sizeof(data)));
		if (received.find('\n') != std::string::npos)
			bufferevent_free(stream);
	}
};

} // namespace

TEST(TargetLink, StartNamesTheTeamOrElseTheHost)
{
	struct {
		const char *team, *start;
	} cases[] = {
		{ "", "START g host t-1\r\n" },
		{ "red", "START g red t-1\r\n" },
	};
	static const kb_link_events_t events = {
		[](void *ctx, kb_result_t result, kb_point_t) {
			EXPECT_NE(KB_OK, result);
			*static_cast<bool *>(ctx) = true;
		},
		[](void *, const kb_reply_t *) {},
		[](void *, kb_result_t) {},
	};

	for (const auto &c : cases) {
		Loop loop;
		LineServer server(&loop);
		bool ended = false;
		kb_target_connector_t connector;
		kb_link_place_t place{};
		kb_name_t host;

		kb_name_set(&host, KB_STR("host"));
		kb_name_set(&place.group, KB_STR("g"));
		kb_name_set(&place.target, KB_STR("t-1"));
		kb_name_set(&place.team, kb_str_from(c.team));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = server.port;
		kb_target_connector_init(&connector, loop.base, &host);
		ASSERT_NE(nullptr, kb_link_open(&connector.base, &place,
						&events, &ended));
		loop.run_until([&] { return ended; });
		EXPECT_EQ(c.start, server.received);
	}
}
