#include "admission.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>

static const kb_time_t MS = KB_NS_PER_MS;

struct Entry {
	kb_admission_entry_t entry = {};
	bool started = false;
	kb_result_t refused = KB_OK;
};

static kb_name_t name(const std::string &text)
{
	kb_name_t result;

	kb_name_set(&result, { text.data(), text.size() });
	return result;
}

static void add_class(kb_admission_t *admission, const char *text,
		      unsigned weight, unsigned limit, int bulk)
{
	kb_traffic_class_t spec = { name(text), weight, limit, 0, bulk };

	EXPECT_EQ(KB_OK, kb_admission_set_class(admission, &spec));
}

/* Records the orders of an admission with the classes counter and bulk. */
struct Gate {
	kb_admission_t admission;
	std::deque<Entry> entries;
	std::deque<Entry *> running;
	unsigned worst = 0;

	explicit Gate(unsigned slots = 2, unsigned connections = 7)
	{
		static const kb_admission_ops_t ops = {
			[](kb_admission_t *a, kb_admission_entry_t *e,
			   kb_time_t) {
				auto *gate = reinterpret_cast<Gate *>(a);
				auto *entry = reinterpret_cast<Entry *>(e);

				EXPECT_FALSE(entry->started || entry->refused);
				entry->started = true;
				gate->running.push_back(entry);
				gate->worst = std::max(
					gate->worst,
					(unsigned)gate->running.size());
			},
			[](kb_admission_t *, kb_admission_entry_t *e,
			   kb_result_t result, kb_time_t) {
				auto *entry = reinterpret_cast<Entry *>(e);

				EXPECT_FALSE(entry->started || entry->refused);
				EXPECT_NE(KB_OK, result);
				entry->refused = result;
			},
		};
		kb_admission_limits_t limits =
			kb_admission_default_limits(slots, connections);

		kb_admission_init(&admission, &ops, &limits);
		add_class(&admission, "counter", 4, 8, 0);
		add_class(&admission, "bulk", 1, 8, 1);
	}
	Entry &submit(kb_time_t now, const std::string &caller = "a",
		      const std::string &traffic_class = "counter",
		      kb_limited_transaction_t *transaction = nullptr,
		      bool ends = false, kb_time_t deadline = 1000000 * MS)
	{
		entries.emplace_back();
		Entry &entry = entries.back();

		entry.entry.caller = name(caller);
		entry.entry.traffic_class = name(traffic_class);
		entry.entry.deadline = deadline;
		entry.entry.transaction = transaction;
		entry.entry.ends_transaction = ends;
		kb_admission_submit(&admission, &entry.entry, now);
		return entry;
	}
	void finish(Entry &entry, kb_time_t now)
	{
		running.erase(
			std::find(running.begin(), running.end(), &entry));
		kb_admission_done(&admission, &entry.entry, now);
	}
	/* Teaches the class that its statements take `service`. */
	void measure(const char *traffic_class, kb_time_t service)
	{
		for (int i = 0; i < 50; i++)
			finish(submit(0, "a", traffic_class), service);
	}
	/* Begins a transaction and ends its BEGIN. */
	bool begin(kb_limited_transaction_t *transaction,
		   const std::string &caller, kb_time_t now = 0)
	{
		Entry &entry = submit(now, caller, "counter", transaction);

		if (entry.started)
			finish(entry, now);
		return entry.started;
	}
};

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

			  EXPECT_EQ(10 * MS,
				    kb_admission_tick(&g.admission, 9 * MS));
			  EXPECT_FALSE(late.refused);
			  kb_admission_tick(&g.admission, 10 * MS);
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
			  kb_admission_flush(&g.admission, KB_ERR_NOT_GATE, 0);
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

TEST(Admission, WeightsShareTheSlotsBetweenClasses)
{
	Gate gate(1);
	std::map<std::string, int> started;

	add_class(&gate.admission, "counter", 3, 500, 0);
	add_class(&gate.admission, "other", 1, 500, 0);
	gate.measure("counter", 10 * MS);
	gate.measure("other", 10 * MS);
	for (int i = 0; i < 400; i++) {
		gate.submit(0, "a", "counter");
		gate.submit(0, "a", "other");
	}
	for (kb_time_t now = 10 * MS; now <= 2000 * MS; now += 10 * MS) {
		Entry &entry = *gate.running.front();

		started[entry.entry.traffic_class.data]++;
		gate.finish(entry, now);
	}
	EXPECT_NEAR(150, started["counter"], 3);
	EXPECT_NEAR(50, started["other"], 3);
}

/*
 * One caller keeps long statements queued; another sends one short statement
 * at a time. Returns the longest wait of the latter.
 */
