#include "fake_server.h"
#include "fake_time.h"
#include "proxy_loan_call.h"
#include "proxy_statement.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host with the limited team "t" and the unlimited team "free". */
struct TestHost {
	kb_settings_t settings = {};
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();

	TestHost(Loop &loop, FakeTime &clock, const char *name)
	{
		settings.limits_window = 5 * KB_NS_PER_S;
		settings.limits_overage = 0.1;
		settings.limits_slack = 20;
		*proxy = {};
		proxy->clock = &clock.base;
		proxy->setup.loop = loop.base;
		proxy->setup.settings = &settings;
		kb_rng_init(&proxy->rng, 1);
		proxy->self = describe(name, 0);
		EXPECT_EQ(KB_OK, kb_proxy_stats_init(&proxy->stats));
		EXPECT_EQ(KB_OK, kb_hosts_init_at(&proxy->hosts, loop.base,
						  &proxy->self));
		EXPECT_EQ(KB_OK, kb_proxy_loans_init(proxy.get()));
		configure(1, 100, 100);
	}

	~TestHost()
	{
		if (proxy->has_server)
			kb_rpc_server_finish(&proxy->server);
		for (size_t i = 0; i < proxy->hosts.count; i++)
			kb_rpc_peer_finish(&proxy->hosts.hosts[i]->peer);
		kb_hosts_finish(&proxy->hosts);
		kb_proxy_loans_finish(proxy.get());
		kb_databases_finish(&proxy->databases);
		kb_proxy_stats_finish(&proxy->stats);
		HASH_CLEAR(by_name, proxy->groups_by_name);
		if (proxy->groups) {
			kb_team_accounts_finish(&proxy->groups[0]->accounts);
			free(proxy->groups[0]);
			free(proxy->groups);
		}
	}

	static kb_host_info_t describe(const char *name, uint16_t port)
	{
		kb_host_info_t info = {};

		kb_name_set(&info.name, kb_str_from(name));
		kb_name_set(&info.endpoint.address, KB_STR("127.0.0.1"));
		info.endpoint.port = port;
		return info;
	}

	void configure(uint64_t version, double rate, double burst)
	{
		kb_databases_t next = {};
		kb_team_t team = {};

		next.version = version;
		next.databases = static_cast<kb_database_t *>(
			calloc(1, sizeof(kb_database_t)));
		next.database_count = 1;
		kb_name_set(&next.databases[0].name, KB_STR("db"));
		kb_name_set(&next.databases[0].group, KB_STR("g"));
		next.databases[0].is_public = 1;
		next.databases[0].timeout = 800 * MS;
		next.databases[0].objective = 400 * MS;
		next.groups = static_cast<kb_group_limits_t *>(
			calloc(1, sizeof(kb_group_limits_t)));
		next.group_count = 1;
		kb_name_set(&next.groups[0].group, KB_STR("g"));
		kb_name_set(&team.name, KB_STR("free"));
		EXPECT_EQ(KB_OK, kb_teams_add(&next.teams, &team));
		kb_name_set(&team.name, KB_STR("t"));
		team.limited = 1;
		team.rate = rate;
		team.burst = burst;
		EXPECT_EQ(KB_OK, kb_teams_add(&next.teams, &team));
		EXPECT_TRUE(kb_databases_replace(&proxy->databases, &next));
		kb_proxy_loans_on_configuration(proxy.get());
	}

	/* Listens for the calls of other hosts. */
	void serve()
	{
		kb_rpc_procedure_t procedure = {
			KB_PROXY_RPC_LOAN,     (xdrproc_t)xdr_kbs_loan_args,
			sizeof(kbs_loan_args), (xdrproc_t)xdr_kbs_loan_res,
			kb_proxy_loans_serve,  proxy.get()
		};
		struct sockaddr_in address = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(KB_OK,
			  kb_rpc_server_init(&proxy->server, proxy->setup.loop,
					     (struct sockaddr *)&address,
					     sizeof(address)));
		proxy->has_server = 1;
		ASSERT_EQ(KB_OK, kb_rpc_server_add(&proxy->server, &procedure));
	}

