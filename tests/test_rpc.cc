#include "rpc_fixture.h"

TEST_F(Rpc, RepliesMatchTheirCallsInAnyOrder)
{
	ViewCall calls[3];
	const char *names[] = { "a", "b", "c" };

	for (int i = 0; i < 3; i++)
		ASSERT_EQ(KB_OK, calls[i].start(&peer, names[i]));
	EXPECT_EQ(0, calls[0].ended) << "must not end within the call";
	expect_requests(3);
	while (!requests.empty())
		reply(requests.size() - 1, (uint64_t)groups.back()[0]);
	for (int i = 0; i < 3; i++) {
		expect_end(calls[i]);
		EXPECT_EQ(KB_OK, calls[i].result);
		EXPECT_EQ((uint64_t)names[i][0], calls[i].term);
	}
	EXPECT_EQ(3u, peer.counters.calls);
	EXPECT_EQ(0u, peer.counters.late_replies);
}

TEST_F(Rpc, LateReplyIsDroppedAndCounted)
{
	ViewCall late, next;

	ASSERT_EQ(KB_OK, late.start(&peer, "late", 100 * KB_NS_PER_MS));
	expect_requests(1);
	expect_end(late);
	EXPECT_EQ(KB_ERR_TIMEOUT, late.result);
	ASSERT_EQ(KB_OK, next.start(&peer, "next"));
	expect_requests(2);
	reply(0, 1);
	reply(0, 2);
	expect_end(next);
	EXPECT_EQ(KB_OK, next.result);
	EXPECT_EQ(2u, next.term);
	EXPECT_EQ(1, late.ended);
	EXPECT_EQ(1u, peer.counters.late_replies);
}

TEST_F(Rpc, RestartedPeerCannotAnswerAnOldCall)
{
	RawServer raw(loop.base);
	ViewCall before, after;

	connect(raw.port);
	ASSERT_EQ(KB_OK, before.start(&peer));
	loop.run_until([&] { return !raw.received.empty(); });
	raw.hang_up();
	expect_end(before);
	EXPECT_EQ(KB_ERR_CLOSED, before.result);
	raw.received.clear();
	ASSERT_EQ(KB_OK, after.start(&peer));
	loop.run_until([&] { return !raw.received.empty(); });
	raw.send(reply_to(1, 7));
	loop.run_until([&] { return peer.counters.late_replies == 1; });
	EXPECT_EQ(0, after.ended);
	raw.send(reply_to(2, 8));
	expect_end(after);
	EXPECT_EQ(8u, after.term);
	EXPECT_EQ(1, before.ended);
	EXPECT_EQ(1u, peer.counters.lost_connections);
}

TEST_F(Rpc, RejectionStatusDecidesTheResult)
{
	struct {
		enum accept_stat status;
		kb_result_t expected;
	} cases[] = {
		{ PROG_MISMATCH, KB_ERR_VERSION },
		{ PROG_UNAVAIL, KB_ERR_PROTOCOL },
		{ PROC_UNAVAIL, KB_ERR_PROTOCOL },
		{ GARBAGE_ARGS, KB_ERR_PROTOCOL },
		{ SYSTEM_ERR, KB_ERR_PROTOCOL },
	};
	RawServer raw(loop.base);
	uint32_t xid = 1;

	connect(raw.port);
	for (const auto &c : cases) {
		ViewCall call;

		raw.received.clear();
		ASSERT_EQ(KB_OK, call.start(&peer));
		loop.run_until([&] { return !raw.received.empty(); });
		raw.send(reply_to(xid++, 0, c.status));
		expect_end(call);
		EXPECT_EQ(c.expected, call.result) << c.status;
	}
	EXPECT_EQ(1, raw.connections) << "a rejection keeps the connection";
}

TEST_F(Rpc, ServerRejectsUnknownProcedures)
{
	ViewCall unknown, known;

	ASSERT_EQ(KB_OK, unknown.start(&peer, "a", KB_NS_PER_S * 15, 77));
	expect_end(unknown);
	EXPECT_EQ(KB_ERR_PROTOCOL, unknown.result);
	ASSERT_EQ(KB_OK, known.start(&peer));
	expect_requests(1);
	reply(0, 1);
	expect_end(known);
	EXPECT_EQ(KB_OK, known.result);
}

