#ifndef CALLER_FIXTURE_H
#define CALLER_FIXTURE_H

#include "raw_client.h"
#include "caller_api.h"
#include "fake_server.h"
#include "fake_target.h"
#include "settings.h"

#include <deque>
#include <list>
#include <memory>

#define KALAHARI "token-of-kalahari"
#define LOFTS "token-of-lofts"

/* A request at the gate of this host that the test has to answer. */
struct PendingRequest {
	const kbx_execute_args *args;
	kb_gate_done_fn_t *done;
	void *ctx;
	std::string target;

	void answer(kb_result_t result, const char *body = "{}",
		    kb_point_t point = { 0, 0 },
		    const char *transaction = "") const
	{
		kbx_execute_res res = {};

		res.result = result;
		res.message = const_cast<char *>("message of the gate");
		res.transaction = const_cast<char *>(transaction);
		res.answer.answer_val = const_cast<char *>(body);
		res.answer.answer_len = (u_int)strlen(body);
		res.point = { point.term, point.position };
		done(ctx, &res);
	}
};

/* A router whose only gate queues requests until the test answers them. */
struct FakeGateRouter {
	kb_router_t base;
	std::deque<PendingRequest> waiting;
	kb_host_t *gate = nullptr;
	int failed_calls = 0;

	PendingRequest pop()
	{
		PendingRequest first = waiting.front();

		waiting.pop_front();
		return first;
	}

	static kb_host_t *gate_host(kb_router_t *router,
				    const kb_group_spec_t *, size_t)
	{
		return reinterpret_cast<FakeGateRouter *>(router)->gate;
	}

	static void execute(kb_router_t *router, const kbx_execute_args *args,
			    kb_gate_done_fn_t *done, void *ctx)
	{
		reinterpret_cast<FakeGateRouter *>(router)->waiting.push_back(
			{ args, done, ctx, args->target });
	}

	static void call_failed(kb_router_t *router, kb_host_t *)
	{
		reinterpret_cast<FakeGateRouter *>(router)->failed_calls++;
	}
};

/* A catalogue with the group race-1, two classes and two kinds of reads. */
class CallerCatalog
{
      public:
	kb_catalog_t catalog;

	CallerCatalog()
	{
		kb_resource_t resource = {};
		kb_group_spec_t *group = &resource.spec.u.group;

		kb_catalog_init(&catalog);
		resource.kind = KB_KIND_GROUP;
		kb_name_set(&resource.name, KB_STR("race-1"));
		group->name = resource.name;
		group->target_count = 3;
		for (size_t i = 0; i < 3; i++) {
			std::string name = "race-1-" + std::string(1, 'a' + i);

			kb_name_set(&group->targets[i].name,
				    { name.data(), name.size() });
			kb_name_set(&group->targets[i].address,
				    KB_STR("127.0.0.1"));
			group->targets[i].port = (uint16_t)(i + 1);
			group->targets[i].slots = 2;
		}
		EXPECT_EQ(KB_OK, kb_catalog_put(&catalog, &resource));
		add_class("clocking", 0);
		add_class("bulk", 1);
		add_kind("current", 0, "clocking");
		add_kind("pull", 30 * KB_NS_PER_S, "bulk");
	}

	~CallerCatalog()
	{
		kb_catalog_finish(&catalog);
	}

      private:
	void add_class(const char *name, int bulk)
	{
		kb_resource_t resource = {};

		resource.kind = KB_KIND_TRAFFIC_CLASS;
		kb_name_set(&resource.name, kb_str_from(name));
		resource.spec.u.traffic_class.name = resource.name;
		resource.spec.u.traffic_class.bulk = bulk;
		EXPECT_EQ(KB_OK, kb_catalog_put(&catalog, &resource));
	}

