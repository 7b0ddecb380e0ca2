#include "load/team_allowance.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr kb_time_t S = KB_NS_PER_S;

class TeamAllowance : public ::testing::Test
{
      protected:
	kb_team_allowance_t allowance;
	kb_allowance_ticket_t ticket = {};
	kb_time_t now = 100 * S;
	kb_time_t retry = 0;

	TeamAllowance()
	{
		kb_team_allowance_init(&allowance, 0, 1);
		kb_team_allowance_configure(&allowance, 3, 500 * MS);
	}

	kb_allowance_verdict_t take()
	{
		return kb_team_allowance_take(&allowance, now, &ticket, &retry);
	}

	/* Asks as many shares as it wants to; returns a bit for each. */
	unsigned ask()
	{
		unsigned asked = 0, share;

		while (kb_team_allowance_wanted(&allowance, now, &share)) {
			asked |= 1U << share;
			kb_team_allowance_asked(&allowance, share, now);
		}
		return asked;
	}

	void lend(unsigned share, unsigned operations, kb_time_t denied = 0)
	{
		kb_team_allowance_on_loan(&allowance, share,
					  allowance.shares[share].asked_at,
					  operations, denied, now);
	}
};

} // namespace

TEST_F(TeamAllowance, RunsNothingWithoutALoan)
{
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	EXPECT_EQ(0u, ask());
	allowance.waiting = 1;
	EXPECT_EQ(1u, ask());
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	lend(0, 1);
	EXPECT_EQ(KB_ALLOWANCE_GRANTED, take());
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
}

TEST_F(TeamAllowance, ALoanEndsAfterItsLifetimeSinceTheRequest)
{
	allowance.waiting = 1;
	ask();
	now += 400 * MS;
	lend(0, 2);
	now += 99 * MS;
	EXPECT_EQ(KB_ALLOWANCE_GRANTED, take());
	now += 1 * MS;
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
}

TEST_F(TeamAllowance, ALateLoanIsWorthNothing)
{
	allowance.waiting = 1;
	ask();
	now += 500 * MS;
	lend(0, 5);
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
}

TEST_F(TeamAllowance, AsksTheNextShareAfterADenial)
{
	allowance.waiting = 1;
	EXPECT_EQ(1u, ask());
	lend(0, 0, 300 * MS);
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	EXPECT_EQ(2u, ask());
	lend(1, 0, 200 * MS);
	EXPECT_EQ(4u, ask());
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	lend(2, 0, 400 * MS);
	EXPECT_EQ(KB_ALLOWANCE_REFUSED, take());
	EXPECT_GE(retry, 200 * MS);
	EXPECT_LE(retry, 800 * MS);
	EXPECT_EQ(0u, ask());
	/* The first denial to end counts. */
	now += 200 * MS;
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	EXPECT_EQ(2u, ask());
}

TEST_F(TeamAllowance, AsksKeepersThatAreNearFirst)
{
	allowance.waiting = 1;
	allowance.shares[1].near = 1;
	allowance.shares[2].near = 1;
	EXPECT_EQ(2u, ask());
	lend(1, 0, 300 * MS);
	EXPECT_EQ(4u, ask());
	lend(2, 0, 300 * MS);
	EXPECT_EQ(1u, ask());
}

TEST_F(TeamAllowance, SpreadsTheTimesAtWhichCallersReturn)
{
	kb_time_t least = 10 * S, most = 0;

	allowance.waiting = 1;
	for (unsigned share = 0; share < 3; share++) {
		ask();
		lend(share, 0, 100 * MS);
	}
	for (int i = 0; i < 50; i++) {
		ASSERT_EQ(KB_ALLOWANCE_REFUSED, take());
		least = std::min(least, retry);
		most = std::max(most, retry);
	}
	EXPECT_GT(most - least, 500 * MS);
}