TEST_F(Rpc, TooManyCallsAreRefusedBeforeTheyAreSent)
{
	ViewCall calls[2], third;

	kb_rpc_peer_finish(&peer);
	connect(port, 2);
	ASSERT_EQ(KB_OK, calls[0].start(&peer, "a"));
	ASSERT_EQ(KB_OK, calls[1].start(&peer, "b"));
	EXPECT_EQ(KB_ERR_OVERLOADED, third.start(&peer, "c"));
	EXPECT_EQ(1u, peer.counters.refused);
	expect_requests(2);
	reply(0, 1);
	expect_end(calls[0]);
	ASSERT_EQ(KB_OK, third.start(&peer, "c"));
	expect_requests(2);
	EXPECT_EQ("c", groups.back());
	kb_rpc_peer_finish(&peer);
}

TEST_F(Rpc, RefusedConnectionMeansNeverSent)
{
	ViewCall refused, next;
	uint16_t free_port;

	{
		RawServer gone(loop.base);

		free_port = gone.port;
	}
	connect(free_port);
	/* The failure may be reported at once or from the event loop. */
	if (refused.start(&peer, "never") == KB_OK) {
		expect_end(refused);
		EXPECT_EQ(KB_ERR_UNREACHABLE, refused.result);
	}
	RawServer raw(loop.base, free_port);

	ASSERT_EQ(KB_OK, next.start(&peer, "next"));
	loop.run_until([&] { return !raw.received.empty(); });
	EXPECT_EQ(std::string::npos, raw.received.find("never"));
	EXPECT_NE(std::string::npos, raw.received.find("next"));
	EXPECT_EQ(0u, peer.counters.lost_connections);
	kb_rpc_peer_finish(&peer);
}

TEST_F(Rpc, CallThatCannotBeEncodedIsNotSent)
{
	const std::string name(KBX_NAME_MAX + 1, 'n');
	ViewCall call, next;

	EXPECT_EQ(KB_ERR_TOO_LARGE, call.start(&peer, name.c_str()));
	EXPECT_EQ(0u, peer.call_count);
	ASSERT_EQ(KB_OK, next.start(&peer, "next"));
	expect_requests(1);
	EXPECT_EQ("next", groups[0]);
	kb_rpc_peer_finish(&peer);
}

TEST_F(Rpc, ReplyToAClosedConnectionIsDroppedAndCounted)
{
	ViewCall call;

	ASSERT_EQ(KB_OK, call.start(&peer));
	expect_requests(1);
	kb_rpc_peer_finish(&peer);
	EXPECT_EQ(KB_ERR_CLOSED, call.result);
	loop.run_until([&] { return !server.sessions; });
	reply(0, 1);
	EXPECT_EQ(1u, server.counters.dropped_replies);
}

TEST_F(Rpc, PeerMayBeFinishedByACallback)
{
	ViewCall calls[4];

	for (ViewCall &call : calls) {
		ASSERT_EQ(KB_OK, call.start(&peer));
		call.then = [&] { kb_rpc_peer_finish(&peer); };
	}
	expect_requests(4);
	reply(1, 1);
	for (ViewCall &call : calls)
		expect_end(call);
}

TEST_F(Rpc, PeerMayBeFinishedWhileItsCallsEnd)
{
	ViewCall calls[4];

	for (ViewCall &call : calls) {
		ASSERT_EQ(KB_OK, call.start(&peer));
		call.then = [&] { kb_rpc_peer_finish(&peer); };
	}
	expect_requests(4);
	kb_rpc_server_finish(&server);
	for (ViewCall &call : calls) {
		expect_end(call);
		EXPECT_EQ(KB_ERR_CLOSED, call.result);
	}
}

TEST_F(Rpc, CallsStartedWhileOthersEndGoToANewConnection)
{
	RawServer raw(loop.base);
	ViewCall calls[3], again[3];

	connect(raw.port);
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(KB_OK, calls[i].start(&peer));
		calls[i].then = [&, i] {
			EXPECT_EQ(KB_OK, again[i].start(&peer));
		};
	}
	loop.run_until([&] { return !raw.received.empty(); });
	raw.hang_up();
	for (ViewCall &call : calls)
		expect_end(call);
	EXPECT_EQ(3u, peer.call_count);
	loop.run_until([&] { return raw.connections == 2; });
	for (uint32_t xid = 4; xid <= 6; xid++)
		raw.send(reply_to(xid, xid));
	for (ViewCall &call : again) {
		expect_end(call);
		EXPECT_EQ(KB_OK, call.result);
	}
}