	uint16_t port() const
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		getsockname(evconnlistener_get_fd(proxy->server.listener),
			    (struct sockaddr *)&address, &len);
		return ntohs(address.sin_port);
	}

	/* Knows another host. */
	void add_host(const TestHost &other)
	{
		kb_host_info_t info =
			describe(other.proxy->self.name.data, other.port());
		kb_host_t *host = kb_hosts_put(&proxy->hosts, &info);

		ASSERT_NE(nullptr, host);
		host->live = 1;
	}

	/* Knows `holder` as the holder of the group. */
	kb_proxy_group_t *add_group(const char *holder)
	{
		auto *group = static_cast<kb_proxy_group_t *>(
			calloc(1, sizeof(kb_proxy_group_t)));

		proxy->groups = static_cast<kb_proxy_group_t **>(
			calloc(1, sizeof(group)));
		proxy->groups[0] = group;
		proxy->group_count = 1;
		group->proxy = proxy.get();
		kb_name_set(&group->name, KB_STR("g"));
		HASH_ADD_KEYPTR(by_name, proxy->groups_by_name,
				group->name.data, group->name.len, group);
		group->lease.known = 1;
		kb_name_set(&group->lease.record.holder, kb_str_from(holder));
		kb_team_accounts_init(&group->accounts, 1);
		return group;
	}

	/* Lets this host serve the group with the fencing token `token`. */
	void hold(kb_proxy_group_t *group, int64_t token, kb_time_t now)
	{
		kb_lease_t *lease = &group->lease;

		lease->role = KB_LEASE_SERVING;
		lease->self = proxy->self.name;
		lease->token = token;
		lease->confirmed = 1;
		lease->confirmed_at = now;
		lease->record.voters.count = 1;
		lease->record.voters.hosts[0] = proxy->self.name;
	}
};

class ProxyLoans : public ::testing::Test
{
      protected:
	Loop loop;
	FakeTime clock;
	TestHost host{ loop, clock, "entry" };
	kb_proxy_session_t *session = nullptr;
	std::vector<kb_result_t> answers;
	kb_time_t retry = 0;

	ProxyLoans()
	{
		clock.now = 100 * KB_NS_PER_S;
	}

	~ProxyLoans() override
	{
		if (session)
			kb_proxy_session_close(session);
	}

	void open(const char *team)
	{
		ASSERT_EQ(KB_OK,
			  kb_proxy_session_open(&session, host.proxy.get(),
						KB_STR("db"), KB_STR(""),
						on_answer, this));
		session->caller.args.team = kb_text_view(kb_str_from(team));
	}

	/* Whether an operation of the team may run at once. */
	bool admit(const char *team)
	{
		session->caller.args.team = kb_text_view(kb_str_from(team));
		session->caller.running = 1;
		session->deadline = clock.now + 800 * MS;
		session->retry_at = 0;
		return kb_proxy_loans_admit(session);
	}

	/* Runs the loop until the session has an answer or a loan. */
	void settle()
	{
		for (int i = 0; i < 1000 && answers.empty() &&
				host.proxy->loans.waiting_count;
		     i++) {
			event_base_loop(loop.base, EVLOOP_ONCE);
			kb_proxy_loans_tick(host.proxy.get(), clock.now);
		}
	}

	void turn()
	{
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	}

	kb_proxy_team_t *team()
	{
		return kb_proxy_team_get(host.proxy.get(), KB_STR("t"));
	}

      private:
	static void on_answer(void *ctx, const kb_query_answer_t *answer)
	{
		auto *test = static_cast<ProxyLoans *>(ctx);

		test->answers.push_back(answer->result);
		test->retry = answer->retry;
	}
};

} // namespace

