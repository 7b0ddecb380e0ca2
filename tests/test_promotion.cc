#include "failover_fixture.h"
#include "promotion.h"

#include <vector>

struct promotion_fixture : ::testing::Test {
	struct holder {
		kb_promotion_t promotion;
		std::vector<kb_command_t> sent;
	} h = {};
	kb_promotion_params_t params;
	kb_promotion_plan_t plan = {};

	static void send(kb_promotion_t *promotion, const kb_command_t *order)
	{
		reinterpret_cast<holder *>(promotion)->sent.push_back(*order);
	}

	void SetUp() override
	{
		static const kb_promotion_ops_t ops = { send };

		h.sent.clear();
		kb_promotion_params_init(&params);
		kb_promotion_init(&h.promotion, &ops, &params);
		plan = {};
		plan.term = 5;
		plan.target_count = 3;
		plan.reachable = 6;
		plan.preferred = KB_NO_TARGET;
	}

	void start()
	{
		kb_promotion_start(&h.promotion, 0, &plan);
		kb_promotion_on_timer(&h.promotion, 0);
	}

	size_t count(kb_command_kind_t kind, size_t target)
	{
		size_t n = 0;

		for (const auto &order : h.sent)
			n += order.kind == kind && order.target == target;
		return n;
	}

	void answer(kb_time_t now, kb_command_kind_t kind, size_t target,
		    int granted, kb_report_t report, uint64_t term = 5)
	{
		kb_command_t order = { kind, target, term };

		kb_promotion_on_answer(&h.promotion, now, &order, granted,
				       &report);
		kb_promotion_on_timer(&h.promotion, now);
	}

	void fenced(kb_time_t now, size_t target, uint64_t received,
		    const char *history)
	{
		answer(now, KB_COMMAND_FENCE, target, 1,
		       make_report(5, KB_ROLE_REPLICA, received, history));
	}

	/* Fences targets 1 and 2 with equal logs and lets the hold pass. */
	void reach_promoting()
	{
		start();
		fenced(MS, 1, 9, "1:1");
		fenced(MS, 2, 9, "1:1");
		kb_promotion_on_timer(&h.promotion, MS + params.hold);
		ASSERT_EQ(KB_PROMOTION_PROMOTING, h.promotion.state);
	}
};

TEST_F(promotion_fixture, ChoosesByTermOfTheLastEntryThenPosition)
{
	struct fence {
		size_t target;
		uint64_t received;
		const char *history;
	};
	struct {
		const char *what;
		std::vector<fence> fences;
		unsigned avoided;
		size_t preferred, chosen;
	} cases[] = {
		{ "longer log",
		  { { 1, 8, "1:1" }, { 2, 9, "1:1" } },
		  0,
		  KB_NO_TARGET,
		  2 },
		{ "newer term before longer log",
		  { { 1, 8, "1:1,4:8" }, { 2, 99, "1:1" } },
		  0,
		  KB_NO_TARGET,
		  1 },
		{ "equal, the preferred one",
		  { { 1, 9, "1:1" }, { 2, 9, "1:1" } },
		  0,
		  2,
		  2 },
		{ "equal, the first",
		  { { 1, 9, "1:1" }, { 2, 9, "1:1" } },
		  0,
		  KB_NO_TARGET,
		  1 },
		{ "preferred but shorter",
		  { { 1, 9, "1:1" }, { 2, 8, "1:1" } },
		  0,
		  2,
		  1 },
		{ "avoided, the rest is a majority",
		  { { 0, 10, "1:1" }, { 1, 8, "1:1" }, { 2, 9, "1:1" } },
		  1,
		  KB_NO_TARGET,
		  2 },
		{ "avoided, the rest is no majority",
		  { { 0, 10, "1:1" }, { 2, 9, "1:1" } },
		  1,
		  KB_NO_TARGET,
		  0 },
		{ "avoided and equal, the rest is no majority",
		  { { 0, 10, "1:1" }, { 2, 10, "1:1" } },
		  1,
		  0,
		  2 },
	};

	for (const auto &c : cases) {
		SetUp();
		plan.avoided = c.avoided;
		plan.preferred = c.preferred;
		start();
		for (const auto &f : c.fences)
			fenced(MS, f.target, f.received, f.history);
		kb_promotion_on_timer(&h.promotion, MS + params.hold);
		EXPECT_EQ(c.chosen, h.promotion.chosen) << c.what;
		EXPECT_EQ(1u, count(KB_COMMAND_PROMOTE, c.chosen)) << c.what;
	}
}

TEST_F(promotion_fixture, PromotesNothingWithoutAMajority)
{
	start();
	for (kb_time_t now = MS; now < params.fence_timeout; now += 50 * MS) {
		fenced(now, 2, 9, "1:1");
		EXPECT_EQ(KB_PROMOTION_FENCING, h.promotion.state);
	}
	kb_promotion_on_timer(&h.promotion, params.fence_timeout);
	EXPECT_EQ(KB_PROMOTION_FAILED, h.promotion.state);
	EXPECT_FALSE(h.promotion.is_superseded);
	EXPECT_EQ(0u, count(KB_COMMAND_PROMOTE, 2));
	EXPECT_EQ(1u, count(KB_COMMAND_FENCE, 2));
	EXPECT_GT(count(KB_COMMAND_FENCE, 1), 5u);
}

