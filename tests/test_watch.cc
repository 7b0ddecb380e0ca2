#include "failover_fixture.h"
#include "watch.h"

#include <vector>

struct watch_fixture : ::testing::Test {
	struct holder {
		kb_watch_t watch;
		std::vector<std::pair<size_t, uint64_t>> sent;
	} h = {};
	kb_watch_params_t params;

	static void probe(kb_watch_t *watch, size_t target, uint64_t id)
	{
		reinterpret_cast<holder *>(watch)->sent.push_back(
			{ target, id });
	}

	void start(size_t targets = 3)
	{
		static const kb_watch_ops_t ops = { probe };
		kb_group_spec_t group = make_group(targets);

		kb_watch_init(&h.watch, &ops, &params, &group);
	}

	void SetUp() override
	{
		kb_watch_params_init(&params);
		start();
	}

	uint64_t last_id(size_t target)
	{
		for (auto i = h.sent.rbegin(); i != h.sent.rend(); ++i)
			if (i->first == target)
				return i->second;
		return 0;
	}

	void answer(kb_time_t now, size_t target, kb_report_t report)
	{
		kb_watch_on_report(&h.watch, now, target, last_id(target),
				   KB_OK, &report);
	}

	void answer_all(kb_time_t now, uint64_t term)
	{
		answer(now, 0, make_report(term, KB_ROLE_PRIMARY, 9, "1:1"));
		answer(now, 1, make_report(term, KB_ROLE_REPLICA, 9, "1:1"));
		answer(now, 2, make_report(term, KB_ROLE_REPLICA, 9, "1:1"));
	}
};

TEST_F(watch_fixture, KeepsOneProbeInFlightAndTheHeartbeatWhenIdle)
{
	EXPECT_EQ(150 * MS, kb_watch_on_timer(&h.watch, 0));
	EXPECT_EQ(3u, h.sent.size());
	kb_watch_on_timer(&h.watch, 50 * MS);
	EXPECT_EQ(3u, h.sent.size());
	answer_all(60 * MS, 1);
	EXPECT_EQ(3u, h.sent.size());
	EXPECT_EQ(100 * MS, kb_watch_on_timer(&h.watch, 99 * MS));
	kb_watch_on_timer(&h.watch, 100 * MS);
	EXPECT_EQ(6u, h.sent.size());
}

TEST_F(watch_fixture, ProbesAtOnceForAWriteButNeverFasterThanTheInterval)
{
	kb_watch_on_timer(&h.watch, 0);
	answer_all(1 * MS, 1);
	EXPECT_EQ(2 * MS, kb_watch_request_probes(&h.watch, 1 * MS));
	EXPECT_EQ(3u, h.sent.size());
	kb_watch_request_probes(&h.watch, 10 * MS);
	EXPECT_EQ(6u, h.sent.size());
	for (int i = 0; i < 1000; i++)
		kb_watch_request_probes(&h.watch, 10 * MS);
	EXPECT_EQ(6u, h.sent.size());
	answer_all(11 * MS, 1);
	kb_watch_on_timer(&h.watch, 12 * MS);
	EXPECT_EQ(9u, h.sent.size());
}

TEST_F(watch_fixture, ProbeRateIsFlatAsWritesGrow)
{
	size_t probes[2];
	unsigned writes_per_ms[] = { 1, 100 };

	for (int run = 0; run < 2; run++) {
		h.sent.clear();
		start();
		for (kb_time_t now = 0; now < 1000 * MS; now += MS) {
			for (unsigned i = 0; i < writes_per_ms[run]; i++)
				kb_watch_request_probes(&h.watch, now);
			answer_all(now, 1);
		}
		probes[run] = h.sent.size();
	}
	EXPECT_EQ(probes[0], probes[1]);
	EXPECT_LE(probes[1], 3u * 1000 / KB_WATCH_MIN_INTERVAL_MS + 3);
}

