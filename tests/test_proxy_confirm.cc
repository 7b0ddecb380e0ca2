#include "fake_link_connector.h"
#include "proxy_internal.h"

#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/*
 * A group that this host, its only voter, serves on target p, while an order to
 * promote target q is open.
 */
class ProxyConfirm : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();

	ProxyConfirm()
	{
		static const kb_link_pool_ops_t ops = {
			[](void *, kb_time_t) { return 1; },
			[](void *, kb_target_event_t, kb_point_t) {},
		};
		kb_lease_t &lease = group->lease;
		kb_monitor_t &monitor = group->monitor;

		*proxy = {};
		*group = {};
		time.now = 100 * KB_NS_PER_S;
		proxy->clock = &time.base;
		group->proxy = proxy.get();
		lease.role = KB_LEASE_SERVING;
		kb_name_set(&lease.self, KB_STR("self"));
		lease.record.voters.count = 1;
		lease.record.voters.hosts[0] = lease.self;
		lease.confirmed = 1;
		lease.confirmed_at = time.now;
		monitor.state = KB_MONITOR_SERVING;
		monitor.has_primary = 1;
		monitor.term = 2;
		kb_name_set(&monitor.primary.place.target, KB_STR("p"));
		monitor.primary.place.endpoint.port = 1;
		monitor.probe_count = 1;
		kb_name_set(&monitor.probes[0].target, KB_STR("q"));
		kb_open_orders_add(&monitor.open_orders,
				   &monitor.probes[0].target, time.now);
		kb_link_pool_init(&group->pool, &ops, nullptr, &connector.base,
				  &time.base, 1000);
		kb_link_pool_bind(&group->pool, &monitor.primary.place, 2, 4);
		q_answers(2);
	}

	~ProxyConfirm() override
	{
		kb_proxy_confirm_end_all(group.get());
		kb_link_pool_finish(&group->pool);
	}

	/* Target q answers a question that is sent now. */
	void q_answers(uint64_t term)
	{
		kb_monitor_probe_t &probe = group->monitor.probes[0];

		probe.asked_at = time.now;
		probe.answered_at = time.now;
		probe.report.term = term;
	}

	void run(Statement &statement)
	{
		kb_proxy_primary_run(group.get(), &statement.args,
				     Statement::done, &statement);
	}

	/* The primary runs the statement. */
	void answer(kb_result_t result = KB_OK)
	{
		FakeLink *link = connector.links.back();

		if (link->opening)
			connector.opened(link);
		connector.answer(link, result, { 2, 7 });
	}

	void tick(kb_time_t passed)
	{
		time.now += passed;
		kb_proxy_confirm_tick(group.get(), time.now);
	}
};

} // namespace

/* review/6: a commit is acknowledged after a late order has taken effect. */
TEST_F(ProxyConfirm, ACommitIsReportedOnceItIsConfirmed)
{
	Statement write(KBS_WRITE);

	run(write);
	answer();
	tick(20 * MS);
	EXPECT_EQ(0, write.ended);
	q_answers(2);
	tick(20 * MS);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
	EXPECT_TRUE(write.offered);
}

TEST_F(ProxyConfirm, ACommitThatIsNotConfirmedIsUnknown)
{
	struct {
		const char *what;
		std::function<void()> event;
		kb_time_t passed;
	} cases[] = {
		{ "the order takes effect", [this] { q_answers(3); },
		  800 * MS },
		{ "the time is up", [] {}, 800 * MS },
		{ "the lease ends",
		  [this] { group->lease.role = KB_LEASE_NONE; }, 20 * MS },
		{ "the primary is given up",
		  [this] { group->monitor.has_primary = 0; }, 20 * MS },
		{ "another primary serves", [this] { group->monitor.term = 3; },
		  20 * MS },
	};

	for (const auto &c : cases) {
		Statement write(KBS_WRITE);

		group->lease.role = KB_LEASE_SERVING;
		group->monitor.has_primary = 1;
		group->monitor.term = 2;
		q_answers(2);
		run(write);
		answer();
		time.now += 20 * MS;
		c.event();
		tick(c.passed);
		EXPECT_EQ(1, write.ended) << c.what;
		EXPECT_EQ(KB_ERR_UNKNOWN, write.result) << c.what;
	}
}

/* Nothing ran, and the refusal says so at once. */
TEST_F(ProxyConfirm, CommitsAreRefusedWhileNothingIsConfirmed)
{
	Statement write(KBS_WRITE);
	Statement read(KBS_READ);
	Statement begin(KBS_READ);

	tick(700 * MS);
	run(write);
	EXPECT_EQ(KB_ERR_NO_PRIMARY, write.result);
	EXPECT_FALSE(write.offered);
	begin.args.transactional = TRUE;
	run(begin);
	EXPECT_EQ(KB_ERR_NO_PRIMARY, begin.result);
	run(read);
	answer();
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_OK, read.result);
}

/* The target's error needs no confirmation: nothing is kept. */
TEST_F(ProxyConfirm, AnErrorIsReportedAtOnce)
{
	Statement write(KBS_WRITE);

	run(write);
	answer(KB_ERR_READ_ONLY);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_READ_ONLY, write.result);
}

/* Without an open order nothing waits. */
TEST_F(ProxyConfirm, NothingWaitsWithoutAnOpenOrder)
{
	Statement write(KBS_WRITE);

	group->monitor.open_orders.count = 0;
	run(write);
	answer();
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
}
