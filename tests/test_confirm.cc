#include "confirm.h"
#include "failover_fixture.h"

#include <vector>

struct confirm_fixture : ::testing::Test {
	struct waiter {
		kb_confirm_entry_t entry;
		int ended;
		kb_result_t result;
	};

	kb_watch_t watch = {};
	kb_confirm_t confirm = {};
	kb_confirm_params_t params;

	static void probe(kb_watch_t *, size_t, uint64_t)
	{
	}

	static void done(kb_confirm_entry_t *entry, kb_result_t result)
	{
		auto *w = reinterpret_cast<waiter *>(entry);

		w->ended++;
		w->result = result;
	}

	void start(size_t targets)
	{
		static const kb_watch_ops_t ops = { probe };
		kb_watch_params_t watch_params;
		kb_group_spec_t group = make_group(targets);

		kb_watch_params_init(&watch_params);
		kb_watch_init(&watch, &ops, &watch_params, &group);
		kb_confirm_init(&confirm, &watch, &params);
	}

	void SetUp() override
	{
		kb_confirm_params_init(&params);
		start(3);
		kb_watch_on_timer(&watch, 0);
	}

	void TearDown() override
	{
		kb_confirm_finish(&confirm);
	}

	kb_time_t add(kb_time_t now, waiter *w, uint64_t term,
		      uint64_t position, kb_time_t deadline = 1000 * MS)
	{
		static const kb_confirm_entry_ops_t ops = { done };

		*w = {};
		w->entry.ops = &ops;
		w->entry.target = 0;
		w->entry.term = term;
		w->entry.position = position;
		w->entry.deadline = deadline;
		return kb_confirm_add(&confirm, now, &w->entry);
	}

	void answer(kb_time_t now, size_t target, kb_report_t report)
	{
		kb_watch_on_report(&watch, now, target,
				   watch.targets[target].probes[0].id, KB_OK,
				   &report);
		kb_confirm_on_timer(&confirm, now);
	}

	/* Ends the probes in flight so that the next ones are sent later. */
	void settle(kb_time_t now, uint64_t term)
	{
		answer(now, 0, make_report(term, KB_ROLE_PRIMARY, 99, "1:1"));
		answer(now, 1, make_report(term, KB_ROLE_REPLICA, 99, "1:1"));
		answer(now, 2, make_report(term, KB_ROLE_REPLICA, 99, "1:1"));
	}
};