TEST_F(TeamAllowance, SpreadsReturnsOverTheQueueOfAllHosts)
{
	kb_time_t most = 0;

	allowance.waiting = 1;
	for (unsigned share = 0; share < 3; share++) {
		ask();
		lend(share, 0, 30 * MS);
		kb_team_allowance_on_queue(&allowance, share, 4 * S, now);
	}
	for (int i = 0; i < 50; i++) {
		ASSERT_EQ(KB_ALLOWANCE_REFUSED, take());
		/* After the turn of each caller before it. */
		EXPECT_GE(retry, (30 + 10 * (i + 1)) * MS);
		EXPECT_LE(retry, 4 * S + 500 * MS);
		most = std::max(most, retry);
	}
	EXPECT_GT(most, 2 * S);
}

TEST_F(TeamAllowance, AsksAnotherShareIfTheFirstIsSlow)
{
	allowance.waiting = 1;
	EXPECT_EQ(1u, ask());
	now += 79 * MS;
	EXPECT_EQ(0u, ask());
	now += 1 * MS;
	EXPECT_EQ(2u, ask());
	lend(1, 1);
	EXPECT_EQ(KB_ALLOWANCE_GRANTED, take());
	/* A share whose answers take 4 ms is slow after 23 ms. */
	kb_team_allowance_configure(&allowance, 1, 500 * MS);
	kb_team_allowance_configure(&allowance, 3, 500 * MS);
	lend(0, 0);
	allowance.shares[0].round_trip = 4 * MS;
	EXPECT_EQ(1u, ask());
	now += 23 * MS;
	EXPECT_EQ(2u, ask());
}

TEST_F(TeamAllowance, PassesAKeeperOverThatFailed)
{
	allowance.waiting = 1;
	EXPECT_EQ(1u, ask());
	kb_team_allowance_on_failure(&allowance, 0, now);
	EXPECT_EQ(2u, ask());
	kb_team_allowance_on_failure(&allowance, 1, now);
	EXPECT_EQ(4u, ask());
	kb_team_allowance_on_failure(&allowance, 2, now);
	/* Nobody has denied: the operation waits. */
	EXPECT_EQ(0u, ask());
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	now += 50 * MS;
	EXPECT_EQ(1u, ask());
}

TEST_F(TeamAllowance, RefusesIfSomeDenyAndTheOthersFail)
{
	allowance.waiting = 1;
	ask();
	lend(0, 0, 300 * MS);
	ask();
	kb_team_allowance_on_failure(&allowance, 1, now);
	ask();
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
	kb_team_allowance_on_failure(&allowance, 2, now);
	EXPECT_EQ(KB_ALLOWANCE_REFUSED, take());
}

TEST_F(TeamAllowance, AsksForWhatWaitsAndALittleAhead)
{
	unsigned share;

	allowance.waiting = 3;
	EXPECT_EQ(3u, kb_team_allowance_wanted(&allowance, now, &share));
	for (int i = 0; i < 2000; i++) {
		now += 5 * MS;
		kb_team_allowance_arrived(&allowance, now);
	}
	/* 200 a second for 0.1 s */
	EXPECT_NEAR(20, kb_team_allowance_wanted(&allowance, now, &share), 2);
	now += 20 * S;
	EXPECT_EQ(3u, kb_team_allowance_wanted(&allowance, now, &share));
}

TEST_F(TeamAllowance, TakesAnOperationBackUntilTheLoanEnds)
{
	kb_allowance_ticket_t given;

	allowance.waiting = 1;
	ask();
	lend(0, 1);
	EXPECT_EQ(KB_ALLOWANCE_GRANTED, take());
	given = ticket;
	now += 100 * MS;
	kb_team_allowance_give_back(&allowance, &given, now);
	EXPECT_EQ(KB_ALLOWANCE_GRANTED, take());
	now += 400 * MS;
	kb_team_allowance_give_back(&allowance, &given, now);
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
}

/* What is given back never outlives its own loan. */
TEST_F(TeamAllowance, GivingBackDoesNotProlongALoan)
{
	kb_allowance_ticket_t given;

	allowance.waiting = 1;
	ask();
	lend(0, 1);
	EXPECT_EQ(KB_ALLOWANCE_GRANTED, take());
	given = ticket;
	now += 300 * MS;
	ask();
	lend(0, 1);
	kb_team_allowance_give_back(&allowance, &given, now);
	now += 200 * MS;
	EXPECT_EQ(KB_ALLOWANCE_WAIT, take());
}
