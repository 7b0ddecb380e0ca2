#include "fake_server.h"
#include "fake_time.h"
#include "proxy_internal.h"
#include "group_index.h"

#include <event2/listener.h>
#include <gtest/gtest.h>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host that has just started and is asked for a group's watermark. */
class FirstWatermark : public ::testing::Test
{
      protected:
	Loop loop;
	FakeTime clock;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();
	kb_proxy_group_t *groups[1] = { group.get() };
	kb_rpc_server_t server;
	kb_rpc_peer_t peer;
	int received = 0;
	int ended = 0;
	bool valid = false;
	uint64_t position = 0;

	void SetUp() override
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);
		kb_rpc_procedure_t procedure = {};

		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		*group = {};
		proxy->clock = &clock.base;
		proxy->groups = groups;
		proxy->group_count = 1;
		group->proxy = proxy.get();
		kb_name_set(&group->name, KB_STR("g"));
		index_group(proxy.get(), group.get());
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(KB_OK, kb_rpc_server_init(&server, loop.base,
						    (struct sockaddr *)&address,
						    sizeof(address)));
		getsockname(evconnlistener_get_fd(server.listener),
			    (struct sockaddr *)&address, &len);
		procedure.number = KB_PROXY_RPC_WATERMARK;
		procedure.args = (xdrproc_t)xdr_kbs_stamp_args;
		procedure.args_size = sizeof(kbs_stamp_args);
		procedure.res = (xdrproc_t)xdr_kbs_stamp_res;
		procedure.serve = serve;
		procedure.ctx = this;
		ASSERT_EQ(KB_OK, kb_rpc_server_add(&server, &procedure));
		ASSERT_EQ(KB_OK, kb_rpc_peer_init(&peer, loop.base,
						  KB_STR("127.0.0.1"),
						  ntohs(address.sin_port), 8));
	}

	void TearDown() override
	{
		kb_proxy_group_end_watermark_calls(group.get());
		clear_group_index(proxy.get());
		kb_rpc_peer_finish(&peer);
		kb_rpc_server_finish(&server);
	}

	void ask()
	{
		kbs_stamp_args args = { kb_text_view(KB_STR("g")) };
		kb_rpc_call_t call = {};

		call.procedure = KB_PROXY_RPC_WATERMARK;
		call.encode = (xdrproc_t)xdr_kbs_stamp_args;
		call.args = &args;
		call.decode = (xdrproc_t)xdr_kbs_stamp_res;
		call.res_size = sizeof(kbs_stamp_res);
		call.timeout = 15 * KB_NS_PER_S;
		call.done = on_done;
		call.ctx = this;
		ASSERT_EQ(KB_OK, kb_rpc_peer_call(&peer, &call));
		loop.run_until([this] { return received > 0; });
	}

	void pass(kb_time_t duration)
	{
		clock.now += duration;
		kb_proxy_group_watermark_tick(group.get(), clock.now);
	}

	void learn()
	{
		kbs_stamp stamp = {};

		stamp.valid = TRUE;
		stamp.term = 1;
		stamp.point = { 1, 9 };
		stamp.primary = kb_text_view(KB_STR("p"));
		kb_proxy_group_add_watermark(group.get(), &stamp, clock.now);
	}

	void expect_end()
	{
		loop.run_until([this] { return ended > 0; });
	}

      private:
	static void serve(void *ctx, kb_rpc_request_t *request, void *)
	{
		auto *test = static_cast<FirstWatermark *>(ctx);

		test->received++;
		kb_proxy_group_serve_watermark(test->group.get(), request,
					       test->clock.now);
	}

	static void on_done(void *ctx, kb_result_t result, void *res)
	{
		auto *test = static_cast<FirstWatermark *>(ctx);
		auto *reply = static_cast<kbs_stamp_res *>(res);

		test->ended++;
		test->valid = result == KB_OK && reply->stamp.valid;
		if (test->valid)
			test->position = reply->stamp.point.position;
	}
};

} // namespace

/* One that asked again after a fixed time would learn of it later. */
TEST_F(FirstWatermark, ACallWaitsForTheFirstOne)
{
	ask();
	pass(200 * MS);
	EXPECT_NE(nullptr, group->watermark_waiters);
	learn();
	pass(20 * MS);
	EXPECT_EQ(nullptr, group->watermark_waiters);
	expect_end();
	EXPECT_TRUE(valid);
	EXPECT_EQ(9u, position);
}

TEST_F(FirstWatermark, TheWaitEndsBeforeTheCall)
{
	ask();
	pass(299 * MS);
	EXPECT_NE(nullptr, group->watermark_waiters);
	pass(20 * MS);
	EXPECT_EQ(nullptr, group->watermark_waiters);
	expect_end();
	EXPECT_FALSE(valid);
}

/* Later the callers have other watermarks and ask other hosts. */
TEST_F(FirstWatermark, ACallDoesNotWaitForLaterOnes)
{
	learn();
	clock.now += 5 * KB_NS_PER_S;
	ask();
	EXPECT_EQ(nullptr, group->watermark_waiters);
	expect_end();
	EXPECT_FALSE(valid);
}
