#include "change_simulation.h"

/* Gives the calls the fates of a list, then FINE. */
static std::function<Fate(bool)> in_order(std::vector<Fate> fates)
{
	auto next = std::make_shared<size_t>(0);

	return [fates, next](bool) {
		return *next < fates.size() ? fates[(*next)++] : FINE;
	};
}

static const int64_t REV = 11;

TEST(Change, EndsAsTheStoresAnswersAllow)
{
	/* The key exists with change id "old" at revision 11. */
	struct {
		bool remove;
		int64_t condition;
		std::vector<Fate> fates;
		kb_result_t result;
		unsigned writes;
	} cases[] = {
		{ false, REV, {}, KB_OK, 1 },
		{ false, KB_STORE_ANY, {}, KB_OK, 1 },
		{ false, REV - 1, {}, KB_ERR_CONFLICT, 1 },
		{ false, KB_STORE_ABSENT, {}, KB_ERR_CONFLICT, 1 },
		{ true, REV, {}, KB_OK, 1 },
		{ true, KB_STORE_ANY, {}, KB_OK, 1 },
		{ true, REV - 1, {}, KB_ERR_CONFLICT, 1 },
		{ false, REV, { UNREACHABLE }, KB_ERR_UNREACHABLE, 0 },
		{ false, REV, { LOST }, KB_ERR_DEADLINE, 0 },
		{ false, REV, { STALE }, KB_OK, 1 },
		{ false, KB_STORE_ANY, { STALE }, KB_OK, 2 },
		{ false, REV, { FINE, UNREACHABLE }, KB_ERR_UNREACHABLE, 1 },
		{ false, REV, { FINE, APPLIED_LOST }, KB_OK, 1 },
		{ false, REV, { FINE, APPLIED_LOST, LOST, FINE }, KB_OK, 1 },
		{ false, REV, { FINE, APPLIED_LOST, STALE }, KB_OK, 2 },
		{ false, REV, { FINE, LOST }, KB_OK, 2 },
		{ false, REV, { FINE, LATE }, KB_OK, 2 },
		{ false, REV, { FINE, LOST, FINE, UNREACHABLE }, KB_OK, 3 },
		{ true, REV, { FINE, APPLIED_LOST }, KB_OK, 2 },
		{ true, REV, { FINE, LOST }, KB_OK, 2 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const auto &c = cases[i];
		World world;

		world.store.write("{\"spec\":{\"state\":\"active\"},\"change\":"
				  "{\"id\":\"old\"}}",
				  false, 0, 0);
		world.fate = in_order(c.fates);
		Operator op(world, "new", c.remove, c.condition);

		op.start();
		world.run();
		EXPECT_EQ(c.result, op.result) << "case " << i;
		EXPECT_EQ(c.writes, op.writes) << "case " << i;
		EXPECT_EQ(c.result == KB_OK, world.store.count("new") == 1)
			<< "case " << i;
		EXPECT_EQ(c.result == KB_ERR_CONFLICT,
			  op.current.find("old") != std::string::npos)
			<< "case " << i;
	}
}

TEST(Change, MissingResource)
{
	World world;
	Operator create(world, "a", false, KB_STORE_ABSENT);
	Operator conditional(world, "b", false, 7);
	Operator remove(world, "c", true, KB_STORE_ANY);

	conditional.start();
	remove.start();
	world.run();
	EXPECT_EQ(KB_ERR_CONFLICT, conditional.result);
	EXPECT_EQ(KB_ERR_NOT_FOUND, remove.result);
	create.start();
	world.run();
	EXPECT_EQ(KB_OK, create.result);
	EXPECT_EQ(11, create.revision);
}

TEST(Change, RepeatedSubmissionIsRecognised)
{
	World world;
	Operator first(world, "same", false, KB_STORE_ABSENT);
	Operator again(world, "same", false, KB_STORE_ABSENT);

	first.start();
	world.run();
	again.start();
	world.run();
	EXPECT_EQ(KB_OK, again.result);
	EXPECT_EQ(11, again.revision);
	EXPECT_EQ(0u, again.writes);
}

TEST(Change, StoreThatStaysSilentEndsAtTheDeadline)
{
	World world;
	Operator op(world, "a", false, KB_STORE_ABSENT);
	int calls = 0;

	/* Value and record are read, then nothing is answered. */
	world.fate = [&](bool) { return calls++ < 2 ? FINE : LOST; };
	op.start();
	world.run();
	EXPECT_EQ(KB_ERR_UNKNOWN, op.result);
	EXPECT_LE(world.now, 10 * KB_NS_PER_S);
}

TEST(Change, CreationThatWasDeletedIsNotRepeated)
{
	World world;
	Operator create(world, "new", false, KB_STORE_ABSENT);
	Operator remove(world, "gone", true, KB_STORE_ANY);

	world.fate = in_order({ FINE, FINE, APPLIED_LOST });
	create.start();
	world.after(5 * KB_NS_PER_MS, [&] { remove.start(); });
	world.run();
	EXPECT_EQ(KB_OK, remove.result);
	EXPECT_EQ(KB_ERR_UNKNOWN, create.result);
	EXPECT_EQ(1u, world.store.count("new"));
	EXPECT_FALSE(world.store.now());
}

/* Operators race while calls are lost, late, stale and refused. */
static void race(uint64_t seed)
{
	std::mt19937_64 random(seed);
	std::vector<std::unique_ptr<Operator>> operators;
	std::vector<std::string> ids;
	World world;
	auto below = [&](uint64_t n) { return random() % n; };

	world.fate = [&](bool write) {
		static const Fate writes[] = { FINE,	     FINE, FINE,
					       APPLIED_LOST, LOST, LATE,
					       UNREACHABLE };
		static const Fate reads[] = { FINE, FINE,  FINE,
					      FINE, STALE, LOST };

		return write ? writes[below(7)] : reads[below(6)];
	};
	for (int i = 0; i < 6; i++) {
		int64_t condition =
			below(2) ? KB_STORE_ANY : (int64_t)below(4) + 10;

		if (condition == 10)
			condition = KB_STORE_ABSENT;
		ids.push_back("id-" + std::to_string(i));
		operators.emplace_back(new Operator(
			world, ids.back(), !below(4), condition, random()));
		world.after((kb_time_t)below(900) * KB_NS_PER_MS,
			    [op = operators.back().get()] { op->start(); });
	}
	world.run();
	for (size_t i = 0; i < operators.size(); i++) {
		size_t count = world.store.count(ids[i]);
		auto result = operators[i]->result;

		ASSERT_TRUE(result) << "seed " << seed;
		EXPECT_LE(count, 1u) << "seed " << seed << " " << ids[i];
		/* A deletion without a revision was another's. */
		if (*result == KB_ERR_UNKNOWN ||
		    (*result == KB_OK && !operators[i]->revision))
			continue;
		EXPECT_EQ(*result == KB_OK ? 1u : 0u, count)
			<< "seed " << seed << " " << i << " " << *result;
	}
}

TEST(Change, RacesAndLostAnswersNeverDeceiveAnOperator)
{
	for (uint64_t seed = 1; seed <= 10000; seed++)
		race(seed);
}
