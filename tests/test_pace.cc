#include "pace_model.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr kb_time_t S = KB_NS_PER_S;
constexpr unsigned SLOTS = 6;
constexpr kb_time_t WORK = 30 * MS;

/* Service times: all equal, or log-normal with the same mean. */
enum Spread { EQUAL, SPREAD };

struct Times {
	kb_rng_t rng;
	Spread spread;

	kb_time_t next(kb_time_t mean)
	{
		constexpr double SIGMA = 0.7;
		double a = (double)(kb_rng_below(&rng, 1000000) + 1) / 1000001;
		double b = (double)kb_rng_below(&rng, 1000000) / 1000000;
		double normal = std::sqrt(-2 * std::log(a)) *
				std::cos(2 * 3.14159265 * b);

		if (spread == EQUAL)
			return mean;
		return (kb_time_t)((double)mean * std::exp(SIGMA * normal -
							   SIGMA * SIGMA / 2));
	}
};

/* A target of `slots` whose work takes `slow(t)` times as long. */
ModelTarget target(
	Spread spread, unsigned slots = SLOTS,
	std::function<double(kb_time_t)> slow = [](kb_time_t) { return 1.0; },
	uint64_t seed = 7)
{
	auto times = std::make_shared<Times>();
	ModelTarget model;

	kb_rng_init(&times->rng, seed);
	times->spread = spread;
	model.slots = [slots](kb_time_t) { return slots; };
	model.work = [times, slow](kb_time_t t) {
		return times->next((kb_time_t)((double)WORK * slow(t)));
	};
	return model;
}

/* Statements that always wait, as many as any of the days can serve. */
constexpr unsigned ENDLESS = 100000;

typedef std::function<void(PaceModel &)> plan_t;

struct Pair {
	PaceModel::Result plain, paced;
};

/* Plays the same with the plain limit and with the pace. */
Pair play(const std::function<ModelTarget()> &make, kb_time_t until,
	  const plan_t &plan, unsigned reported = SLOTS)
{
	PaceModel plain(make(), reported, false);
	PaceModel paced(make(), reported, true);

	plan(plain);
	plan(paced);
	return { plain.run(until), paced.run(until) };
}

void print(const char *name, const Pair &pair)
{
	for (const PaceModel::Result *r : { &pair.plain, &pair.paced })
		printf("%-34s %s sent %6u done %6u rejected %5u silent %3u"
		       " lost %3u full %5.0f idle %7.0f p50 %6.0f p99 %6.0f"
		       " in-flight %.1f cuts %u\n",
		       name, r == &pair.plain ? "plain" : "paced", r->sent,
		       r->done, r->rejected, r->silent, r->lost,
		       r->full_at == KB_TIME_NEVER ? -1.0
						   : (double)r->full_at / MS,
		       (double)r->idle / MS, (double)r->wait(50) / MS,
		       (double)r->wait(99) / MS, r->mean_in_flight,
		       (unsigned)r->cuts);
}

} // namespace

/* What the limit is by state, for a target of 6 slots and a limit of 7. */
TEST(Pace, LimitFollowsEachEvent)
{
	constexpr unsigned LIMIT = SLOTS + 1;
	kb_pace_t pace;
	kb_pace_mark_t mark;

	kb_pace_init(&pace, 1);
	kb_pace_bind(&pace, SLOTS, 1);
	EXPECT_EQ(1u, kb_pace_limit(&pace, LIMIT, S));
	kb_pace_on_opened(&pace);
	EXPECT_EQ(3u, kb_pace_limit(&pace, LIMIT, S));
	for (unsigned i = 0; i < 3; i++) {
		mark = kb_pace_on_sent(&pace, 0);
		kb_pace_on_answered(&pace, &mark, WORK, KB_OK, S);
	}
	EXPECT_EQ(LIMIT, kb_pace_limit(&pace, LIMIT, S));
	/* An answer that is missing alone changes nothing. */
	mark = kb_pace_on_sent(&pace, 0);
	kb_pace_mark_t other = kb_pace_on_sent(&pace, 1);
	kb_pace_on_answered(&pace, &other, WORK, KB_OK, S);
	kb_pace_on_silent(&pace, &mark);
	EXPECT_EQ(LIMIT, kb_pace_limit(&pace, LIMIT, S));
	/* Silence leaves one statement, and one answer is enough to rise. */
	mark = kb_pace_on_sent(&pace, 0);
	kb_pace_on_silent(&pace, &mark);
	EXPECT_EQ(1u, kb_pace_limit(&pace, LIMIT, S));
	mark = kb_pace_on_sent(&pace, 0);
	kb_pace_on_answered(&pace, &mark, WORK, KB_OK, S);
	EXPECT_EQ(3u, kb_pace_limit(&pace, LIMIT, S));
	/* One lost connection of several changes nothing, the last one does. */
	kb_pace_on_lost(&pace, 1);
	EXPECT_EQ(3u, kb_pace_limit(&pace, LIMIT, S));
	kb_pace_on_lost(&pace, 0);
	EXPECT_EQ(1u, kb_pace_limit(&pace, LIMIT, S));
	kb_pace_on_opened(&pace);
	EXPECT_EQ(3u, kb_pace_limit(&pace, LIMIT, S));
	kb_pace_bind(&pace, SLOTS, 1);
	EXPECT_EQ(1u, kb_pace_limit(&pace, LIMIT, S));
}