TEST_F(promotion_fixture, HoldsAfterTheMajorityAndTakesFencesMeanwhile)
{
	start();
	fenced(MS, 1, 8, "1:1");
	fenced(2 * MS, 2, 9, "1:1");
	EXPECT_EQ(KB_PROMOTION_WAITING, h.promotion.state);
	fenced(params.hold, 0, 10, "1:1");
	EXPECT_EQ(KB_PROMOTION_WAITING, h.promotion.state);
	EXPECT_EQ(2 * MS + params.hold,
		  kb_promotion_on_timer(&h.promotion, params.hold));
	kb_promotion_on_timer(&h.promotion, 2 * MS + params.hold);
	EXPECT_EQ(0u, h.promotion.chosen);
}

TEST_F(promotion_fixture, WithoutHoldItWaitsForReachableTargetsOnly)
{
	params.hold = 0;
	for (unsigned reachable : { 6u, 7u }) {
		static const kb_promotion_ops_t ops = { send };

		kb_promotion_init(&h.promotion, &ops, &params);
		plan.reachable = reachable;
		start();
		fenced(MS, 1, 8, "1:1");
		fenced(MS, 2, 9, "1:1");
		EXPECT_EQ(reachable == 7 ? KB_PROMOTION_WAITING
					 : KB_PROMOTION_PROMOTING,
			  h.promotion.state);
	}
}

TEST_F(promotion_fixture, LostAnswerRepeatsTheSameOrderAndNeverAnother)
{
	size_t chosen;

	reach_promoting();
	chosen = h.promotion.chosen;
	for (kb_time_t now = MS + params.hold; now < 2000 * MS; now += 10 * MS)
		kb_promotion_on_timer(&h.promotion, now);
	EXPECT_GE(count(KB_COMMAND_PROMOTE, chosen), 4u);
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(i == chosen, count(KB_COMMAND_PROMOTE, i) > 0);
	EXPECT_EQ(KB_PROMOTION_FAILED, h.promotion.state);
}

TEST_F(promotion_fixture, AnswersEndIt)
{
	const kb_role_t P = KB_ROLE_PRIMARY, R = KB_ROLE_REPLICA;
	struct {
		const char *what;
		kb_command_kind_t kind;
		size_t target;
		int granted;
		uint64_t term;
		kb_report_t report;
		kb_promotion_state_t state;
	} cases[] = {
		{ "granted", KB_COMMAND_PROMOTE, 1, 1, 5,
		  make_report(5, P, 10, "1:1,5:10"), KB_PROMOTION_DONE },
		{ "refused", KB_COMMAND_PROMOTE, 1, 0, 5,
		  make_report(6, R, 9, "1:1"), KB_PROMOTION_FAILED },
		{ "answer of an older attempt", KB_COMMAND_PROMOTE, 2, 1, 4,
		  make_report(4, P, 9, "1:1"), KB_PROMOTION_PROMOTING },
		{ "late refusal of a fence", KB_COMMAND_FENCE, 0, 0, 5,
		  make_report(6, R, 9, "1:1"), KB_PROMOTION_PROMOTING },
		{ "duplicate fence", KB_COMMAND_FENCE, 1, 1, 5,
		  make_report(5, R, 9, "1:1"), KB_PROMOTION_PROMOTING },
		{ "answer to a follow", KB_COMMAND_FOLLOW, 1, 1, 5,
		  make_report(5, R, 9, "1:1"), KB_PROMOTION_PROMOTING },
		{ "target out of range", KB_COMMAND_PROMOTE, 9, 1, 5,
		  make_report(5, P, 9, "1:1"), KB_PROMOTION_PROMOTING },
	};

	for (const auto &c : cases) {
		SetUp();
		reach_promoting();
		answer(MS + params.hold + MS, c.kind, c.target, c.granted,
		       c.report, c.term);
		EXPECT_EQ(c.state, h.promotion.state) << c.what;
	}
}

TEST_F(promotion_fixture, ProbesShowWhatLostAnswersHide)
{
	const kb_role_t P = KB_ROLE_PRIMARY, R = KB_ROLE_REPLICA;
	struct {
		const char *what;
		size_t target;
		kb_report_t report;
		kb_promotion_state_t state;
	} cases[] = {
		{ "the chosen target is primary", 1,
		  make_report(5, P, 10, "1:1,5:10"), KB_PROMOTION_DONE },
		{ "newer term", 2, make_report(6, R, 9, "1:1"),
		  KB_PROMOTION_FAILED },
		{ "not yet", 1, make_report(5, R, 9, "1:1"),
		  KB_PROMOTION_PROMOTING },
		{ "old primary", 0, make_report(1, P, 9, "1:1"),
		  KB_PROMOTION_PROMOTING },
	};

	for (const auto &c : cases) {
		SetUp();
		reach_promoting();
		kb_promotion_on_report(&h.promotion, MS + params.hold + MS,
				       c.target, &c.report);
		EXPECT_EQ(c.state, h.promotion.state) << c.what;
	}
}

TEST_F(promotion_fixture, RefusedFenceYieldsToTheOtherPromoter)
{
	for (uint64_t term : { 5, 6 }) {
		SetUp();
		start();
		answer(MS, KB_COMMAND_FENCE, 1, 0,
		       make_report(term, KB_ROLE_REPLICA, 9, "1:1"));
		EXPECT_EQ(KB_PROMOTION_FAILED, h.promotion.state);
		EXPECT_TRUE(h.promotion.is_superseded);
	}
}

TEST_F(promotion_fixture, NoFenceIsSentOnceItHasChosen)
{
	size_t before;

	reach_promoting();
	before = count(KB_COMMAND_FENCE, 0);
	for (int i = 1; i < 40; i++)
		kb_promotion_on_timer(&h.promotion,
				      MS + params.hold + i * 10 * MS);
	EXPECT_EQ(before, count(KB_COMMAND_FENCE, 0));
}
