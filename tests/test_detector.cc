#include "detector.h"
#include "failover_fixture.h"

struct detector_fixture : ::testing::Test {
	kb_watch_t watch = {};
	kb_detector_t detector = {};
	kb_detector_params_t params;
	kb_report_t reports[3];

	static void probe(kb_watch_t *, size_t, uint64_t)
	{
	}

	void SetUp() override
	{
		static const kb_watch_ops_t ops = { probe };
		kb_watch_params_t watch_params;
		kb_group_spec_t group = make_group(3);

		kb_watch_params_init(&watch_params);
		kb_watch_init(&watch, &ops, &watch_params, &group);
		kb_detector_params_init(&params);
		kb_detector_init(&detector, &params);
		reports[0] = make_report(1, KB_ROLE_PRIMARY, 9, "1:1");
		reports[1] = make_report(1, KB_ROLE_REPLICA, 9, "1:1");
		reports[2] = reports[1];
	}

	kb_health_t health(kb_time_t now)
	{
		kb_detector_update(&detector, now, &watch);
		return detector.health;
	}

	void end(kb_time_t now, size_t target, kb_result_t result,
		 uint64_t id = 0)
	{
		kb_watch_on_report(&watch, now, target,
				   id ? id : watch.targets[target].probes[0].id,
				   result, result ? nullptr : &reports[target]);
	}

	/*
	 * Sends what is due at `now`; the targets of the bit set `answering`
	 * answer `rtt` later. Returns the health then.
	 */
	kb_health_t step(kb_time_t now, unsigned answering, kb_time_t rtt = MS)
	{
		uint64_t ids[3] = {};

		kb_watch_on_timer(&watch, now);
		for (size_t i = 0; i < 3; i++)
			if (answering >> i & 1 && watch.targets[i].in_flight)
				ids[i] = watch.targets[i].probes[0].id;
		for (size_t i = 0; i < 3; i++)
			if (ids[i])
				end(now + rtt, i, KB_OK, ids[i]);
		return health(now + rtt);
	}

	kb_time_t settle(kb_time_t now)
	{
		for (int i = 0; i < 20; i++, now += 100 * MS)
			step(now, 7);
		return now;
	}
};

TEST_F(detector_fixture, StallShorterThanTheLimitIsNotDeath)
{
	kb_time_t now = settle(0);

	for (kb_time_t stall = 50 * MS; stall <= 290 * MS; stall += 10 * MS) {
		kb_time_t end = now + stall;

		for (; now < end; now += 5 * MS)
			EXPECT_NE(KB_HEALTH_DEAD, step(now, 6)) << stall;
		EXPECT_EQ(KB_HEALTH_OK, step(now + 150 * MS, 7)) << stall;
		now = settle(now + 250 * MS);
	}
}

TEST_F(detector_fixture, SilenceIsSuspectThenDead)
{
	kb_time_t now = settle(0), begin = now;

	EXPECT_EQ(KB_HEALTH_OK, step(now, 6));
	while (health(now) == KB_HEALTH_OK)
		step(now += MS, 6);
	EXPECT_EQ(KB_HEALTH_SUSPECT, detector.health);
	while (health(now) == KB_HEALTH_SUSPECT)
		step(now += MS, 6);
	EXPECT_EQ(KB_HEALTH_DEAD, detector.health);
	EXPECT_EQ(KB_CAUSE_SILENT, detector.cause);
	EXPECT_GT(now - begin, 300 * MS);
	EXPECT_LT(now - begin, 400 * MS);
}

TEST_F(detector_fixture, LimitOfSilenceGrowsWithTheRoundTripUpToABound)
{
	kb_time_t now = 0, last = 0;

	for (kb_time_t rtt : { MS, 16 * MS, 60 * MS, 400 * MS, 1400 * MS }) {
		for (int i = 0; i < 50; i++, now += 9000 * MS)
			step(now, 7, rtt);
		EXPECT_GT(kb_detector_timeout(&detector, &watch.targets[0]),
			  last);
		last = kb_detector_timeout(&detector, &watch.targets[0]);
	}
	EXPECT_LE(last, KB_DETECTOR_MAX_TIMEOUT_MS * MS);
}

TEST_F(detector_fixture, RefusedConnectionsAreDeadSooner)
{
	kb_time_t now = settle(0), begin = now;

	for (; now - begin < 1000 * MS && health(now) != KB_HEALTH_DEAD;
	     now += 5 * MS) {
		step(now, 6);
		if (watch.targets[0].in_flight)
			end(now, 0, KB_ERR_UNREACHABLE);
	}
	EXPECT_EQ(KB_CAUSE_REFUSED, detector.cause);
	EXPECT_GE(now - begin, 150 * MS);
	EXPECT_LT(now - begin, 250 * MS);
}

TEST_F(detector_fixture, OtherFailuresOfAProbeAreSilence)
{
	kb_time_t now = settle(0), begin = now;

	for (; now - begin < 290 * MS; now += 5 * MS) {
		step(now, 6);
		if (watch.targets[0].in_flight)
			end(now, 0, KB_ERR_TIMEOUT);
		EXPECT_NE(KB_HEALTH_DEAD, health(now));
	}
}

