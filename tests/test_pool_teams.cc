#include "fake_link_connector.h"

#include <gtest/gtest.h>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A pool of 2 slots and 4 connections, used by several teams. */
class PoolTeams : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	kb_link_place_t place = {};
	std::vector<std::unique_ptr<Statement>> all;

	PoolTeams()
	{
		static const kb_link_pool_ops_t ops = {
			[](void *, kb_time_t) { return 1; },
			[](void *, kb_target_event_t, kb_point_t) {},
		};

		kb_link_pool_init(&pool, &ops, this, &connector.base,
				  &time.base, 1000);
		kb_name_set(&place.target, KB_STR("t1"));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		kb_link_pool_bind(&pool, &place, 2, 4);
	}

	~PoolTeams() override
	{
		kb_link_pool_finish(&pool);
	}

	Statement &run(const std::string &team, kbs_kind kind = KBS_READ)
	{
		Statement &statement = prepare(team, kind);

		submit(statement);
		return statement;
	}

	Statement &begin(const std::string &team)
	{
		Statement &statement = prepare(team, KBS_READ);

		statement.args.transactional = TRUE;
		submit(statement);
		return statement;
	}

	Statement &prepare(const std::string &team, kbs_kind kind)
	{
		all.push_back(std::make_unique<Statement>(
			kind,
			(team + "." + std::to_string(all.size())).c_str()));
		all.back()->of_team(team);
		return *all.back();
	}

	void submit(Statement &statement)
	{
		kb_link_pool_run(&pool, &statement.args, Statement::done,
				 &statement);
	}

	/* Opens connections and answers commands until none is pending. */
	void serve_all()
	{
		bool progress = true;

		while (progress) {
			progress = false;
			for (size_t i = 0; i < connector.links.size(); i++) {
				FakeLink *link = connector.links[i];

				if (link->closed)
					continue;
				if (link->waiting) {
					check(link);
					connector.answer(link);
					progress = true;
				} else if (link->opening) {
					connector.opened(link);
					progress = true;
				}
			}
			EXPECT_LE(connector.open_count(), pool.limit);
		}
	}

	/* A statement's id begins with its team. */
	static void check(const FakeLink *link)
	{
		if (!link->id.empty()) {
			EXPECT_EQ(link->team,
				  link->id.substr(0, link->id.find('.')));
		}
	}

	size_t open_count(const std::string &team) const
	{
		size_t count = 0;

		for (const FakeLink *link : connector.links)
			count += !link->closed && link->team == team;
		return count;
	}

	void pass(kb_time_t duration)
	{
		time.now += duration;
		kb_link_pool_tick(&pool);
	}
};

} // namespace

TEST_F(PoolTeams, StatementRunsOnAConnectionOfItsTeam)
{
	Statement &a = run("a");
	serve_all();
	Statement &b = run("b");
	serve_all();
	Statement &again = run("a");
	serve_all();
	EXPECT_EQ(1, a.ended);
	EXPECT_EQ(1, b.ended);
	EXPECT_EQ(1, again.ended);
	EXPECT_EQ(2u, connector.links.size());
	EXPECT_EQ(1u, open_count("a"));
	EXPECT_EQ(1u, open_count("b"));
}

TEST_F(PoolTeams, AtTheLimitTheLeastRecentlyUsedConnectionIsClosed)
{
	for (const char *team : { "a", "b", "c", "d", "a", "e" }) {
		run(team);
		serve_all();
		pass(MS);
	}
	EXPECT_EQ(1u, open_count("a"));
	EXPECT_EQ(0u, open_count("b"));
	EXPECT_EQ(1u, open_count("e"));
	for (const auto &statement : all)
		EXPECT_EQ(1, statement->ended) << statement->id;
}