/* A failed statement shows neither room nor the lack of it. */
TEST(Pace, FailedStatementsNeitherRaiseNorCut)
{
	kb_pace_t pace;

	kb_pace_init(&pace, 1);
	kb_pace_bind(&pace, SLOTS, 1);
	kb_pace_on_opened(&pace);
	for (unsigned i = 0; i < 100; i++) {
		kb_pace_mark_t mark = kb_pace_on_sent(&pace, 0);

		kb_pace_on_answered(&pace, &mark, 1 * MS, KB_ERR_STATEMENT, S);
		EXPECT_EQ(SLOTS / 2, kb_pace_limit(&pace, SLOTS + 1, S));
	}
}

/* Rejected probes wait longer and longer, and say until when. */
TEST(Pace, RejectedProbesWait)
{
	kb_pace_t pace;
	kb_time_t now = S;

	kb_pace_init(&pace, 1);
	kb_pace_bind(&pace, SLOTS, 1);
	kb_pace_on_opened(&pace);
	for (kb_time_t pause : { 0, 5, 10, 20, 40, 40 }) {
		kb_pace_mark_t mark = kb_pace_on_sent(&pace, 0);

		kb_pace_on_rejected(&pace, &mark, now);
		if (!pause) {
			EXPECT_EQ(KB_TIME_NEVER, kb_pace_next(&pace, now));
			continue;
		}
		EXPECT_EQ(0u, kb_pace_limit(&pace, SLOTS + 1, now));
		EXPECT_EQ(now + pause * MS, kb_pace_next(&pace, now));
		now += pause * MS;
		EXPECT_EQ(1u, kb_pace_limit(&pace, SLOTS + 1, now));
	}
}

TEST(Pace, WithoutItTheLimitIsAlwaysInForce)
{
	kb_pace_t pace;

	kb_pace_init(&pace, 0);
	kb_pace_bind(&pace, SLOTS, 1);
	for (unsigned i = 0; i < 100; i++) {
		kb_pace_mark_t mark = kb_pace_on_sent(&pace, 0);

		kb_pace_on_rejected(&pace, &mark, S);
		kb_pace_on_silent(&pace, &mark);
		kb_pace_on_lost(&pace, 0);
		EXPECT_EQ(SLOTS + 1, kb_pace_limit(&pace, SLOTS + 1, S));
		EXPECT_EQ(SLOTS, kb_pace_slots(&pace, SLOTS));
	}
}

/* A warm target that is well gets what it gets without the pace. */
TEST(Pace, WarmTargetIsNeverCut)
{
	for (Spread spread : { EQUAL, SPREAD })
		for (unsigned slots : { 2U, 4U, 6U, 16U }) {
			auto make = [&] { return target(spread, slots); };
			Pair pair = play(
				make, 60 * S,
				[](PaceModel &model) {
					model.connect(0);
					model.arrive(0, ENDLESS);
					model.count_from = 1 * S;
				},
				slots);

			print("warm", pair);
			EXPECT_EQ(0u, pair.paced.cuts);
			EXPECT_GE(pair.paced.done * 1000,
				  pair.plain.done * 999);
			EXPECT_LE(pair.paced.idle,
				  pair.plain.idle + slots * WORK);
		}
}