TEST_F(ProxyLoans, AdmitsCallersWithoutALimitAtOnce)
{
	open("free");
	EXPECT_TRUE(admit("free"));
	EXPECT_TRUE(admit(""));
	EXPECT_TRUE(admit("unknown"));
	EXPECT_EQ(0u, host.proxy->loans.waiting_count);
}

TEST_F(ProxyLoans, ThisHostMayBeTheKeeper)
{
	kb_proxy_group_t *group = host.add_group("entry");

	open("t");
	host.hold(group, 7, clock.now);
	EXPECT_TRUE(kb_lease_may_serve(&group->lease, clock.now));
	EXPECT_FALSE(admit("t"));
	EXPECT_EQ(1u, host.proxy->loans.waiting_count);
	turn();
	EXPECT_EQ(0u, host.proxy->loans.waiting_count);
	EXPECT_TRUE(session->ticket.valid);
	EXPECT_EQ(0u, host.proxy->loans.calls);
	EXPECT_EQ(1u, group->accounts.counters.lent);
}

TEST_F(ProxyLoans, RefusesAtOnceBeyondTheLimit)
{
	kb_proxy_group_t *group = host.add_group("entry");
	unsigned lent = 0;

	open("t");
	host.hold(group, 7, clock.now);
	while (answers.empty() && lent < 1000) {
		if (!admit("t"))
			turn();
		lent += (unsigned)session->ticket.valid;
	}
	/* A new keeper has the initial tokens only. */
	EXPECT_EQ(2u, lent);
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_ERR_OVERLOADED, answers[0]);
	EXPECT_GT(retry, 0);
	EXPECT_LE(retry, 2 * KB_NS_PER_S);
	EXPECT_EQ(1u, team()->refused);
	/* The denial is remembered. */
	EXPECT_FALSE(admit("t"));
	EXPECT_EQ(2u, answers.size());
	EXPECT_EQ(0u, host.proxy->loans.waiting_count);
}

TEST_F(ProxyLoans, RefusesAfterAWaitIfNoKeeperIsReached)
{
	host.add_group("nobody");
	open("t");
	EXPECT_FALSE(admit("t"));
	turn();
	EXPECT_TRUE(answers.empty());
	clock.now += 199 * MS;
	kb_proxy_loans_tick(host.proxy.get(), clock.now);
	EXPECT_TRUE(answers.empty());
	clock.now += 1 * MS;
	kb_proxy_loans_tick(host.proxy.get(), clock.now);
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_ERR_OVERLOADED, answers[0]);
	EXPECT_EQ(1u, host.proxy->loans.timeouts);
}

TEST_F(ProxyLoans, ASessionMayCloseWhileItWaits)
{
	host.add_group("nobody");
	open("t");
	EXPECT_FALSE(admit("t"));
	kb_proxy_session_close(session);
	session = nullptr;
	EXPECT_EQ(0u, host.proxy->loans.waiting_count);
	EXPECT_EQ(0u, team()->allowance.waiting);
	turn();
	EXPECT_TRUE(answers.empty());
}

TEST_F(ProxyLoans, GivesBackWhatNoTargetHasReceived)
{
	kb_proxy_group_t *group = host.add_group("entry");

	open("t");
	host.hold(group, 7, clock.now);
	EXPECT_FALSE(admit("t"));
	turn();
	ASSERT_TRUE(session->ticket.valid);
	session->attempts = 1;
	kb_proxy_statement_finish(session, nullptr, KB_ERR_NO_PRIMARY, "");
	EXPECT_FALSE(session->ticket.valid);
	EXPECT_TRUE(admit("t"));
	EXPECT_EQ(1u, group->accounts.counters.lent);
}

