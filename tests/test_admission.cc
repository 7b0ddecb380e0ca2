#include "admission_fixture.h"

#include <gsl/gsl_rng.h>

TEST(Admission, SlotsBoundWhatRuns)
{
	Gate gate(2);

	for (int i = 0; i < 8; i++)
		gate.submit(0);
	EXPECT_EQ(2u, gate.running.size());
	for (int i = 0; i < 8; i++)
		gate.finish(*gate.running.front(), i * MS);
	EXPECT_EQ(2u, gate.worst);
	for (const Entry &entry : gate.entries)
		EXPECT_TRUE(entry.started);
	EXPECT_TRUE(kb_admission_is_idle(&gate.admission));
}

TEST(Admission, EveryRefusalSaysNotRunOrThatTheRequestIsWrong)
{
	struct {
		const char *name;
		std::function<Entry &(Gate &)> act;
		kb_result_t result;
	} cases[] = {
		{ "unknown class",
		  [](Gate &g) -> Entry & { return g.submit(0, "a", "no"); },
		  KB_ERR_NOT_FOUND },
		{ "expired on arrival",
		  [](Gate &g) -> Entry & {
			  return g.submit(5, "a", "counter", nullptr, false, 5);
		  },
		  KB_ERR_DEADLINE },
		{ "queue full",
		  [](Gate &g) -> Entry & {
			  for (int i = 0; i < 10; i++)
				  g.submit(0);
			  return g.submit(0);
		  },
		  KB_ERR_OVERLOADED },
		{ "wait longer than the deadline",
		  [](Gate &g) -> Entry & {
			  g.measure("counter", 100 * MS);
			  for (int i = 0; i < 8; i++)
				  g.submit(0);
			  return g.submit(0, "a", "counter", nullptr, false,
					  100 * MS);
		  },
		  KB_ERR_DEADLINE },
		{ "expired while queued",
		  [](Gate &g) -> Entry & {
			  g.submit(0);
			  g.submit(0);
			  Entry &late = g.submit(0, "a", "counter", nullptr,
						 false, 10 * MS);

			  EXPECT_EQ(10 * MS, kb_admission_on_timer(&g.admission,
								   9 * MS));
			  EXPECT_FALSE(late.refused);
			  kb_admission_on_timer(&g.admission, 10 * MS);
			  return late;
		  },
		  KB_ERR_DEADLINE },
		{ "expired when a slot comes free",
		  [](Gate &g) -> Entry & {
			  Entry &first = g.submit(0);

			  g.submit(0);
			  Entry &late = g.submit(0, "a", "counter", nullptr,
						 false, 10 * MS);
			  g.finish(first, 11 * MS);
			  return late;
		  },
		  KB_ERR_DEADLINE },
		{ "draining",
		  [](Gate &g) -> Entry & {
			  kb_admission_drain(&g.admission, KB_TIME_NEVER, 0);
			  return g.submit(0);
		  },
		  KB_ERR_DRAINING },
		{ "queued until the drain ends",
		  [](Gate &g) -> Entry & {
			  Entry &first = g.submit(0);

			  g.submit(0);
			  Entry &queued = g.submit(0);
			  kb_admission_drain(&g.admission, 3000 * MS, 0);
			  EXPECT_FALSE(queued.refused);
			  g.finish(first, 3000 * MS);
			  return queued;
		  },
		  KB_ERR_DRAINING },
		{ "not the gate any more",
		  [](Gate &g) -> Entry & {
			  g.submit(0);
			  g.submit(0);
			  Entry &queued = g.submit(0);
			  kb_admission_refuse_all(&g.admission, KB_ERR_NOT_GATE,
						  0);
			  return queued;
		  },
		  KB_ERR_NOT_GATE },
	};

	for (const auto &c : cases) {
		Gate gate;
		Entry &entry = c.act(gate);

		EXPECT_EQ(c.result, entry.refused) << c.name;
		EXPECT_FALSE(entry.started) << c.name;
		EXPECT_EQ(KB_OUTCOME_NOT_RUN, kb_result_outcome(entry.refused))
			<< c.name;
	}
}

TEST(Admission, LongMeasuredServiceNeverRefusesWhileASlotIsFree)
{
	Gate gate(2);

	gate.measure("counter", 500 * MS);
	gate.submit(0);
	EXPECT_TRUE(gate.submit(0, "a", "counter", nullptr, false, MS).started);
	EXPECT_EQ(KB_ERR_DEADLINE,
		  gate.submit(0, "a", "counter", nullptr, false, MS).refused);
}

/*
 * One caller keeps long statements queued; another sends one short statement
 * at a time. Returns the longest wait of the latter.
 */
/*
 * One sends long statements one at a time, another short ones four at a time.
 * Returns the share of the time that the former gets.
 */
TEST(Admission, StalledTransactionsHoldNoSlotsAndLeaveRoom)
{
	Gate gate(2, 7);
	kb_limited_transaction_t transactions[7] = {};
	int begun = 0;

	for (int i = 0; i < 7; i++)
		begun += gate.begin(&transactions[i],
				    "caller-" + std::to_string(i));
	EXPECT_EQ(5, begun);
	EXPECT_TRUE(gate.submit(0, "b").started);
	EXPECT_TRUE(gate.submit(0, "c").started);
	EXPECT_EQ(2u, gate.running.size());
	/* One ends: a waiting BEGIN follows once a slot is free. */
	gate.finish(*gate.running.front(), 1);
	kb_admission_transaction_ended(&gate.admission, &transactions[0], 1);
	EXPECT_TRUE(transactions[5].open || transactions[6].open);
}

