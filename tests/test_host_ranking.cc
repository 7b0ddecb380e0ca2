#include "host_ranking.h"

#include <gtest/gtest.h>

#include "fleet_table.h"

#include <map>
#include <set>
#include <vector>

namespace
{

std::vector<std::string> rank(FleetTable &table, const std::string &key,
			      bool spread, const char *data_centre = "dc-2",
			      const char *region = "west")
{
	kb_host_ranking_t ranking = {};
	kb_host_ranking_subject_t subject = {
		{ key.data(), key.size() },
		kb_str_from(data_centre),
		kb_str_from(region),
		spread,
	};
	std::vector<std::string> names;

	kb_host_ranking_update(&ranking, &table.hosts, &subject);
	for (size_t i = 0; i < ranking.count; i++)
		names.push_back(ranking.hosts[i]->name.data);
	return names;
}

size_t data_centre(const std::string &name)
{
	return std::stoul(name.substr(strlen("host-"))) % 6;
}

} // namespace

class HostRanking : public testing::TestWithParam<size_t>
{
};

TEST_P(HostRanking, IsAlikeOnEveryHostWhateverItLearnedFirst)
{
	FleetTable first(GetParam(), 0);
	FleetTable last(GetParam(), GetParam() - 1, true);

	for (int i = 0; i < 20; i++) {
		std::string key = "group-" + std::to_string(i);

		EXPECT_EQ(rank(first, key, true), rank(last, key, true));
		EXPECT_EQ(rank(first, key, false), rank(last, key, false));
	}
}

TEST_P(HostRanking, TheFirstHostsAreNear)
{
	FleetTable table(GetParam(), 0);

	for (int i = 0; i < 20; i++) {
		std::string key = "target-" + std::to_string(i);

		for (const std::string &name : rank(table, key, false))
			EXPECT_EQ(2u, data_centre(name));
		EXPECT_EQ(2u, data_centre(rank(table, key, true)[0]));
	}
}

/* A group has five voters, of which a majority must survive. */
TEST_P(HostRanking, TheLossOfADataCentreLeavesMostOfTheFirstHosts)
{
	FleetTable table(GetParam(), 0);

	for (int i = 0; i < 20; i++) {
		std::vector<std::string> names =
			rank(table, "group-" + std::to_string(i), true);
		std::map<size_t, size_t> first;
		std::set<size_t> all;

		ASSERT_EQ((size_t)KB_HOST_RANKING_MAX, names.size());
		for (size_t j = 0; j < names.size(); j++) {
			all.insert(data_centre(names[j]));
			if (j < 5)
				first[data_centre(names[j])]++;
		}
		for (const auto &entry : first)
			EXPECT_LE(entry.second, 2u);
		/* Hosts of the other region can take over if this one ends. */
		EXPECT_GE(all.size(), 5u);
	}
}

TEST_P(HostRanking, StrongHostsGetMoreButNotAll)
{
	FleetTable table(GetParam(), 0);
	size_t strong = 0;

	for (int i = 0; i < 600; i++) {
		std::string name =
			rank(table, "target-" + std::to_string(i), false)[0];

		strong += table.host(std::stoul(name.substr(5)))
				  ->processor_share > 0.4;
	}
	/* Expected: 0.5 / (0.5 + 15 * 0.12) = 0.217. */
	EXPECT_NEAR(0.217 * 600, (double)strong, 60);
}

TEST_P(HostRanking, FailedAndUnlistedHostsComeLast)
{
	FleetTable table(GetParam(), 0);
	std::vector<std::string> before = rank(table, "g", true);

	table.fail(std::stoul(before[0].substr(5)));
	table.host(std::stoul(before[1].substr(5)))->unlisted_at = 1;
	kb_hosts_changed(&table.hosts);
	for (const std::string &name : rank(table, "g", true)) {
		EXPECT_NE(before[0], name);
		EXPECT_NE(before[1], name);
	}
}

INSTANTIATE_TEST_SUITE_P(Sizes, HostRanking, testing::Values(300, 3600));

TEST(HostRankingUpdate, IsDoneOnlyWhenTheMembershipHasChanged)
{
	FleetTable table(30, 0);
	kb_host_ranking_t ranking = {};
	kb_host_ranking_subject_t subject = { KB_STR("g"), KB_STR("dc-1"),
					      KB_STR("east"), 1 };

	kb_host_ranking_update(&ranking, &table.hosts, &subject);
	ranking.count = 3;
	kb_host_ranking_update(&ranking, &table.hosts, &subject);
	EXPECT_EQ(3u, ranking.count);
	table.fail(3);
	kb_host_ranking_update(&ranking, &table.hosts, &subject);
	EXPECT_EQ((size_t)KB_HOST_RANKING_MAX, ranking.count);
	ranking.count = 3;
	subject.data_centre = KB_STR("dc-3");
	kb_host_ranking_update(&ranking, &table.hosts, &subject);
	EXPECT_EQ((size_t)KB_HOST_RANKING_MAX, ranking.count);
}