/* The same at part of its load, where the window is seldom in full use. */
TEST(Pace, PartlyUsedTargetIsNeverCut)
{
	for (double load : { 0.3, 0.6, 0.9 }) {
		auto make = [] { return target(SPREAD); };
		Pair pair = play(make, 60 * S, [&](PaceModel &model) {
			model.connect(0);
			model.stream(1 * S, 59 * S, load * SLOTS * S / WORK);
			model.count_from = 1 * S;
		});

		print("part of its load", pair);
		EXPECT_EQ(0u, pair.paced.cuts);
		EXPECT_EQ(pair.plain.done, pair.paced.done);
		EXPECT_LE(pair.paced.wait(99), pair.plain.wait(99) + WORK);
	}
}

TEST(Pace, ColdStartIsNotFloodedAndNotIdle)
{
	for (Spread spread : { EQUAL, SPREAD }) {
		auto make = [&] {
			return target(spread, SLOTS, [](kb_time_t t) {
				return t < 3 * S ? 1.6 : 1.0;
			});
		};
		Pair pair = play(make, 5 * S, [](PaceModel &model) {
			model.connect(0);
			model.stream(0, 5 * S, 0.9 * SLOTS * S / WORK);
		});

		print("cold start", pair);
		EXPECT_EQ(SLOTS + 1, pair.plain.before_answer);
		EXPECT_LE(pair.paced.before_answer, SLOTS / 2);
		/* At the reported slots after a second answer of each. */
		EXPECT_LE(pair.paced.full_at,
			  pair.plain.full_at + 2 * WORK * 16 / 10);
		EXPECT_LE(pair.paced.idle - pair.plain.idle,
			  (SLOTS / 2 + 1) * WORK * 16 / 10);
		EXPECT_LE(pair.paced.wait(99),
			  pair.plain.wait(99) + WORK * 16 / 10);
	}
}

/* A target that is slow by itself gets as much work as its slots carry. */
TEST(Pace, SlowSpellCostsNoThroughput)
{
	for (Spread spread : { EQUAL, SPREAD }) {
		auto make = [&] {
			return target(spread, SLOTS, [](kb_time_t t) {
				return t >= 5 * S && t < 15 * S ? 5.0 : 1.0;
			});
		};
		auto plan = [](PaceModel &model) {
			model.connect(0);
			model.arrive(0, ENDLESS);
		};
		Pair during = play(make, 15 * S, [&](PaceModel &model) {
			plan(model);
			model.count_from = 5 * S;
		});
		Pair after = play(make, 20 * S, [&](PaceModel &model) {
			plan(model);
			model.count_from = 15 * S;
		});

		print("slow spell, during", during);
		print("slow spell, after", after);
		EXPECT_GE(during.paced.done * 100, during.plain.done * 95);
		EXPECT_GE(after.paced.done * 100, after.plain.done * 99);
	}
}

/* A target that has just started runs two statements at a time for a while. */
TEST(Pace, RestartUnderAQueueIsNotFlooded)
{
	for (Spread spread : { EQUAL, SPREAD }) {
		auto make = [&] {
			ModelTarget model =
				target(spread, SLOTS, [](kb_time_t t) {
					return t < 2 * S ? 1.6 : 1.0;
				});

			model.slots = [](kb_time_t t) {
				return t < 1 * S ? 2U : SLOTS;
			};
			model.queue = 1;
			model.down = [](kb_time_t t) { return t < 500 * MS; };
			return model;
		};
		Pair pair = play(make, 6 * S, [](PaceModel &model) {
			model.arrive(0, 200);
			model.connect(0);
			model.stream(0, 6 * S, 0.5 * SLOTS * S / WORK);
		});

		print("restart under a queue of 200", pair);
		EXPECT_GT(pair.plain.rejected, 60u);
		EXPECT_LT(pair.paced.rejected * 4, pair.plain.rejected);
		EXPECT_GE(pair.paced.done, pair.plain.done * 98 / 100);
		EXPECT_LE(pair.paced.wait(50), pair.plain.wait(50) * 11 / 10);
		EXPECT_LE(pair.paced.wait(99), pair.plain.wait(99) * 11 / 10);
	}
}

