#include "target_link.h"

#include "fake_server.h"

#include <event2/listener.h>
#include <gtest/gtest.h>
#include <deque>
#include <string>
#include <vector>

namespace
{

/*
 * Accepts connections, records what it is sent, and answers each line with the
 * next reply. It closes the connection when it has none left.
 */
class LineServer
{
      public:
	std::string received;
	std::deque<std::string> replies;
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
		if (stream)
			bufferevent_free(stream);
		evconnlistener_free(listener);
	}

      private:
	struct evconnlistener *listener;
	struct bufferevent *stream = nullptr;

	static void on_accept(struct evconnlistener *listener,
			      evutil_socket_t fd, struct sockaddr *, int,
			      void *ctx)
	{
		auto *server = static_cast<LineServer *>(ctx);

		server->stream = bufferevent_socket_new(
			evconnlistener_get_base(listener), fd,
			BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(server->stream, on_read, nullptr, nullptr,
				  ctx);
		bufferevent_enable(server->stream, EV_READ | EV_WRITE);
	}

	static void on_read(struct bufferevent *stream, void *ctx)
	{
		auto *server = static_cast<LineServer *>(ctx);
		char data[256];

		server->received.append(
			data, bufferevent_read(stream, data, sizeof(data)));
		if (server->received.compare(server->received.size() - 2, 2,
					     "\r\n"))
			return;
		if (server->replies.empty()) {
			bufferevent_free(stream);
			server->stream = nullptr;
			return;
		}
		std::string reply = server->replies.front();

		server->replies.pop_front();
		bufferevent_write(stream, reply.data(), reply.size());
	}
};

/* A link to a LineServer that is open, with what it has reported. */
class OpenLink
{
      public:
	Loop loop;
	LineServer server{ &loop };
	kb_link_t *link = nullptr;
	bool opened = false;
	kb_result_t lost = KB_OK;
	std::vector<std::vector<std::string>> answers;

	OpenLink()
	{
		kb_link_place_t place{};
		kb_name_t host;

		server.replies = { "READY I -\r\n" };
		kb_name_set(&host, KB_STR("host"));
		kb_name_set(&place.group, KB_STR("g"));
		kb_name_set(&place.target, KB_STR("t-1"));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = server.port;
		kb_target_connector_init(&connector, loop.base, &host);
		link = kb_link_open(&connector.base, &place, &events, this);
		EXPECT_NE(nullptr, link);
		loop.run_until([&] { return opened; });
	}

	~OpenLink()
	{
		if (link)
			kb_link_close(link);
	}

	kb_result_t send(kb_link_command_kind_t kind, const char *body)
	{
		kb_link_command_t command{};

		command.kind = kind;
		command.id = KB_STR("i");
		command.name = KB_STR("");
		command.body = kb_str_from(body);
		return kb_link_send(link, &command);
	}

	/* Sends a read; `reply` is what the target answers. */
	void read(const std::string &reply)
	{
		size_t count = answers.size();

		server.replies.push_back(reply);
		ASSERT_EQ(KB_OK, send(KB_LINK_COMMAND_READ, "item"));
		loop.run_until([&] { return answers.size() > count || lost; });
	}

      private:
	kb_target_connector_t connector;

	static const kb_link_events_t events;

	static void on_opened(void *ctx, kb_result_t result, kb_point_t)
	{
		EXPECT_EQ(KB_OK, result);
		static_cast<OpenLink *>(ctx)->opened = true;
	}

	/* Records the rows and the signature. */
	static void on_answered(void *ctx, const kb_reply_t *reply)
	{
		std::vector<std::string> answer;

		for (size_t i = 0; i < reply->row_count; i++) {
			kb_str_t row = kb_text_str(reply->rows[i]);

			answer.emplace_back(row.data, row.len);
		}
		answer.emplace_back(reply->signature.data,
				    reply->signature.len);
		static_cast<OpenLink *>(ctx)->answers.push_back(answer);
	}

	static void on_lost(void *ctx, kb_result_t result)
	{
		auto *self = static_cast<OpenLink *>(ctx);

		self->lost = result;
		self->link = nullptr;
	}
};

const kb_link_events_t OpenLink::events = { on_opened, on_answered, on_lost };

using Answer = std::vector<std::string>;

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

/* Guards against a row with a line feed whose rest was another answer. */
TEST(TargetLink, ALineFeedInARowBelongsToTheRow)
{
	OpenLink target;

	target.read("ROW open\nDONE x\nREADY I 1.1\r\nDONE s\r\n"
		    "READY I 1.1\r\n");
	target.read("ROW paid\r\nDONE t\r\nREADY I 1.1\r\n");
	EXPECT_EQ(KB_OK, target.lost);
	ASSERT_EQ(2u, target.answers.size());
	EXPECT_EQ((Answer{ "open\nDONE x\nREADY I 1.1", "s" }),
		  target.answers[0]);
	EXPECT_EQ((Answer{ "paid", "t" }), target.answers[1]);
}

/* Guards against an answer that is given to the next client of a connection. */
TEST(TargetLink, DataAfterReadyEndsTheConnection)
{
	for (const char *extra : { "ROW paid\r\n", "READY I 1.1\r\n", "\n" }) {
		OpenLink target;

		target.read("ROW open\r\nDONE s\r\nREADY I 1.1\r\n" +
			    std::string(extra));
		EXPECT_EQ(KB_ERR_PROTOCOL, target.lost);
		EXPECT_EQ(0u, target.answers.size());
	}
}

/* Guards against a name that begins a command of its own. */
TEST(TargetLink, ACommandThatWouldBeSeveralIsNotSent)
{
	OpenLink target;

	EXPECT_EQ(KB_ERR_INVALID,
		  target.send(KB_LINK_COMMAND_WRITE, "a x\r\nQUERY j COMMIT"));
	target.read("DONE s\r\nREADY I 1.1\r\n");
	EXPECT_EQ("START g host t-1\r\nQUERY i READ item\r\n",
		  target.server.received);
}
