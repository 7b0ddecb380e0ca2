#include "sync_tree.h"

#include <gtest/gtest.h>

#include "fleet_table.h"

#include <map>
#include <set>

namespace
{

/* Makes `index` the host whose table this is. */
kb_sync_tree_t tree_of(FleetTable &table, size_t index)
{
	kb_sync_tree_t tree = {};

	table.hosts.self->self = 0;
	table.hosts.self = table.host(index);
	table.hosts.self->self = 1;
	kb_sync_tree_update(&tree, &table.hosts);
	return tree;
}

} // namespace

class SyncTree : public testing::TestWithParam<size_t>
{
};

TEST_P(SyncTree, EveryHostIsFedFromTheStoreByTwoOthers)
{
	FleetTable table(GetParam(), 0);
	std::map<size_t, std::set<size_t>> parents;
	std::map<size_t, size_t> children;
	std::set<size_t> readers;
	std::set<size_t> reached;
	unsigned depth = 0;

	for (size_t i = 0; i < GetParam(); i++) {
		kb_sync_tree_t tree = tree_of(table, i);

		depth = std::max(depth, tree.depth);
		if (tree.is_reader) {
			readers.insert(i);
			continue;
		}
		ASSERT_EQ(2u, tree.parent_count);
		for (size_t j = 0; j < 2; j++) {
			parents[i].insert(FleetTable::index(tree.parents[j]));
			children[FleetTable::index(tree.parents[j])]++;
		}
		EXPECT_EQ(2u, parents[i].size());
	}
	EXPECT_EQ(2u, readers.size());
	EXPECT_LE(depth, 5u);
	for (const auto &entry : children)
		EXPECT_LE(entry.second, 30u) << entry.first;
	reached = readers;
	for (unsigned hop = 0; hop < depth; hop++)
		for (const auto &entry : parents)
			for (size_t parent : entry.second)
				if (reached.count(parent))
					reached.insert(entry.first);
	EXPECT_EQ(GetParam(), reached.size());
}

TEST_P(SyncTree, AChangeCrossesTheLinkBetweenRegionsTwice)
{
	FleetTable table(GetParam(), 0);
	size_t crossings = 0;

	for (size_t i = 0; i < GetParam(); i++) {
		kb_sync_tree_t tree = tree_of(table, i);

		for (size_t j = 0; !tree.is_reader && j < tree.parent_count;
		     j++)
			crossings +=
				FleetTable::index(tree.parents[j]) % 2 != i % 2;
	}
	/* Two hosts ask two readers each, one at a time. */
	EXPECT_LE(crossings, 4u);
}

TEST_P(SyncTree, HostsWithAFastLinkFeedFirst)
{
	FleetTable table(GetParam(), 0);
	/* By data centre: slowest link that feeds, and fastest that is fed. */
	std::map<size_t, double> slowest;
	std::map<size_t, double> fastest;

	for (size_t i = 0; i < GetParam(); i++) {
		kb_sync_tree_t tree = tree_of(table, i);
		double link = table.host(i)->link_mbps;
		size_t data_centre = i % 6;
		bool is_fed_within =
			!tree.is_reader &&
			FleetTable::index(tree.parents[0]) % 6 == data_centre;

		if (is_fed_within)
			fastest[data_centre] =
				std::max(fastest[data_centre], link);
		else if (!slowest.count(data_centre) ||
			 link < slowest[data_centre])
			slowest[data_centre] = link;
	}
	for (const auto &entry : slowest)
		EXPECT_GE(entry.second, fastest[entry.first]);
}

/* Hosts next to a reader replace it first when it loses the store. */
TEST_P(SyncTree, TheDepthCountsTheHostsFromTheStore)
{
	FleetTable table(GetParam(), 0);
	std::map<size_t, unsigned> depths;
	size_t next_to_readers = 0;

	for (size_t i = 0; i < GetParam(); i++)
		depths[i] = tree_of(table, i).depth;
	for (size_t i = 0; i < GetParam(); i++) {
		kb_sync_tree_t tree = tree_of(table, i);
		unsigned nearest = UINT32_MAX;
		unsigned farthest = 0;

		if (tree.is_reader) {
			EXPECT_EQ(0u, tree.depth);
			continue;
		}
		next_to_readers += tree.depth == 1;
		for (size_t j = 0; j < tree.parent_count; j++) {
			unsigned depth =
				depths[FleetTable::index(tree.parents[j])];

			nearest = std::min(nearest, depth);
			farthest = std::max(farthest, depth);
		}
		EXPECT_GE(tree.depth, nearest + 1) << i;
		EXPECT_LE(tree.depth, farthest + 1) << i;
	}
	EXPECT_GE(next_to_readers, 4u);
}

TEST_P(SyncTree, AHostSkipsParentsThatHaveFailed)
{
	FleetTable table(GetParam(), 0);
	kb_sync_tree_t before = tree_of(table, GetParam() - 1);
	kb_sync_tree_t after;

	for (size_t i = 0; i < before.parent_count; i++)
		table.fail(FleetTable::index(before.parents[i]));
	after = tree_of(table, GetParam() - 1);
	ASSERT_EQ(2u, after.parent_count);
	for (size_t i = 0; i < 2; i++)
		for (size_t j = 0; j < 2; j++)
			EXPECT_NE(before.parents[i], after.parents[j]);
}

TEST_P(SyncTree, AHostThatFindsEveryOtherFailedReadsTheStore)
{
	FleetTable table(GetParam(), 0);
	kb_sync_tree_t tree;

	for (size_t i = 0; i < GetParam(); i++)
		if (i != 7)
			table.fail(i);
	tree = tree_of(table, 7);
	EXPECT_TRUE(tree.is_reader);
	EXPECT_EQ(0u, tree.parent_count);
}

INSTANTIATE_TEST_SUITE_P(Sizes, SyncTree, testing::Values(18, 300, 3600));

TEST(SyncTreeSmall, FewHostsFormATree)
{
	for (size_t count = 1; count <= 12; count++) {
		FleetTable table(count, 0);
		size_t readers = 0;

		for (size_t i = 0; i < count; i++) {
			kb_sync_tree_t tree = tree_of(table, i);

			readers += (size_t)tree.is_reader;
			EXPECT_TRUE(tree.is_reader || tree.parent_count);
		}
		EXPECT_EQ(std::min<size_t>(count, 2), readers);
	}
}
