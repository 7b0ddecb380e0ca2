#include "change_simulation.h"

/* Assigns the outcomes of a list to successive calls, then FINE. */
static std::function<CallOutcome(bool)>
in_order(std::vector<CallOutcome> outcomes)
{
	auto next = std::make_shared<size_t>(0);

	return [outcomes, next](bool) {
		return *next < outcomes.size() ? outcomes[(*next)++] : ANSWERED;
	};
}

static const int64_t REV = 11;

TEST(Change, OutcomeMatchesTheAnswersOfTheStore)
{
	/* The key exists with change id "old" at revision 11. */
	struct {
		bool remove;
		int64_t condition;
		std::vector<CallOutcome> outcomes;
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
		{ false,
		  REV,
		  { ANSWERED, UNREACHABLE },
		  KB_ERR_UNREACHABLE,
		  1 },
		{ false, REV, { ANSWERED, APPLIED_LOST }, KB_OK, 1 },
		{ false,
		  REV,
		  { ANSWERED, APPLIED_LOST, LOST, ANSWERED },
		  KB_OK,
		  1 },
		{ false, REV, { ANSWERED, APPLIED_LOST, STALE }, KB_OK, 2 },
		{ false, REV, { ANSWERED, LOST }, KB_OK, 2 },
		{ false, REV, { ANSWERED, LATE }, KB_OK, 2 },
		{ false,
		  REV,
		  { ANSWERED, LOST, ANSWERED, UNREACHABLE },
		  KB_OK,
		  3 },
		{ true, REV, { ANSWERED, APPLIED_LOST }, KB_OK, 2 },
		{ true, REV, { ANSWERED, LOST }, KB_OK, 2 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const auto &c = cases[i];
		Simulation simulation;

		simulation.store.write(
			"{\"spec\":{\"state\":\"active\"},\"change\":"
			"{\"id\":\"old\"}}",
			false, 0, 0);
		simulation.next_outcome = in_order(c.outcomes);
		Operator op(simulation, "new", c.remove, c.condition);

		op.start();
		simulation.run();
		EXPECT_EQ(c.result, op.result) << "case " << i;
		EXPECT_EQ(c.writes, op.writes) << "case " << i;
		EXPECT_EQ(c.result == KB_OK, simulation.store.count("new") == 1)
			<< "case " << i;
		EXPECT_EQ(c.result == KB_ERR_CONFLICT,
			  op.current.find("old") != std::string::npos)
			<< "case " << i;
	}
}

TEST(Change, MissingResource)
{
	Simulation simulation;
	Operator create(simulation, "a", false, KB_STORE_ABSENT);
	Operator conditional(simulation, "b", false, 7);
	Operator remove(simulation, "c", true, KB_STORE_ANY);

	conditional.start();
	remove.start();
	simulation.run();
	EXPECT_EQ(KB_ERR_CONFLICT, conditional.result);
	EXPECT_EQ(KB_ERR_NOT_FOUND, remove.result);
	create.start();
	simulation.run();
	EXPECT_EQ(KB_OK, create.result);
	EXPECT_EQ(11, create.revision);
}

TEST(Change, RepeatedSubmissionIsRecognised)
{
	Simulation simulation;
	Operator first(simulation, "same", false, KB_STORE_ABSENT);
	Operator again(simulation, "same", false, KB_STORE_ABSENT);

	first.start();
	simulation.run();
	again.start();
	simulation.run();
	EXPECT_EQ(KB_OK, again.result);
	EXPECT_EQ(11, again.revision);
	EXPECT_EQ(0u, again.writes);
}

TEST(Change, UnresponsiveStoreEndsAtTheDeadline)
{
	Simulation simulation;
	Operator op(simulation, "a", false, KB_STORE_ABSENT);
	int calls = 0;

	/* The reads of value and record succeed, then all calls time out. */
	simulation.next_outcome = [&](bool) {
		return calls++ < 2 ? ANSWERED : LOST;
	};
	op.start();
	simulation.run();
	EXPECT_EQ(KB_ERR_UNKNOWN, op.result);
	EXPECT_LE(simulation.now, 10 * KB_NS_PER_S);
}

TEST(Change, CreationThatWasDeletedIsNotRepeated)
{
	Simulation simulation;
	Operator create(simulation, "new", false, KB_STORE_ABSENT);
	Operator remove(simulation, "gone", true, KB_STORE_ANY);

	simulation.next_outcome =
		in_order({ ANSWERED, ANSWERED, APPLIED_LOST });
	create.start();
	simulation.after(5 * KB_NS_PER_MS, [&] { remove.start(); });
	simulation.run();
	EXPECT_EQ(KB_OK, remove.result);
	EXPECT_EQ(KB_ERR_UNKNOWN, create.result);
	EXPECT_EQ(1u, simulation.store.count("new"));
	EXPECT_FALSE(simulation.store.now());
}

/* Operators race while answers are lost, late, stale or refused. */
static void race(uint64_t seed)
{
	std::mt19937_64 random(seed);
	std::vector<std::unique_ptr<Operator>> operators;
	std::vector<std::string> ids;
	Simulation simulation;
	auto below = [&](uint64_t n) { return random() % n; };

	simulation.next_outcome = [&](bool write) {
		static const CallOutcome writes[] = { ANSWERED,	  ANSWERED,
						      ANSWERED,	  APPLIED_LOST,
						      LOST,	  LATE,
						      UNREACHABLE };
		static const CallOutcome reads[] = { ANSWERED, ANSWERED,
						     ANSWERED, ANSWERED,
						     STALE,    LOST };

		return write ? writes[below(7)] : reads[below(6)];
	};
	for (int i = 0; i < 6; i++) {
		int64_t condition =
			below(2) ? KB_STORE_ANY : (int64_t)below(4) + 10;

		if (condition == 10)
			condition = KB_STORE_ABSENT;
		ids.push_back("id-" + std::to_string(i));
		operators.emplace_back(new Operator(simulation, ids.back(),
						    !below(4), condition,
						    random()));
		simulation.after(
			(kb_time_t)below(900) * KB_NS_PER_MS,
			[op = operators.back().get()] { op->start(); });
	}
	simulation.run();
	for (size_t i = 0; i < operators.size(); i++) {
		size_t count = simulation.store.count(ids[i]);
		auto result = operators[i]->result;

		ASSERT_TRUE(result) << "seed " << seed;
		EXPECT_LE(count, 1u) << "seed " << seed << " " << ids[i];
		/*
		 * A deletion without a revision found the resource absent after
		 * a lost answer: another operator may have deleted it.
		 */
		if (*result == KB_ERR_UNKNOWN ||
		    (*result == KB_OK && !operators[i]->revision))
			continue;
		EXPECT_EQ(*result == KB_OK ? 1u : 0u, count)
			<< "seed " << seed << " " << i << " " << *result;
	}
}

TEST(Change, RacesAndLostAnswersNeverGiveAWrongOutcome)
{
	for (uint64_t seed = 1; seed <= 10000; seed++)
		race(seed);
}