TEST_F(ProxyLoans, KeepsWhatATargetMayHaveReceived)
{
	kb_proxy_group_t *group = host.add_group("entry");
	kbs_run_res res = {};

	open("t");
	host.hold(group, 7, clock.now);
	EXPECT_FALSE(admit("t"));
	turn();
	ASSERT_TRUE(session->ticket.valid);
	session->attempts = 1;
	res.result = KB_ERR_DEADLINE;
	res.offered = TRUE;
	kb_proxy_statement_finish(session, &res, KB_ERR_DEADLINE, "");
	EXPECT_FALSE(admit("t"));
}

TEST_F(ProxyLoans, AnOperationRunsOnceTheTeamHasNoLimitAnyMore)
{
	host.add_group("nobody");
	open("t");
	EXPECT_FALSE(admit("t"));
	turn();
	kb_databases_t next = {};
	kb_team_t team = {};

	next.version = 2;
	kb_name_set(&team.name, KB_STR("t"));
	ASSERT_EQ(KB_OK, kb_teams_add(&next.teams, &team));
	ASSERT_TRUE(kb_databases_replace(&host.proxy->databases, &next));
	kb_proxy_loans_on_configuration(host.proxy.get());
	turn();
	EXPECT_EQ(0u, host.proxy->loans.waiting_count);
	EXPECT_EQ(0u, host.proxy->loans.refused);
}

class RemoteLoans : public ProxyLoans
{
      protected:
	TestHost keeper{ loop, clock, "keeper" };
	TestHost other{ loop, clock, "other" };

	RemoteLoans()
	{
		keeper.serve();
		other.serve();
		host.add_host(keeper);
		host.add_host(other);
	}
};

TEST_F(RemoteLoans, AsksTheHolderOfTheGroup)
{
	kb_proxy_group_t *group = keeper.add_group("keeper");

	keeper.hold(group, 7, clock.now);
	host.add_group("keeper");
	open("t");
	EXPECT_FALSE(admit("t"));
	settle();
	EXPECT_TRUE(session->ticket.valid);
	EXPECT_EQ(1u, group->accounts.counters.lent);
	EXPECT_EQ(1u, host.proxy->loans.calls);
}

TEST_F(RemoteLoans, FollowsAHintToTheHolder)
{
	kb_proxy_group_t *group = keeper.add_group("keeper");

	keeper.hold(group, 7, clock.now);
	other.add_group("keeper");
	host.add_group("other");
	open("t");
	EXPECT_FALSE(admit("t"));
	settle();
	EXPECT_TRUE(session->ticket.valid);
	EXPECT_EQ(1u, group->accounts.counters.lent);
	EXPECT_EQ(2u, host.proxy->loans.calls);
}

TEST_F(RemoteLoans, AHostThatDoesNotHoldTheGroupLendsNothing)
{
	keeper.add_group("keeper");
	host.add_group("keeper");
	open("t");
	EXPECT_FALSE(admit("t"));
	for (int i = 0; i < 20; i++)
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	EXPECT_FALSE(session->ticket.valid);
	clock.now += 200 * MS;
	kb_proxy_loans_tick(host.proxy.get(), clock.now);
	EXPECT_EQ(1u, answers.size());
}

TEST_F(RemoteLoans, ANewHolderStartsWithAnEmptyAccount)
{
	kb_proxy_group_t *group = keeper.add_group("keeper");
	kb_limit_share_t share = team()->share;

	keeper.hold(group, 7, clock.now);
	kb_proxy_keeper_tick(group, clock.now);
	clock.now += 60 * KB_NS_PER_S;
	keeper.hold(group, 7, clock.now);
	EXPECT_EQ(110u, kb_team_accounts_lend(&group->accounts, KB_STR("t"),
					      &share, 0, 1000, clock.now)
				.operations);
	keeper.hold(group, 8, clock.now);
	kb_proxy_keeper_tick(group, clock.now);
	EXPECT_EQ(2u, kb_team_accounts_lend(&group->accounts, KB_STR("t"),
					    &share, 0, 1000, clock.now)
			      .operations);
}