TEST_F(confirm_fixture, RepliesDecide)
{
	struct reply {
		size_t target;
		kb_report_t report;
	};
	const kb_role_t P = KB_ROLE_PRIMARY, R = KB_ROLE_REPLICA;
	struct {
		const char *what;
		uint64_t position;
		std::vector<reply> replies;
		int ended;
		kb_result_t result;
	} cases[] = {
		{ "primary alone",
		  50,
		  { { 0, make_report(3, P, 50, "3:10") } },
		  0,
		  KB_OK },
		{ "primary and a replica that holds the point",
		  50,
		  { { 0, make_report(3, P, 50, "3:10") },
		    { 2, make_report(3, R, 50, "3:10") } },
		  1,
		  KB_OK },
		{ "replicas without the primary",
		  50,
		  { { 1, make_report(3, R, 50, "3:10") },
		    { 2, make_report(3, R, 50, "3:10") } },
		  0,
		  KB_OK },
		{ "replica behind",
		  50,
		  { { 0, make_report(3, P, 50, "3:10") },
		    { 1, make_report(3, R, 49, "3:10") } },
		  0,
		  KB_OK },
		{ "replica behind, term alone asked for",
		  0,
		  { { 0, make_report(3, P, 50, "3:10") },
		    { 1, make_report(3, R, 2, "1:1") } },
		  1,
		  KB_OK },
		{ "longer log of an older term",
		  50,
		  { { 0, make_report(3, P, 50, "3:10") },
		    { 1, make_report(3, R, 80, "2:10") } },
		  0,
		  KB_OK },
		{ "replica in an older term",
		  50,
		  { { 0, make_report(3, P, 50, "3:10") },
		    { 1, make_report(2, R, 50, "3:10") } },
		  0,
		  KB_OK },
		{ "replica fenced at a newer term",
		  50,
		  { { 0, make_report(3, P, 50, "3:10") },
		    { 1, make_report(4, R, 50, "3:10") } },
		  0,
		  KB_OK },
		{ "the other replica still makes a majority",
		  50,
		  { { 1, make_report(4, R, 50, "3:10") },
		    { 0, make_report(3, P, 50, "3:10") },
		    { 2, make_report(3, R, 50, "3:10") } },
		  1,
		  KB_OK },
		{ "majority in a newer term",
		  50,
		  { { 1, make_report(4, R, 50, "3:10") },
		    { 2, make_report(4, R, 50, "3:10") } },
		  1,
		  KB_ERR_UNKNOWN },
		{ "primary fenced",
		  50,
		  { { 0, make_report(4, R, 50, "3:10") } },
		  1,
		  KB_ERR_UNKNOWN },
		{ "primary demoted in its own term",
		  50,
		  { { 0, make_report(3, R, 50, "3:10") },
		    { 1, make_report(3, R, 50, "3:10") } },
		  0,
		  KB_OK },
	};

	for (const auto &c : cases) {
		waiter w;

		start(3);
		kb_watch_on_timer(&watch, 0);
		settle(MS, 1);
		add(10 * MS, &w, 3, c.position);
		for (const auto &r : c.replies)
			answer(12 * MS, r.target, r.report);
		EXPECT_EQ(c.ended, w.ended) << c.what;
		EXPECT_EQ(c.result, w.result) << c.what;
		kb_confirm_finish(&confirm);
	}
}

TEST_F(confirm_fixture, ProbeSentBeforeTheCommitsAnswerDoesNotCount)
{
	kb_report_t primary = make_report(1, KB_ROLE_PRIMARY, 5, "1:1");
	kb_report_t replica = make_report(1, KB_ROLE_REPLICA, 5, "1:1");
	waiter w;

	/* The probes of time 0 are in flight while the commit answers. */
	add(0, &w, 1, 5);
	answer(MS, 0, primary);
	answer(MS, 1, replica);
	EXPECT_EQ(0, w.ended);
	kb_watch_on_timer(&watch, 3 * MS);
	answer(4 * MS, 0, primary);
	answer(4 * MS, 1, replica);
	EXPECT_EQ(1, w.ended);
	EXPECT_EQ(KB_OK, w.result);
	EXPECT_FALSE(watch.waiting);
}

TEST_F(confirm_fixture, ReportThatCameWithAnOrderConfirmsNothing)
{
	kb_report_t replica = make_report(1, KB_ROLE_REPLICA, 5, "1:1");
	waiter w;

	settle(MS, 1);
	add(10 * MS, &w, 1, 5);
	answer(11 * MS, 0, make_report(1, KB_ROLE_PRIMARY, 5, "1:1"));
	kb_watch_on_command_report(&watch, 12 * MS, 1, &replica);
	kb_confirm_on_timer(&confirm, 12 * MS);
	EXPECT_EQ(0, w.ended);
}

TEST_F(confirm_fixture, DeadlineEndsWithUnknown)
{
	waiter w;

	EXPECT_EQ(50 * MS, add(0, &w, 1, 5, 50 * MS));
	EXPECT_EQ(50 * MS, kb_confirm_on_timer(&confirm, 49 * MS));
	EXPECT_EQ(0, w.ended);
	kb_confirm_on_timer(&confirm, 50 * MS);
	EXPECT_EQ(1, w.ended);
	EXPECT_EQ(KB_ERR_UNKNOWN, w.result);
}

TEST_F(confirm_fixture, RepliesOlderThanTheWindowAreAskedForAgain)
{
	waiter w;

	settle(MS, 1);
	add(10 * MS, &w, 1, 5);
	settle(215 * MS, 1);
	EXPECT_EQ(0, w.ended);
	kb_watch_on_timer(&watch, 220 * MS);
	settle(230 * MS, 1);
	EXPECT_EQ(1, w.ended);
	EXPECT_EQ(KB_OK, w.result);
}

