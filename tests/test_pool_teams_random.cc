#include "fake_link_connector.h"

#include <gtest/gtest.h>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* How a pool is made to break a rule. */
enum class Broken {
	NOT,
	/* An idle connection is given to another team, as if by RESET. */
	TEAM,
	/* The pool works with a limit that is too large. */
	LIMIT,
};

/*
 * A pool, used by more teams than it has connections, under random events, and
 * a checker that looks at the target only.
 */
struct RandomTeams {
	static constexpr unsigned TEAMS = 9;

	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	kb_link_place_t place = {};
	kb_rng_t rng;
	Broken broken;
	unsigned limit = 5;
	std::vector<std::unique_ptr<Statement>> all;
	std::vector<std::unique_ptr<Statement>> rollbacks;
	size_t checked = 0;
	/* Findings of the checker. */
	size_t foreign = 0;
	size_t above_limit = 0;
	size_t not_ended_once = 0;

	RandomTeams(uint64_t seed, Broken broken) : broken(broken)
	{
		static const kb_link_pool_ops_t ops = {
			[](void *, kb_time_t) { return 1; },
			[](void *, kb_target_event_t, kb_point_t) {},
		};

		kb_rng_init(&rng, seed);
		kb_link_pool_init(&pool, &ops, this, &connector.base,
				  &time.base, 1000);
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		bind("t1");
	}

	~RandomTeams()
	{
		kb_link_pool_finish(&pool);
	}

	void bind(const char *target)
	{
		kb_name_set(&place.target, kb_str_from(target));
		kb_link_pool_bind(&pool, &place, 2,
				  limit + (broken == Broken::LIMIT));
	}

	/* Of skewed size: the first team has the most statements. */
	std::string team()
	{
		uint64_t i = kb_rng_below(&rng, TEAMS);

		return "t" +
		       std::to_string(i < kb_rng_below(&rng, TEAMS) ? i : 0);
	}

	Statement *open_transaction()
	{
		for (size_t i = all.size(); i-- > 0 && i + 20 > all.size();)
			if (all[i]->transaction && kb_rng_below(&rng, 2))
				return all[i].get();
		return nullptr;
	}

	void submit()
	{
		static const kbs_kind kinds[] = { KBS_READ, KBS_WRITE,
						  KBS_READ };
		const Statement *open =
			kb_rng_below(&rng, 3) ? nullptr : open_transaction();
		std::string name = open ? open->team : team();
		kbs_kind kind = kinds[kb_rng_below(&rng, 3)];

		if (open && kb_rng_below(&rng, 2))
			kind = KBS_COMMIT;
		all.push_back(std::make_unique<Statement>(
			kind,
			(name + "." + std::to_string(all.size())).c_str()));
		all.back()->of_team(name);
		all.back()->args.priority = (u_int)kb_rng_below(&rng, 4);
		all.back()->args.transactional =
			open || kb_rng_below(&rng, 4) == 0;
		all.back()->args.transaction = open ? open->transaction : 0;
		if (kb_rng_below(&rng, 4) == 0)
			all.back()->set("region", "north");
		kb_link_pool_run(&pool, &all.back()->args, Statement::done,
				 all.back().get());
	}

	void roll_back()
	{
		const Statement *open = open_transaction();

		if (!open)
			return;
		rollbacks.push_back(std::make_unique<Statement>(KBS_ROLLBACK));
		rollbacks.back()->of_team(open->team);
		rollbacks.back()->args.transaction = open->transaction;
		kb_link_pool_run(&pool, &rollbacks.back()->args,
				 Statement::done, rollbacks.back().get());
	}

	void target_event()
	{
		FakeLink *link = connector.links[kb_rng_below(
			&rng, connector.links.size())];

		for (FakeLink *other : connector.links)
			if (!other->closed &&
			    (other->waiting || other->opening) &&
			    kb_rng_below(&rng, 2))
				link = other;
		if (link->closed)
			return;
		if (kb_rng_below(&rng, 40) == 0)
			connector.lose(link);
		else if (link->opening)
			connector.opened(link, kb_rng_below(&rng, 12) == 0
						       ? KB_ERR_TOO_MANY
						       : KB_OK);
		else if (link->waiting)
			connector.answer(link, kb_rng_below(&rng, 12) == 0
						       ? KB_ERR_OVERLOADED
						       : KB_OK);
	}