TEST_F(PoolTeams, OnlyConnectionsOfTeamsOutliveALargeTeamsQueue)
{
	for (const char *team : { "a", "b", "c", "d" }) {
		run(team);
		serve_all();
	}
	for (int i = 0; i < 10; i++)
		run("a");
	serve_all();
	for (const char *team : { "a", "b", "c", "d" })
		EXPECT_EQ(1u, open_count(team)) << team;
	EXPECT_EQ(4u, connector.links.size());
}

TEST_F(PoolTeams, RestingTransactionsLeaveRoomForStatementsOfOthers)
{
	std::vector<Statement *> begun;

	for (const char *team : { "a", "b", "c", "d" }) {
		begun.push_back(&begin(team));
		serve_all();
	}
	for (int i = 0; i < 3; i++)
		ASSERT_NE(0u, begun[i]->transaction);
	EXPECT_EQ(0, begun[3]->ended);
	Statement &other = run("e");
	serve_all();
	Statement &another = run("f");
	serve_all();
	EXPECT_EQ(1, other.ended);
	EXPECT_EQ(1, another.ended);
	EXPECT_EQ(0u, open_count("e"));
	EXPECT_EQ(1u, open_count("f"));
	Statement &rollback = prepare("a", KBS_ROLLBACK);
	rollback.args.transaction = begun[0]->transaction;
	submit(rollback);
	serve_all();
	EXPECT_NE(0u, begun[3]->transaction);
	EXPECT_EQ(1u, open_count("b"));
	EXPECT_EQ(1u, open_count("c"));
}

/* One team may hold half of the connections by transactions. */
TEST_F(PoolTeams, TransactionsOfOneTeamDoNotShutOthersOut)
{
	std::vector<Statement *> begun;

	for (int i = 0; i < 4; i++)
		begun.push_back(&begin("a"));
	serve_all();
	EXPECT_NE(0u, begun[1]->transaction);
	EXPECT_EQ(0, begun[2]->ended);
	Statement &own = run("a");
	Statement &other = begin("b");
	serve_all();
	EXPECT_EQ(1, own.ended);
	EXPECT_NE(0u, other.transaction);
	/* Open transactions go on. */
	Statement &write = prepare("a", KBS_COMMIT);
	write.args.transactional = TRUE;
	write.args.transaction = begun[0]->transaction;
	submit(write);
	serve_all();
	EXPECT_EQ(KB_OK, write.result);
	EXPECT_NE(0u, begun[2]->transaction);
	EXPECT_EQ(0, begun[3]->ended);
	pass(801 * MS);
	EXPECT_EQ(1, begun[3]->ended);
	EXPECT_EQ(KB_ERR_DEADLINE, begun[3]->result);
}

TEST_F(PoolTeams, TransactionIsUnknownToAnotherTeam)
{
	Statement &first = begin("a");

	serve_all();
	ASSERT_NE(0u, first.transaction);
	Statement &foreign = prepare("b", KBS_WRITE);
	foreign.args.transactional = TRUE;
	foreign.args.transaction = first.transaction;
	submit(foreign);
	EXPECT_EQ(1, foreign.ended);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, foreign.result);
	EXPECT_FALSE(foreign.offered);
	Statement &end = prepare("b", KBS_ROLLBACK);
	end.args.transaction = first.transaction;
	submit(end);
	serve_all();
	Statement &commit = prepare("a", KBS_COMMIT);
	commit.args.transactional = TRUE;
	commit.args.transaction = first.transaction;
	submit(commit);
	serve_all();
	EXPECT_EQ(KB_OK, commit.result);
}

TEST_F(PoolTeams, IdleConnectionsAboveALoweredLimitAreClosed)
{
	for (const char *team : { "a", "b", "c", "d" }) {
		run(team);
		serve_all();
		pass(MS);
	}
	run("d");
	kb_link_pool_bind(&pool, &place, 2, 2);
	EXPECT_EQ(2u, connector.open_count());
	EXPECT_EQ(1u, open_count("c"));
	EXPECT_EQ(1u, open_count("d"));
	serve_all();
	kb_link_pool_bind(&pool, &place, 2, 1);
	EXPECT_EQ(1u, open_count("d"));
}