TEST_F(confirm_fixture, ReadCountsProbesSinceItArrived)
{
	waiter w;
	uint64_t mark;

	settle(MS, 1);
	mark = kb_confirm_last_probe_id(&confirm);
	kb_watch_request_probes(&watch, 10 * MS);
	settle(11 * MS, 1);
	add(12 * MS, &w, 1, 5);
	kb_confirm_remove(&confirm, &w.entry);
	kb_confirm_add_since(&confirm, 12 * MS, &w.entry, mark);
	kb_confirm_on_timer(&confirm, 12 * MS);
	EXPECT_EQ(1, w.ended);
	EXPECT_EQ(KB_OK, w.result);
}

TEST_F(confirm_fixture, FiveTargetsNeedThree)
{
	kb_report_t replica = make_report(1, KB_ROLE_REPLICA, 5, "1:1");
	waiter w;

	start(5);
	add(0, &w, 1, 5);
	answer(MS, 0, make_report(1, KB_ROLE_PRIMARY, 5, "1:1"));
	answer(MS, 3, replica);
	EXPECT_EQ(0, w.ended);
	answer(MS, 4, replica);
	EXPECT_EQ(1, w.ended);
}

TEST_F(confirm_fixture, ManyWaitersShareARoundAndMayLeaveAtAnyTime)
{
	std::vector<waiter> waiters(1000);

	settle(MS, 1);
	for (auto &w : waiters)
		add(10 * MS, &w, 1, 5);
	kb_confirm_remove(&confirm, &waiters[500].entry);
	EXPECT_EQ(999u, confirm.count);
	/* The first waiter started a round; the rest share the next. */
	settle(11 * MS, 1);
	EXPECT_EQ(998u, confirm.count);
	kb_watch_on_timer(&watch, 12 * MS);
	settle(13 * MS, 1);
	for (size_t i = 0; i < waiters.size(); i++)
		EXPECT_EQ(i == 500 ? 0 : 1, waiters[i].ended) << i;
	EXPECT_EQ(0u, confirm.count);
	EXPECT_EQ(9u, watch.last_probe_id);
}

/* A waiter whose end removes its neighbour and adds another. */
struct chained_waiter {
	kb_confirm_entry_t entry;
	kb_confirm_t *confirm;
	kb_confirm_entry_t *neighbour, *added;
};

TEST_F(confirm_fixture, EndOfAWaitMayChangeTheList)
{
	static const kb_confirm_entry_ops_t ops = {
		[](kb_confirm_entry_t *entry, kb_result_t) {
			auto *c = reinterpret_cast<chained_waiter *>(entry);

			kb_confirm_remove(c->confirm, c->neighbour);
			kb_confirm_add(c->confirm, 11 * MS, c->added);
		}
	};
	waiter neighbour, added, last;
	chained_waiter c = {};

	settle(MS, 1);
	add(10 * MS, &added, 1, 5);
	kb_confirm_remove(&confirm, &added.entry);
	c.entry.ops = &ops;
	c.entry.term = 1;
	c.entry.deadline = 1000 * MS;
	c.confirm = &confirm;
	c.neighbour = &neighbour.entry;
	c.added = &added.entry;
	kb_confirm_add(&confirm, 10 * MS, &c.entry);
	add(10 * MS, &neighbour, 1, 5);
	add(10 * MS, &last, 1, 5);
	settle(11 * MS, 1);
	kb_watch_on_timer(&watch, 12 * MS);
	settle(13 * MS, 1);
	EXPECT_EQ(0, neighbour.ended);
	EXPECT_EQ(1, last.ended);
	EXPECT_EQ(1u, confirm.count);
	kb_watch_on_timer(&watch, 20 * MS);
	settle(21 * MS, 1);
	EXPECT_EQ(0u, confirm.count);
	EXPECT_EQ(1, added.ended);
}