TEST_F(watch_fixture, SupersededProbeIsRecognisedByItsOwnSendTime)
{
	kb_report_t report = make_report(1, KB_ROLE_PRIMARY, 9, "1:1");
	uint64_t first;

	kb_watch_on_timer(&h.watch, 0);
	first = last_id(0);
	kb_watch_on_timer(&h.watch, 150 * MS);
	EXPECT_NE(first, last_id(0));
	EXPECT_EQ(0, h.watch.targets[0].unanswered_since);
	kb_watch_on_report(&h.watch, 160 * MS, 0, first, KB_OK, &report);
	EXPECT_EQ(0, h.watch.targets[0].report_probe.sent);
	EXPECT_EQ(150 * MS, h.watch.targets[0].unanswered_since);
	EXPECT_TRUE(h.watch.targets[0].in_flight);
	answer(170 * MS, 0, report);
	EXPECT_EQ(KB_TIME_NEVER, h.watch.targets[0].unanswered_since);
}

TEST_F(watch_fixture, OlderAnswersNeverReplaceNewerOnes)
{
	kb_report_t report = make_report(1, KB_ROLE_REPLICA, 5, "1:1");
	uint64_t first;

	kb_watch_on_timer(&h.watch, 0);
	first = last_id(1);
	kb_watch_on_timer(&h.watch, 150 * MS);
	answer(160 * MS, 1, make_report(2, KB_ROLE_REPLICA, 9, "1:1"));
	kb_watch_on_report(&h.watch, 161 * MS, 1, first, KB_OK, &report);
	EXPECT_EQ(2u, h.watch.targets[1].report.term);
	kb_watch_on_report(&h.watch, 162 * MS, 1, 12345, KB_OK, &report);
	EXPECT_EQ(2u, h.watch.targets[1].report.term);
}

TEST_F(watch_fixture, ConfirmedAtIsTheMajoritysOldestProbe)
{
	kb_watch_on_timer(&h.watch, 0);
	EXPECT_EQ(KB_TIME_NEVER, kb_watch_confirmed_at(&h.watch));
	answer(5 * MS, 0, make_report(1, KB_ROLE_PRIMARY, 9, "1:1"));
	EXPECT_EQ(KB_TIME_NEVER, kb_watch_confirmed_at(&h.watch));
	answer(6 * MS, 2, make_report(1, KB_ROLE_REPLICA, 9, "1:1"));
	EXPECT_EQ(0, kb_watch_confirmed_at(&h.watch));
	kb_watch_request_probes(&h.watch, 10 * MS);
	answer(12 * MS, 0, make_report(1, KB_ROLE_PRIMARY, 9, "1:1"));
	EXPECT_EQ(0, kb_watch_confirmed_at(&h.watch));
	answer(12 * MS, 2, make_report(2, KB_ROLE_REPLICA, 9, "1:1"));
	EXPECT_EQ(KB_TIME_NEVER, kb_watch_confirmed_at(&h.watch));
}

TEST_F(watch_fixture, PrimaryIsTheOneOfTheNewestTermUnlessAMajorityIsNewer)
{
	kb_watch_on_timer(&h.watch, 0);
	EXPECT_EQ(KB_NO_TARGET, kb_watch_primary(&h.watch));
	answer_all(MS, 1);
	EXPECT_EQ(0u, kb_watch_primary(&h.watch));
	kb_watch_on_timer(&h.watch, 200 * MS);
	answer(201 * MS, 1, make_report(2, KB_ROLE_REPLICA, 9, "1:1"));
	EXPECT_EQ(0u, kb_watch_primary(&h.watch));
	answer(201 * MS, 2, make_report(2, KB_ROLE_REPLICA, 9, "1:1"));
	EXPECT_EQ(KB_NO_TARGET, kb_watch_primary(&h.watch));
	kb_watch_on_timer(&h.watch, 400 * MS);
	answer(401 * MS, 1, make_report(2, KB_ROLE_PRIMARY, 10, "1:1,2:10"));
	EXPECT_EQ(1u, kb_watch_primary(&h.watch));
	EXPECT_EQ(2u, h.watch.term);
}