	void change_limit()
	{
		limit = 1 + (unsigned)kb_rng_below(&rng, 7);
		bind(kb_rng_below(&rng, 3) ? place.target.data : "t2");
		if (kb_rng_below(&rng, 3) == 0)
			bind("t1");
	}

	/* Gives an idle connection to another team. */
	void mix_up()
	{
		for (kb_pool_conn_t *conn = pool.conns; conn;
		     conn = conn->next) {
			kb_pool_team_t *other = pool.teams;

			if (conn->state != KB_POOL_CONN_IDLE ||
			    conn->team == other)
				continue;
			kb_team_share_move(&pool.share, &conn->team->use,
					   KB_TEAM_CONN_IDLE, KB_TEAM_CONN_NONE,
					   time.now);
			conn->team = other;
			kb_team_share_move(&pool.share, &other->use,
					   KB_TEAM_CONN_NONE, KB_TEAM_CONN_IDLE,
					   time.now);
			return;
		}
	}

	void step()
	{
		switch (kb_rng_below(&rng, 16)) {
		case 0:
		case 1:
		case 2:
		case 3:
			submit();
			break;
		case 4:
			roll_back();
			break;
		case 5:
			if (kb_rng_below(&rng, 10) == 0)
				change_limit();
			else if (broken == Broken::TEAM)
				mix_up();
			break;
		case 6:
		case 7:
			time.now += (kb_time_t)kb_rng_below(&rng, 60) * MS;
			kb_link_pool_tick(&pool);
			break;
		default:
			if (!connector.links.empty())
				target_event();
			break;
		}
		check();
	}

	void check()
	{
		for (; checked < connector.links.size(); checked++)
			above_limit +=
				connector.links[checked]->opened_as > limit;
		for (const FakeLink *link : connector.links)
			foreign += !link->id.empty() &&
				   link->team != link->id.substr(
							 0, link->id.find('.'));
	}

	void play()
	{
		for (int i = 0; i < 1500; i++)
			step();
		for (int i = 0; i < 500; i++) {
			time.now += 80 * MS;
			kb_link_pool_tick(&pool);
		}
		for (const auto &statement : all)
			not_ended_once += statement->ended != 1;
		above_limit += connector.open_count() > limit;
	}
};

} // namespace

TEST(PoolTeamsRandom, RulesHoldUnderRandomEvents)
{
	size_t opened = 0;
	size_t statements = 0;

	for (uint64_t seed = 1; seed <= 150; seed++) {
		RandomTeams run(seed, Broken::NOT);

		run.play();
		EXPECT_EQ(0u, run.foreign) << seed;
		EXPECT_EQ(0u, run.above_limit) << seed;
		EXPECT_EQ(0u, run.not_ended_once) << seed;
		EXPECT_EQ(0u, run.pool.share.conns) << seed;
		EXPECT_EQ(0u, run.pool.share.transactions) << seed;
		EXPECT_EQ(0u, run.pool.share.opening) << seed;
		opened += run.pool.counters.opened;
		statements += run.pool.counters.statements;
	}
	/* The events did exercise the pool. */
	EXPECT_GT(opened, 2000u);
	EXPECT_GT(statements, 10000u);
}

TEST(PoolTeamsRandom, CheckerFindsAConnectionThatChangedItsTeam)
{
	size_t found = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		RandomTeams run(seed, Broken::TEAM);

		run.play();
		found += run.foreign != 0;
	}
	EXPECT_GE(found, 15u);
}

TEST(PoolTeamsRandom, CheckerFindsAConnectionAboveTheLimit)
{
	size_t found = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		RandomTeams run(seed, Broken::LIMIT);

		run.play();
		found += run.above_limit != 0;
	}
	EXPECT_GE(found, 15u);
}