/* A silent target gets one statement at a time, whose outcome is unknown. */
TEST(Pace, DarkTargetGetsProbesAndRisesAtOnce)
{
	auto make = [] {
		ModelTarget model = target(SPREAD);

		model.dark = [](kb_time_t t) {
			return t >= 2 * S && t < 5 * S;
		};
		return model;
	};
	Pair pair = play(make, 8 * S, [](PaceModel &model) {
		model.connect(0);
		model.arrive(0, ENDLESS);
		model.count_from = 5 * S;
	});

	print("dark for 3 s", pair);
	EXPECT_GT(pair.plain.silent, 70u);
	/* Two full windows at the beginning, then one for each timeout. */
	EXPECT_LE(pair.paced.silent,
		  2 * (SLOTS + 1) + 3 * S / PaceModel::TIMEOUT);
	EXPECT_GE(pair.paced.silent, SLOTS);
	/* One timeout of the last probe at most, and the way up. */
	EXPECT_LE(pair.paced.idle,
		  pair.plain.idle + SLOTS * (PaceModel::TIMEOUT + 2 * WORK));
}

TEST(Pace, CrashAndReturn)
{
	auto make = [] {
		ModelTarget model = target(SPREAD, SLOTS, [](kb_time_t t) {
			return t >= 4 * S && t < 6 * S ? 1.6 : 1.0;
		});

		model.down = [](kb_time_t t) {
			return t >= 2 * S && t < 4 * S;
		};
		return model;
	};
	Pair pair = play(make, 10 * S, [](PaceModel &model) {
		model.connect(0);
		model.stream(0, 10 * S, 0.7 * SLOTS * S / WORK);
		model.crash(2 * S);
		model.count_from = 4 * S;
	});

	print("crash and return", pair);
	EXPECT_GE(pair.paced.done, pair.plain.done * 98 / 100);
	EXPECT_LE(pair.paced.before_answer, SLOTS / 2 + 0u);
	EXPECT_LE(pair.paced.wait(99), pair.plain.wait(99) + 2 * WORK);
}

/* The old gate goes on with what it was given when the new one begins. */
TEST(Pace, GateThatMovesBeginsWithACaution)
{
	for (unsigned queue : { 2U, 48U }) {
		auto make = [&] {
			ModelTarget model = target(SPREAD);

			model.queue = queue;
			return model;
		};
		Pair pair = play(make, 5 * S, [](PaceModel &model) {
			model.connect(0, 0);
			model.stream(0, 2 * S, 0.95 * SLOTS * S / WORK, 0);
			model.stream(2 * S, 5 * S, 0.8 * SLOTS * S / WORK, 1);
			model.arrive(2 * S, 40, 0);
			model.arrive(2 * S, 40, 1);
			model.connect(2 * S, 1);
			model.count_from = 2 * S;
		});

		print("gate that moves", pair);
		if (queue < SLOTS) {
			EXPECT_LT(pair.paced.rejected * 2, pair.plain.rejected);
		}
		EXPECT_GE(pair.paced.done, pair.plain.done * 98 / 100);
		EXPECT_LE(pair.paced.wait(99), pair.plain.wait(99) * 11 / 10);
	}
}

/* Alone at a target that is well, the caution of a new gate costs nothing. */
TEST(Pace, NewGateOfAWarmTargetLosesNothing)
{
	auto make = [] { return target(SPREAD); };
	Pair pair = play(make, 5 * S, [](PaceModel &model) {
		model.stream(0, 5 * S, 0.7 * SLOTS * S / WORK);
		model.connect(0);
	});

	print("new gate", pair);
	EXPECT_EQ(pair.plain.done, pair.paced.done);
	EXPECT_LE(pair.paced.wait(50), pair.plain.wait(50) + 1 * MS);
	EXPECT_LE(pair.paced.wait(99), pair.plain.wait(99) + WORK);
}