	void add_kind(const char *name, kb_time_t age, const char *class_name)
	{
		kb_resource_t resource = {};

		resource.kind = KB_KIND_READ_KIND;
		kb_name_set(&resource.name, kb_str_from(name));
		resource.spec.u.read_kind.name = resource.name;
		resource.spec.u.read_kind.max_age = age;
		kb_name_set(&resource.spec.u.read_kind.traffic_class,
			    kb_str_from(class_name));
		EXPECT_EQ(KB_OK, kb_catalog_put(&catalog, &resource));
	}
};

/* The caller interface on a loopback port, in front of a fake gate. */
class CallerApi : public testing::Test
{
      protected:
	Loop loop;
	FakeClock clock;
	CallerCatalog catalog;
	std::unique_ptr<kb_settings_t> settings{ new kb_settings_t() };
	kb_hosts_t hosts;
	FakeGateRouter router;
	std::unique_ptr<kb_caller_api_t> api{ new kb_caller_api_t() };
	bool running = false;

	void SetUp() override
	{
		static const kb_router_ops_t ops = {
			FakeGateRouter::gate_host,
			FakeGateRouter::execute,
			FakeGateRouter::call_failed,
		};

		fill_settings();
		ASSERT_EQ(KB_OK,
			  kb_hosts_init(&hosts, loop.base, settings.get()));
		router.gate = hosts.self;
		kb_router_init(&router.base, &ops, loop.base, &clock.base,
			       &hosts, &catalog.catalog, 1 << 20);
		start();
	}

	void start()
	{
		ASSERT_EQ(KB_OK,
			  kb_caller_api_init(api.get(), loop.base,
					     settings.get(), &clock.base,
					     &router.base, &catalog.catalog));
		running = true;
	}

	void TearDown() override
	{
		if (running)
			kb_caller_api_finish(api.get());
		while (!router.waiting.empty())
			router.pop().answer(KB_ERR_DRAINING);
		kb_router_finish(&router.base);
		EXPECT_EQ(0u, api->active);
		kb_hosts_finish(&hosts);
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	}

	void add_caller(const char *name, const char *token)
	{
		kb_settings_account_t *account =
			&settings->callers[settings->caller_count++];

		kb_name_set(&account->name, kb_str_from(name));
		account->secret_len = strlen(token);
		memcpy(account->secret, token, account->secret_len);
	}

	void fill_settings()
	{
		kb_name_set(&settings->host, KB_STR("h1"));
		kb_name_set(&settings->listen_callers.address,
			    KB_STR("127.0.0.1"));
		kb_name_set(&settings->listen_hosts.address,
			    KB_STR("127.0.0.1"));
		settings->listen_hosts.port = 15001;
		add_caller("kalahari", KALAHARI);
		add_caller("lofts", LOFTS);
		settings->key_count = 1;
		settings->keys[0].id = 1;
		memset(settings->keys[0].hex, 'a', 64);
		settings->body_bytes = 4096;
		settings->header_bytes = 2048;
		settings->requests = 3;
		settings->caller_requests = 2;
		settings->default_deadline = 2 * KB_NS_PER_S;
	}

	static std::string request(const std::string &path,
				   const std::string &body,
				   const std::string &headers = "",
				   const std::string &token = KALAHARI,
				   const std::string &method = "POST")
	{
		return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" +
		       (token.empty()
				? ""
				: "Authorization: Bearer " + token + "\r\n") +
		       headers +
		       "Content-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}

	/* Sends a request and waits until it is answered or is at the gate. */
	std::unique_ptr<RawClient> submit(const std::string &data)
	{
		std::unique_ptr<RawClient> client(
			new RawClient(loop.base, api->port));
		size_t before = router.waiting.size();

		client->send(data);
		loop.run_until([&] {
			return client->complete() ||
			       router.waiting.size() > before;
		});
		return client;
	}

	void finish(RawClient &client)
	{
		loop.run_until([&] { return client.complete(); });
	}
};

#define STATEMENTS "/v1/groups/race-1/statements"
#define TRANSACTIONS "/v1/groups/race-1/transactions"
#define WRITE "{\"sql\":\"INSERT\",\"params\":[\"ring-1\"]}"

#endif
