#include "load/team_account.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr kb_time_t S = KB_NS_PER_S;

class TeamAccount : public ::testing::Test
{
      protected:
	kb_limit_tolerance_t tolerance = { 5 * S, 0.1, 20 };
	kb_team_accounts_t accounts;
	kb_limit_share_t share = kb_team_limit_share(90, 90, 3, &tolerance);
	kb_time_t now = 100 * S;

	TeamAccount()
	{
		kb_team_accounts_init(&accounts, 1);
		kb_team_accounts_begin(&accounts, 1, now);
	}

	~TeamAccount() override
	{
		kb_team_accounts_finish(&accounts);
	}

	kb_team_loan_t lend(unsigned operations, kb_str_t team = KB_STR("t"))
	{
		return kb_team_accounts_lend(&accounts, team, &share, 0,
					     operations, now);
	}

	unsigned lent(unsigned operations)
	{
		return lend(operations).operations;
	}
};

} // namespace

TEST(TeamLimit, DividesALimitIntoSharesOfWholeOperations)
{
	kb_limit_tolerance_t tolerance = { 5 * S, 0.1, 20 };
	kb_limit_tolerance_t strict = { 5 * S, 0.1, 0 };

	EXPECT_EQ(3u, kb_team_limit_shares(2, &tolerance, 8));
	EXPECT_EQ(3u, kb_team_limit_shares(21, &tolerance, 8));
	EXPECT_EQ(4u, kb_team_limit_shares(22, &tolerance, 8));
	EXPECT_EQ(2u, kb_team_limit_shares(22, &tolerance, 2));
	EXPECT_EQ(2u, kb_team_limit_shares(2, &tolerance, 2));
	EXPECT_EQ(0u, kb_team_limit_shares(2, &tolerance, 0));
	EXPECT_EQ(2u, kb_team_limit_shares(2, &strict, 8));
	EXPECT_EQ(1u, kb_team_limit_shares(0, &strict, 8));
}

/* Loans and buckets of all shares stay within the bound, whatever it is. */
TEST(TeamLimit, KeepsTheBoundForEveryTolerance)
{
	for (kb_time_t window : { S, 5 * S, 60 * S })
		for (double overage : { 0.0, 0.01, 0.1, 1.0 })
			for (double slack : { 0.0, 5.0, 20.0 }) {
				kb_limit_tolerance_t t = { window, overage,
							   slack };
				kb_limit_share_t share =
					kb_team_limit_share(100, 50, 3, &t);
				double span =
					(double)(window +
						 kb_team_limit_lifetime(&t)) /
					(double)S;
				double most = 3 * (share.rate * span +
						   share.capacity +
						   5 * share.initial);
				double bound =
					(100 * (double)window / (double)S +
					 50) * (1 + overage) +
					slack;

				EXPECT_LE(most, bound + 0.001)
					<< window << " " << overage << " "
					<< slack;
			}
}

TEST_F(TeamAccount, BeginsNearlyEmptyAndFills)
{
	EXPECT_EQ(0u, lent(100));
	now += S;
	EXPECT_EQ(30u, lent(30));
	now += 60 * S;
	/* (90 + 10) / 3 */
	EXPECT_EQ(33u, lent(100));
}

TEST_F(TeamAccount, FillsFromTheStartOfTheLease)
{
	now += 10 * S;
	EXPECT_EQ(33u, lent(100));
}

TEST_F(TeamAccount, AnotherLeaseEmptiesIt)
{
	now += 10 * S;
	EXPECT_EQ(10u, lent(10));
	kb_team_accounts_begin(&accounts, 1, now);
	EXPECT_EQ(10u, lent(10));
	kb_team_accounts_begin(&accounts, 2, now);
	EXPECT_EQ(0u, lent(10));
}

TEST_F(TeamAccount, ALowerLimitCapsItAtOnce)
{
	now += 10 * S;
	EXPECT_EQ(1u, lent(1));
	share = kb_team_limit_share(2, 2, 3, &tolerance);
	EXPECT_EQ(4u, lent(100));
}

TEST_F(TeamAccount, LeavesHalfToOthersWhileItIsShort)
{
	now += 10 * S;
	EXPECT_EQ(33u, lent(40));
	now += 500 * MS;
	EXPECT_EQ(8u, lent(40));
	EXPECT_EQ(4u, lent(40));
	/* Without a further denial it lends all again. */
	now += 10 * S;
	EXPECT_EQ(33u, lent(33));
}

TEST_F(TeamAccount, TellsDeniedHostsDifferentTimes)
{
	kb_time_t least = S, most = 0;

	for (int i = 0; i < 50; i++) {
		kb_time_t retry = lend(5).retry;

		least = std::min(least, retry);
		most = std::max(most, retry);
	}
	EXPECT_GT(least, 5 * MS);
	/* Before half of the bucket has filled. */
	EXPECT_LE(most, 560 * MS);
	EXPECT_GT(most - least, 200 * MS);
}

TEST_F(TeamAccount, TellsTheQueueOfAllThatWereDenied)
{
	/* 90 a second over all shares, which are asked for the same. */
	EXPECT_NEAR(1.0, (double)lend(90).queue / (double)S, 0.01);
	EXPECT_NEAR(2.0, (double)lend(90).queue / (double)S, 0.01);
	now += S;
	EXPECT_EQ(0, lend(10).queue);
	for (int i = 0; i < 10; i++)
		EXPECT_LE(lend(900).queue, 5 * S);
}

TEST_F(TeamAccount, ATeamWithoutARateGetsItsInitialTokensOnly)
{
	share = kb_team_limit_share(0, 0, 1, &tolerance);
	EXPECT_EQ(2u, lent(10));
	now += 1000 * S;
	EXPECT_EQ(0u, lent(10));
	EXPECT_GE(lend(1).retry, S);
}

TEST_F(TeamAccount, DropsAccountsThatAreNotKept)
{
	lend(1, KB_STR("a"));
	lend(1, KB_STR("b"));
	EXPECT_EQ(2u, HASH_CNT(by_team, accounts.by_team));
	kb_team_accounts_prune(
		&accounts,
		[](void *, kb_str_t team) {
			return kb_str_equal(team, KB_STR("b"));
		},
		nullptr);
	ASSERT_EQ(1u, HASH_CNT(by_team, accounts.by_team));
	EXPECT_TRUE(kb_name_is(&accounts.by_team->team, KB_STR("b")));
}
