#include "admission_fixture.h"

#include <map>

TEST(AdmissionFairness, WeightsShareTheSlotsBetweenClasses)
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

TEST(AdmissionFairness, NoisyCallerDelaysOthersByOneStatementAtMost)
{
	/* In a bulk class a slot stays free for others. */
	EXPECT_LE(wait_beside_noise("bulk", 2), 1 * MS);
	EXPECT_LE(wait_beside_noise("bulk", 5), 1 * MS);
	EXPECT_LE(wait_beside_noise("bulk", 1), 51 * MS);
	/* In the same class it waits for a statement that already runs. */
	EXPECT_LE(wait_beside_noise("counter", 2), 51 * MS);
	EXPECT_LE(wait_beside_noise("counter", 5), 51 * MS);
}

TEST(AdmissionFairness, FullQueueEvictsTheCallerWithTheLongestOne)
{
	Gate gate;

	for (int i = 0; i < 10; i++)
		gate.submit(0, "noisy");
	EXPECT_EQ(KB_ERR_OVERLOADED, gate.submit(0, "noisy").refused);
	EXPECT_EQ(KB_OK, gate.submit(0, "quiet").refused);
	EXPECT_EQ(KB_ERR_OVERLOADED, gate.entries[9].refused);
	EXPECT_EQ(KB_OK, gate.entries[8].refused);
}

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

TEST(AdmissionFairness, LongStatementsGetNoMoreTimeThanShortOnes)
{
	EXPECT_NEAR(0.5, share_of_long("counter", "counter"), 0.03);
	EXPECT_NEAR(0.5, share_of_long("counter", "other"), 0.03);
}

TEST(AdmissionFairness, OneCallerCannotOpenEveryTransaction)
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

TEST(AdmissionFairness, ManyCallersBeyondTheTableAreRefusedNotLost)
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