/* A connection in use when the limit falls is closed once it is idle. */
TEST_F(PoolTeams, BusyConnectionsAboveALoweredLimitAreClosedWhenIdle)
{
	for (const char *team : { "a", "b", "c" })
		run(team);
	for (size_t i = 0; i < 2; i++)
		connector.opened(connector.links[i]);
	kb_link_pool_bind(&pool, &place, 2, 1);
	EXPECT_EQ(2u, connector.open_count() - pool.share.opening);
	serve_all();
	EXPECT_EQ(1u, connector.open_count());
	for (const auto &statement : all)
		EXPECT_EQ(1, statement->ended) << statement->id;
}

TEST_F(PoolTeams, DisplacedConnectionsAndHeldBackTransactionsAreCounted)
{
	for (const char *team : { "a", "b", "c", "d", "e" }) {
		run(team);
		serve_all();
	}
	EXPECT_EQ(1u, pool.counters.displaced);
	for (int i = 0; i < 3; i++) {
		begin("a");
		serve_all();
	}
	EXPECT_EQ(1u, pool.counters.held_back);
}

/* At most one line a second, about the team that has waited for longest. */
TEST_F(PoolTeams, WaitingTeamIsReportedOnceInASecond)
{
	run("a");
	pass(100 * MS);
	run("b");
	EXPECT_EQ(0, pool.next_report);
	pass(100 * MS);
	EXPECT_EQ(time.now + 1000 * MS, pool.next_report);
	pass(10 * MS);
	EXPECT_EQ(time.now + 990 * MS, pool.next_report);
}

/* A flood is refused for its own queue; the others are not. */
TEST_F(PoolTeams, AFloodingTeamWaitsBehindItself)
{
	std::vector<Statement *> others;

	for (const char *team : { "a", "b" }) {
		run(team);
		serve_all();
	}
	for (int i = 0; i < 400; i++)
		run("a");
	EXPECT_GT(pool.counters.refused, 0u);
	EXPECT_EQ(KB_ERR_OVERLOADED, all.back()->result);
	EXPECT_FALSE(all.back()->offered);
	for (int i = 0; i < 3; i++)
		others.push_back(&run("b"));
	/* The flood's running statements end first. */
	for (int i = 0; i < 12; i++)
		for (size_t j = 0; j < connector.links.size(); j++)
			if (connector.links[j]->waiting)
				connector.answer(connector.links[j]);
	for (const Statement *other : others) {
		EXPECT_EQ(1, other->ended);
		EXPECT_EQ(KB_OK, other->result);
	}
	EXPECT_GT(pool.job_count, 50u);
}

/* Of two teams with one class each the lower class is served too. */
TEST_F(PoolTeams, TheLastClassIsNotStarved)
{
	std::vector<Statement *> low;
	size_t ended = 0;

	for (const char *team : { "a", "b" }) {
		run(team);
		serve_all();
	}
	for (int i = 0; i < 120; i++) {
		Statement &high = prepare("a", KBS_READ);

		high.args.priority = 0;
		submit(high);
		low.push_back(&prepare(i % 2 ? "a" : "b", KBS_READ));
		low.back()->args.priority = 3;
		submit(*low.back());
	}
	for (int i = 0; i < 60; i++)
		for (size_t j = 0; j < connector.links.size(); j++)
			if (connector.links[j]->waiting)
				connector.answer(connector.links[j]);
	for (const Statement *statement : low)
		ended += statement->ended && !statement->result;
	EXPECT_GT(ended, 5u);
}

/* A team whose connections its transactions hold counts as one without. */
TEST_F(PoolTeams, PinnedConnectionsDoNotCountAsTheTeamsOwn)
{
	for (const char *team : { "a", "b", "c", "d" }) {
		run(team);
		serve_all();
	}
	begin("a");
	serve_all();
	Statement &next = run("a");
	serve_all();
	EXPECT_EQ(1, next.ended);
	EXPECT_EQ(2u, open_count("a"));
}