TEST_F(watch_fixture, GroupChangeKeepsTargetsByNameAndIgnoresStrangers)
{
	kb_group_spec_t group = make_group(3);
	kb_report_t report = make_report(1, KB_ROLE_PRIMARY, 9, "1:1");
	uint64_t lost;

	kb_watch_on_timer(&h.watch, 0);
	answer_all(MS, 1);
	std::swap(group.targets[0], group.targets[2]);
	kb_watch_on_timer(&h.watch, 100 * MS);
	lost = last_id(1);
	group.targets[1].port = 1;
	kb_watch_set_group(&h.watch, &group);
	EXPECT_EQ(2u, kb_watch_primary(&h.watch));
	EXPECT_FALSE(h.watch.targets[1].has_report);
	kb_watch_on_report(&h.watch, 101 * MS, 1, lost, KB_OK, &report);
	EXPECT_FALSE(h.watch.targets[1].has_report);
}

TEST_F(watch_fixture, WithoutHeartbeatItProbesOnDemandOnly)
{
	params.heartbeat = 0;
	start();
	EXPECT_EQ(KB_TIME_NEVER, kb_watch_on_timer(&h.watch, 0));
	kb_watch_request_probes(&h.watch, 5 * MS);
	EXPECT_EQ(3u, h.sent.size());
	answer_all(6 * MS, 1);
	kb_watch_clear_requests(&h.watch);
	EXPECT_EQ(KB_TIME_NEVER, kb_watch_on_timer(&h.watch, 500 * MS));
	EXPECT_EQ(3u, h.sent.size());
}

TEST_F(watch_fixture, ReplicasMayHaveASlowerHeartbeat)
{
	params.replica_heartbeat = 400 * MS;
	start();
	kb_watch_on_timer(&h.watch, 0);
	answer_all(MS, 1);
	for (kb_time_t now = 0; now < 401 * MS; now += 50 * MS) {
		kb_watch_on_timer(&h.watch, now);
		answer_all(now + MS, 1);
	}
	EXPECT_EQ(5u + 2 + 2, h.sent.size());
}

TEST_F(watch_fixture, DistantTargetIsSparedWhileNearerOnesArePrompt)
{
	struct {
		const char *what;
		unsigned answering;
		bool spared;
	} cases[] = { { "all answer", 7, true },
		      { "near replica silent", 5, false },
		      { "primary silent", 6, true } };

	for (const auto &c : cases) {
		kb_time_t due[3] = {};
		size_t distant = 0, seen = 0;

		start();
		h.sent.clear();
		for (kb_time_t now = 0; now < 4000 * MS; now += MS) {
			unsigned answering = now < 2000 * MS ? 7 : c.answering;

			kb_watch_request_probes(&h.watch, now);
			for (; seen < h.sent.size(); seen++) {
				size_t target = h.sent[seen].first;

				due[target] = now + (target == 2 ? 16 : 2) * MS;
				distant += target == 2 && now >= 2000 * MS;
			}
			for (size_t i = 0; i < 3; i++)
				if (due[i] == now && answering >> i & 1)
					answer(now, i,
					       make_report(1,
							   i ? KB_ROLE_REPLICA
							     : KB_ROLE_PRIMARY,
							   9, "1:1"));
		}
		EXPECT_EQ(c.spared, distant < 60) << c.what << distant;
	}
}

TEST_F(watch_fixture, RefreshSendsOneProbeOfEachTarget)
{
	params.heartbeat = 0;
	start();
	kb_watch_refresh(&h.watch, 5 * MS);
	EXPECT_EQ(3u, h.sent.size());
	answer_all(6 * MS, 1);
	EXPECT_EQ(KB_TIME_NEVER, kb_watch_on_timer(&h.watch, 900 * MS));
	kb_watch_refresh(&h.watch, 901 * MS);
	EXPECT_EQ(6u, h.sent.size());
}

TEST_F(watch_fixture, RefusedProbesAreCountedAndRetriedSooner)
{
	kb_watch_on_timer(&h.watch, 0);
	answer_all(MS, 1);
	kb_watch_on_timer(&h.watch, 100 * MS);
	EXPECT_EQ(125 * MS,
		  kb_watch_on_report(&h.watch, 101 * MS, 0, last_id(0),
				     KB_ERR_UNREACHABLE, nullptr));
	EXPECT_EQ(1u, h.watch.targets[0].refused);
	EXPECT_EQ(101 * MS, h.watch.targets[0].refused_since);
	EXPECT_EQ(100 * MS, h.watch.targets[0].unanswered_since);
}