TEST_F(detector_fixture, HostWithoutAMajorityIsCutOff)
{
	unsigned cases[] = { 0, 1, 2, 4 };

	for (unsigned answering : cases) {
		kb_time_t now, end;

		SetUp();
		now = settle(0);
		for (end = now + 2000 * MS; now < end; now += 20 * MS)
			EXPECT_NE(KB_HEALTH_DEAD, step(now, answering))
				<< answering;
		EXPECT_EQ(KB_HEALTH_CUT_OFF, health(now)) << answering;
	}
}

TEST_F(detector_fixture, ReplicaThatReceivesEntriesShowsALivingPrimary)
{
	kb_time_t now = settle(0), end = now + 2000 * MS;

	for (; now < end; now += 20 * MS) {
		reports[2].received++;
		EXPECT_NE(KB_HEALTH_DEAD, step(now, 6));
	}
	for (end = now + 300 * MS; now < end; now += 20 * MS)
		step(now, 6);
	EXPECT_EQ(KB_HEALTH_DEAD, health(now));
}

TEST_F(detector_fixture, ReportsDecide)
{
	const kb_role_t P = KB_ROLE_PRIMARY, R = KB_ROLE_REPLICA;
	struct {
		const char *what;
		kb_report_t reports[3];
		kb_time_t after;
		kb_health_t health;
		kb_cause_t cause;
	} cases[] = {
		{ "healthy",
		  { make_report(1, P, 9, "1:1"), make_report(1, R, 9, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  3000 * MS,
		  KB_HEALTH_OK,
		  KB_CAUSE_NONE },
		{ "nobody is primary",
		  { make_report(1, R, 9, "1:1"), make_report(1, R, 9, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  100 * MS,
		  KB_HEALTH_DEAD,
		  KB_CAUSE_NO_PRIMARY },
		{ "majority fenced",
		  { make_report(1, P, 9, "1:1"), make_report(2, R, 9, "1:1"),
		    make_report(2, R, 9, "1:1") },
		  100 * MS,
		  KB_HEALTH_DEAD,
		  KB_CAUSE_NO_PRIMARY },
		{ "one target fenced, for a while",
		  { make_report(1, P, 9, "1:1"), make_report(2, R, 9, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  1500 * MS,
		  KB_HEALTH_OK,
		  KB_CAUSE_NONE },
		{ "one target fenced, for long",
		  { make_report(1, P, 9, "1:1"), make_report(2, R, 9, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  3000 * MS,
		  KB_HEALTH_DEAD,
		  KB_CAUSE_TERM_AHEAD },
		{ "no replica receives the log, for a while",
		  { make_report(1, P, 99, "1:1"), make_report(1, R, 9, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  1500 * MS,
		  KB_HEALTH_OK,
		  KB_CAUSE_NONE },
		{ "no replica receives the log, for long",
		  { make_report(1, P, 99, "1:1"), make_report(1, R, 9, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  3500 * MS,
		  KB_HEALTH_DEAD,
		  KB_CAUSE_REPLICATION },
		{ "one replica behind for long",
		  { make_report(1, P, 99, "1:1"), make_report(1, R, 99, "1:1"),
		    make_report(1, R, 9, "1:1") },
		  3500 * MS,
		  KB_HEALTH_OK,
		  KB_CAUSE_NONE },
	};

	for (const auto &c : cases) {
		SetUp();
		std::copy(c.reports, c.reports + 3, reports);
		for (kb_time_t now = 0; now <= c.after; now += 50 * MS)
			step(now, 7);
		EXPECT_EQ(c.health, detector.health) << c.what;
		EXPECT_EQ(c.cause, detector.cause) << c.what;
	}
}

TEST_F(detector_fixture, StalledPrimaryDoesNotCountAsStalledReplication)
{
	kb_time_t now = settle(0), end;

	detector.params.stall = detector.params.max_silence = 9000 * MS;
	reports[0].received++;
	now = settle(now);
	for (end = now + 4000 * MS; now < end; now += 20 * MS)
		step(now, 6);
	EXPECT_EQ(KB_HEALTH_SUSPECT, health(now));
	EXPECT_EQ(KB_HEALTH_OK, step(now + 200 * MS, 7));
}

TEST_F(detector_fixture, NothingIsSaidBeforeEveryTargetHadItsTime)
{
	reports[1] = reports[2] = make_report(2, KB_ROLE_REPLICA, 9, "1:1");
	EXPECT_EQ(KB_HEALTH_UNKNOWN, step(0, 0));
	EXPECT_EQ(KB_HEALTH_UNKNOWN, step(0, 6));
	EXPECT_EQ(KB_HEALTH_UNKNOWN, step(200 * MS, 6));
	EXPECT_EQ(KB_HEALTH_DEAD, step(400 * MS, 6));
}