static kb_time_t wait_beside_noise(const char *noisy_class, unsigned slots)
{
	Gate gate(slots);
	std::map<Entry *, kb_time_t> ends;
	kb_time_t sent = 0, worst = 0, now = 0;
	Entry *quiet = nullptr;

	add_class(&gate.admission, "counter", 4, 64, 0);
	add_class(&gate.admission, "bulk", 1, 64, 1);
	for (; now < 3000 * MS; now += MS) {
		for (int i = 0; i < 16; i++)
			gate.submit(now, "noisy", noisy_class);
		if (!quiet || quiet->refused) {
			quiet = &gate.submit(now, "quiet", "counter");
			sent = now;
		}
		for (Entry *entry : std::deque<Entry *>(gate.running)) {
			bool own = entry == quiet;

			if (!ends.count(entry))
				ends[entry] = now + (own ? 5 : 50) * MS;
			if (ends[entry] > now)
				continue;
			if (own)
				quiet = nullptr;
			ends.erase(entry);
			gate.finish(*entry, now);
		}
		if (quiet && !quiet->started)
			worst = std::max(worst, now - sent);
	}
	return worst;
}

TEST(Admission, NoisyCallerDelaysOthersByOneStatementAtMost)
{
	/* In a bulk class a slot stays free for others. */
	EXPECT_LE(wait_beside_noise("bulk", 2), 1 * MS);
	EXPECT_LE(wait_beside_noise("bulk", 5), 1 * MS);
	EXPECT_LE(wait_beside_noise("bulk", 1), 51 * MS);
	/* In the same class it waits for a statement that already runs. */
	EXPECT_LE(wait_beside_noise("counter", 2), 51 * MS);
	EXPECT_LE(wait_beside_noise("counter", 5), 51 * MS);
}

TEST(Admission, FullQueueEvictsTheCallerWithTheLongestOne)
{
	Gate gate;

	for (int i = 0; i < 10; i++)
		gate.submit(0, "noisy");
	EXPECT_EQ(KB_ERR_OVERLOADED, gate.submit(0, "noisy").refused);
	EXPECT_EQ(KB_OK, gate.submit(0, "quiet").refused);
	EXPECT_EQ(KB_ERR_OVERLOADED, gate.entries[9].refused);
	EXPECT_EQ(KB_OK, gate.entries[8].refused);
}

/*
 * One sends long statements one at a time, another short ones four at a time.
 * Returns the share of the time that the former gets.
 */
static double share_of_long(const char *long_class, const char *short_class)
{
	Gate gate(1);
	kb_time_t now = 0, used = 0;

	add_class(&gate.admission, "counter", 4, 64, 0);
	add_class(&gate.admission, "other", 4, 64, 0);
	gate.submit(now, "long", long_class);
	for (int i = 0; i < 4; i++)
		gate.submit(now, "short", short_class);
	while (now < 20000 * MS) {
		Entry &entry = *gate.running.front();
		std::string caller = entry.entry.caller.data;
		kb_time_t service = (caller == "long" ? 100 : 5) * MS;

		now += service;
		used += caller == "long" ? service : 0;
		/* Each sends its next statement when one has ended. */
		gate.finish(entry, now);
		gate.submit(now, caller, entry.entry.traffic_class.data);
	}
	return (double)used / (double)now;
}

TEST(Admission, LongStatementsGetNoMoreTimeThanShortOnes)
{
	EXPECT_NEAR(0.5, share_of_long("counter", "counter"), 0.03);
	EXPECT_NEAR(0.5, share_of_long("counter", "other"), 0.03);
}

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

TEST(Admission, OneCallerCannotOpenEveryTransaction)
{
	Gate gate(2, 7);
	kb_limited_transaction_t mine[5] = {}, yours = {};
	int begun = 0;

	for (auto &transaction : mine)
		begun += gate.begin(&transaction, "a");
	EXPECT_EQ(3, begun);
	EXPECT_TRUE(gate.begin(&yours, "b"));
	/* A blocked BEGIN does not hold up its caller's statements. */
	EXPECT_TRUE(gate.submit(0, "a").started);
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

TEST(Admission, ManyCallersBeyondTheTableAreRefusedNotLost)
{
	Gate gate(1);
	int refused = 0;

	add_class(&gate.admission, "counter", 4, 1000, 0);
	for (int i = 0; i < 300; i++)
		refused +=
			gate.submit(0, "caller-" + std::to_string(i)).refused ==
			KB_ERR_OVERLOADED;
	EXPECT_EQ(300 - KB_FAIR_MAX_FLOWS, refused);
	for (int i = 0; i < KB_FAIR_MAX_FLOWS; i++)
		gate.finish(*gate.running.front(), i * MS);
	EXPECT_TRUE(kb_admission_is_idle(&gate.admission));
	EXPECT_TRUE(gate.submit(MS, "caller-299").started);
}
