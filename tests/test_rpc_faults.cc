#include "raw_client.h"
#include "rpc_fixture.h"

/* Replaces the 32-bit word at `offset` of a call. */
static std::string with_word(std::string data, size_t offset, uint32_t value)
{
	uint32_t word = htonl(value);

	memcpy(&data[offset], &word, sizeof(word));
	return data;
}

enum {
	PROGRAM_OFFSET = 16,
	VERSION_OFFSET = 20,
	GROUP_LENGTH_OFFSET = 44,
};

TEST_F(Rpc, MalformedCallsAreRejectedOrDisconnected)
{
	const std::string call = call_of(9);
	struct {
		const char *name;
		std::string data;
		/* Status of the reply, or -1 if the connection is closed. */
		int status;
	} cases[] = {
		{ "unknown version", with_word(call, VERSION_OFFSET, 99),
		  PROG_MISMATCH },
		{ "unknown program", with_word(call, PROGRAM_OFFSET, 99),
		  PROG_UNAVAIL },
		{ "text beyond the message",
		  with_word(call, GROUP_LENGTH_OFFSET, 60), GARBAGE_ARGS },
		{ "text beyond its limit",
		  with_word(call, GROUP_LENGTH_OFFSET, 1 << 30), GARBAGE_ARGS },
		{ "no header", std::string("\x80\0\0\0", 4), -1 },
		{ "cut header", with_word(call.substr(0, 16), 0, 0x8000000c),
		  -1 },
		{ "oversized", with_word(call, 0, 0xffffffff), -1 },
		{ "fragment", with_word(call, 0, 24), -1 },
		{ "a reply", reply_to(9, 1), -1 },
		{ "text", "GET / HTTP/1.1\r\n\r\n", -1 },
	};
	uint64_t malformed = 0;

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		RawClient caller(loop.base, port);
		ViewCall good;

		caller.send(c.data);
		loop.run_until([&] {
			return caller.closed || !caller.received.empty();
		});
		EXPECT_EQ(c.status < 0, caller.closed);
		if (c.status >= 0) {
			ASSERT_LE(28u, caller.received.size());
			EXPECT_EQ(c.status, caller.received[27]);
		}
		if (c.status < 0 || c.status == GARBAGE_ARGS)
			malformed++;
		EXPECT_EQ(malformed, server.counters.malformed);
		ASSERT_EQ(KB_OK, good.start(&peer));
		expect_requests(1);
		reply(0, 1);
		expect_end(good);
		EXPECT_EQ(KB_OK, good.result);
	}
	EXPECT_EQ(1u, server.counters.unknown_version);
	EXPECT_EQ(sizeof(cases) / sizeof(cases[0]), server.counters.requests);
}

TEST_F(Rpc, SlowAndTruncatedCallsDoNotAffectOthers)
{
	const std::string call = call_of(9);
	RawClient slow(loop.base, port);
	std::unique_ptr<RawClient> cut(new RawClient(loop.base, port));

	cut->send(call.substr(0, call.size() - 1));
	for (char c : call) {
		EXPECT_TRUE(requests.empty());
		slow.send(std::string(1, c));
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	}
	expect_requests(1);
	cut.reset();
	reply(0, 5);
	loop.run_until([&] { return !slow.received.empty(); });
	EXPECT_EQ(1u, server.counters.requests);
}

TEST_F(Rpc, MalformedRepliesAreProtocolErrors)
{
	const std::string good = reply_to(1, 5);
	struct {
		const char *name;
		std::string data;
	} cases[] = {
		{ "text", "HTTP/1.1 400 Bad Request\r\n\r\n" },
		{ "oversized", with_word(good, 0, 0xffffffff) },
		{ "fragment", with_word(good, 0, 24) },
		{ "no header", std::string("\x80\0\0\0", 4) },
		{ "a call", call_of(1) },
		{ "result cut short",
		  with_word(good.substr(0, good.size() - 4), 0,
			    0x80000000 | (uint32_t)(good.size() - 8)) },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		RawServer raw(loop.base);
		ViewCall call;

		kb_rpc_peer_finish(&peer);
		connect(raw.port);
		ASSERT_EQ(KB_OK, call.start(&peer));
		loop.run_until([&] { return !raw.received.empty(); });
		raw.send(c.data);
		expect_end(call);
		EXPECT_EQ(KB_ERR_PROTOCOL, call.result);
	}
}

TEST_F(Rpc, TruncatedReplyDoesNotEndTheCall)
{
	const std::string good = reply_to(1, 5);
	RawServer raw(loop.base);
	ViewCall call;

	connect(raw.port);
	ASSERT_EQ(KB_OK, call.start(&peer));
	loop.run_until([&] { return !raw.received.empty(); });
	raw.send(good.substr(0, good.size() - 1));
	for (int i = 0; i < 5; i++)
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	EXPECT_EQ(0, call.ended);
	raw.hang_up();
	expect_end(call);
	EXPECT_EQ(KB_ERR_CLOSED, call.result);
}

/* Resets the peer in the loop iteration in which it connects. */
static void reset_peer(evutil_socket_t, short, void *ctx)
{
	kb_rpc_peer_reset(static_cast<kb_rpc_peer_t *>(ctx));
}

TEST_F(Rpc, SentCallIsNeverReportedAsUnreachable)
{
	RawServer server(loop.base);
	kb_rpc_peer_t peer;
	ViewCall call;
	const struct timeval at_once = { 0, 0 };
	struct event *timer;

	ASSERT_EQ(KB_OK, kb_rpc_peer_init(&peer, loop.base, KB_STR("127.0.0.1"),
					  server.port, 4));
	timer = evtimer_new(loop.base, reset_peer, &peer);
	ASSERT_EQ(KB_OK, call.start(&peer));
	evtimer_add(timer, &at_once);
	loop.run_until([&] { return call.ended && server.closed; });
	/* The call was either written before the reset or not at all. */
	EXPECT_EQ(server.received.empty(), call.result == KB_ERR_UNREACHABLE);
	EXPECT_EQ(1, call.ended);
	event_free(timer);
	kb_rpc_peer_finish(&peer);
}

/* A port whose listen backlog is full, so that new connections do not open. */
class FullPort
{
      public:
	uint16_t port = 0;

	FullPort()
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		EXPECT_EQ(0, bind(listener, (struct sockaddr *)&address, len));
		EXPECT_EQ(0, listen(listener, 0));
		getsockname(listener, (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
		for (int &fd : fds) {
			fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
			connect(fd, (struct sockaddr *)&address, len);
		}
	}

	~FullPort()
	{
		for (int fd : fds)
			close(fd);
		close(listener);
	}

      private:
	int listener;
	int fds[3];
};

TEST_F(Rpc, UnsentCallThatTimedOutIsNeverSentLater)
{
	FullPort full;
	kb_rpc_peer_t peer;
	ViewCall call;

	ASSERT_EQ(KB_OK, kb_rpc_peer_init(&peer, loop.base, KB_STR("127.0.0.1"),
					  full.port, 8));
	ASSERT_EQ(KB_OK, call.start(&peer, "race-1", 30 * KB_NS_PER_MS));
	loop.run_until([&] { return call.ended; });
	EXPECT_EQ(KB_ERR_UNREACHABLE, call.result);
	EXPECT_EQ(nullptr, peer.stream) << "unsent bytes are still buffered";
	kb_rpc_peer_finish(&peer);
}