/* It reports 6 slots and has 2, with a short queue or a long one. */
TEST(Pace, TargetThatLiesAboutItsSlots)
{
	for (Spread spread : { EQUAL, SPREAD })
		for (unsigned queue : { 0U, 2U, 48U }) {
			auto make = [&] {
				ModelTarget model = target(spread, 2);

				model.queue = queue;
				return model;
			};
			Pair pair = play(make, 30 * S, [](PaceModel &model) {
				model.connect(0);
				model.arrive(0, ENDLESS);
			});

			print("reports 6, has 2", pair);
			EXPECT_GE(pair.paced.done, pair.plain.done * 97 / 100);
			if (queue < SLOTS - 2) {
				EXPECT_GT(pair.plain.rejected, 1000u);
				EXPECT_LT(pair.paced.rejected * 10,
					  pair.plain.rejected);
			} else {
				EXPECT_EQ(0u, pair.paced.rejected);
				EXPECT_LT(pair.paced.mean_in_flight, 4.5);
				EXPECT_GT(pair.plain.mean_in_flight, 6.5);
			}
		}
}

/* It has its slots again after a time. */
TEST(Pace, RisesAgainWhenTheTargetHasRoomAgain)
{
	for (Spread spread : { EQUAL, SPREAD })
		for (unsigned queue : { 2U, 48U }) {
			auto make = [&] {
				ModelTarget model = target(spread);

				model.queue = queue;
				model.slots = [](kb_time_t t) {
					return t < 3 * S ? 2U : SLOTS;
				};
				return model;
			};
			Pair pair = play(make, 30 * S, [](PaceModel &model) {
				model.connect(0);
				model.arrive(0, ENDLESS);
				model.count_from = 5 * S;
			});

			print("room again", pair);
			EXPECT_GE(pair.paced.done, pair.plain.done * 95 / 100);
		}
}

/* Rejections that do not come from the load are no reason to send less. */
TEST(Pace, RejectionsRegardlessOfTheLoadCostNoThroughput)
{
	for (unsigned percent : { 5U, 20U, 40U, 70U }) {
		auto make = [&] {
			ModelTarget model = target(SPREAD);
			auto rng = std::make_shared<kb_rng_t>();

			kb_rng_init(rng.get(), 3);
			model.rejects = [rng, percent] {
				return kb_rng_below(rng.get(), 100) < percent;
			};
			return model;
		};
		Pair pair = play(make, 20 * S, [](PaceModel &model) {
			model.connect(0);
			model.arrive(0, ENDLESS);
		});

		print("rejects a part of all", pair);
		EXPECT_GE(pair.paced.done, pair.plain.done * 85 / 100);
	}
}

/* A target that rejects all for a while gets fewer and fewer probes. */
TEST(Pace, BusyAfterAPromotion)
{
	auto make = [] {
		ModelTarget model = target(SPREAD);
		auto rejecting = std::make_shared<bool>(true);

		model.rejects = [rejecting] { return *rejecting; };
		model.work = [work = model.work](kb_time_t t) {
			return work(t);
		};
		return std::make_pair(model, rejecting);
	};
	PaceModel::Result results[2];

	for (int paced = 0; paced < 2; paced++) {
		auto made = make();
		PaceModel model(made.first, SLOTS, paced);

		model.connect(0);
		model.arrive(0, ENDLESS);
		model.at(1 * S, [&] { *made.second = false; });
		results[paced] = model.run(3 * S);
	}
	print("rejects all for 1 s", { results[0], results[1] });
	EXPECT_GT(results[0].rejected, 500u);
	EXPECT_LT(results[1].rejected, 50u);
	EXPECT_GE(results[1].done, results[0].done * 95 / 100);
}

TEST(Pace, SingleLostAnswersCutNothing)
{
	auto make = [] {
		ModelTarget model = target(SPREAD);
		auto rng = std::make_shared<kb_rng_t>();

		kb_rng_init(rng.get(), 3);
		model.loses = [rng] {
			return kb_rng_below(rng.get(), 100) < 3;
		};
		return model;
	};
	Pair pair = play(make, 20 * S, [](PaceModel &model) {
		model.connect(0);
		model.arrive(0, ENDLESS);
	});

	print("answers lost", pair);
	EXPECT_GE(pair.paced.done, pair.plain.done * 98 / 100);
}