TEST(Admission, CommitGoesAheadOfAFullQueue)
{
	Gate gate(1, 3);
	kb_limited_transaction_t transaction = {};

	ASSERT_TRUE(gate.begin(&transaction, "a"));
	Entry &first = gate.submit(0, "b");

	for (int i = 0; i < 8; i++)
		gate.submit(0, "b");
	Entry &within = gate.submit(0, "a", "counter", &transaction);
	Entry &commit = gate.submit(0, "a", "counter", &transaction, true);

	EXPECT_EQ(KB_OK, within.refused);
	gate.finish(first, MS);
	EXPECT_TRUE(commit.started);
}

TEST(Admission, QueuedStatementsEndWithTheirTransaction)
{
	Gate gate(1, 3);
	kb_limited_transaction_t transaction = {};

	ASSERT_TRUE(gate.begin(&transaction, "a"));
	Entry &first = gate.submit(0, "b");
	Entry &within = gate.submit(0, "a", "counter", &transaction);
	Entry &commit = gate.submit(0, "a", "counter", &transaction, true);

	kb_admission_transaction_ended(&gate.admission, &transaction, 0);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, within.refused);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, commit.refused);
	gate.finish(first, MS);
	EXPECT_TRUE(kb_admission_is_idle(&gate.admission));
}

TEST(Admission, DrainLetsOpenTransactionsFinish)
{
	Gate gate;
	kb_limited_transaction_t transaction = {}, other = {};

	ASSERT_TRUE(gate.begin(&transaction, "a"));
	kb_admission_drain(&gate.admission, 3000 * MS, 0);
	EXPECT_EQ(KB_ERR_DRAINING,
		  gate.submit(0, "a", "counter", &other).refused);
	Entry &within = gate.submit(4000 * MS, "a", "counter", &transaction);

	EXPECT_TRUE(within.started);
	gate.finish(within, 4001 * MS);
	Entry &commit =
		gate.submit(4001 * MS, "a", "counter", &transaction, true);

	gate.finish(commit, 4002 * MS);
	EXPECT_FALSE(kb_admission_is_idle(&gate.admission));
	kb_admission_transaction_ended(&gate.admission, &transaction,
				       4002 * MS);
	EXPECT_TRUE(kb_admission_is_idle(&gate.admission));
	kb_admission_resume(&gate.admission);
	EXPECT_TRUE(gate.submit(4003 * MS).started);
}

TEST(Admission, CancelledEntryIsForgotten)
{
	Gate gate(1);
	Entry &first = gate.submit(0);
	Entry &queued = gate.submit(0);

	EXPECT_EQ(KB_ERR_NOT_FOUND,
		  kb_admission_cancel(&gate.admission, &first.entry));
	EXPECT_EQ(KB_OK, kb_admission_cancel(&gate.admission, &queued.entry));
	gate.finish(first, MS);
	EXPECT_FALSE(queued.started);
	EXPECT_EQ(KB_OK, queued.refused);
	EXPECT_TRUE(kb_admission_is_idle(&gate.admission));
}

/*
 * Random work, with transactions that stall: slots and limits hold, every
 * entry is started or refused once, and nothing is left in the end.
 */
TEST(Admission, RandomWorkKeepsTheInvariants)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	for (unsigned long seed = 1; seed <= 100; seed++) {
		Gate gate(2, 7);
		kb_limited_transaction_t transactions[10] = {};
		Entry *begins[10] = {};
		size_t started = 0, refused = 0;
		kb_time_t now = 0;

		gsl_rng_set(rng, seed);
		for (int step = 0; step < 400; step++) {
			size_t i = gsl_rng_uniform_int(rng, 10);
			std::string caller = "c" + std::to_string(i % 3);
			const char *name = i % 2 ? "counter" : "bulk";
			kb_time_t deadline =
				now +
				(kb_time_t)gsl_rng_uniform_int(rng, 200) * MS;
			bool began = begins[i] && !begins[i]->refused;

			now += (kb_time_t)gsl_rng_uniform_int(rng, 5) * MS;
			switch (gsl_rng_uniform_int(rng, 6)) {
			case 0:
			case 1:
				gate.submit(now, caller, name, nullptr, false,
					    deadline);
				break;
			case 2:
				if (!began)
					begins[i] =
						&gate.submit(now, caller, name,
							     &transactions[i],
							     false, deadline);
				else if (transactions[i].open)
					gate.submit(now, caller, name,
						    &transactions[i],
						    i % 3 == 0, deadline);
				break;
			case 3:
			case 4:
				if (!gate.running.empty())
					gate.finish(*gate.running.front(), now);
				break;
			case 5:
				if (!transactions[i].open)
					break;
				begins[i] = nullptr;
				kb_admission_transaction_ended(
					&gate.admission, &transactions[i], now);
				break;
			}
			ASSERT_LE(gate.running.size(), 2u);
			ASSERT_LE(gate.admission.transactions.open, 5u);
		}
		kb_admission_refuse_all(&gate.admission, KB_ERR_NOT_GATE, now);
		while (!gate.running.empty())
			gate.finish(*gate.running.front(), now);
		for (auto &transaction : transactions)
			kb_admission_transaction_ended(&gate.admission,
						       &transaction, now);
		for (const Entry &entry : gate.entries) {
			started += entry.started;
			refused += !!entry.refused;
		}
		ASSERT_EQ(gate.entries.size(), started + refused);
		ASSERT_GT(started, 50u);
		ASSERT_TRUE(kb_admission_is_idle(&gate.admission));
	}
	gsl_rng_free(rng);
}
