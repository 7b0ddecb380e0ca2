#include "fake_fleet.h"
#include "gate_map.h"
#include "rendezvous.h"
#include "watchers.h"

#include <gtest/gtest.h>

static size_t moves;

static void count_move(kb_gate_map_t *, kb_gate_t *, uint32_t)
{
	moves++;
}

static void ignore_move(kb_gate_map_t *, kb_gate_t *, uint32_t)
{
}

/* A table of hosts with a gate map over many targets. */
class GateMapTest : public testing::Test
{
      protected:
	enum { HOSTS = 30, TARGETS = 900 };
	kb_member_table_t table;
	kb_gate_map_t map;
	std::vector<kb_target_spec_t> targets;
	std::vector<kb_gate_t> gates;

	void SetUp() override
	{
		static const kb_gate_map_ops_t ops = { count_move };

		kb_member_table_init(&table);
		for (size_t i = 0; i < HOSTS; i++)
			add(FakeFleet::record_of(i, 1));
		kb_gate_map_init(&map, &ops, &table);
		targets.resize(TARGETS);
		gates.resize(TARGETS);
		for (size_t i = 0; i < TARGETS; i++) {
			targets[i] = target_of(i);
			kb_gate_map_add(&map, &gates[i], &targets[i]);
		}
		moves = 0;
	}

	void TearDown() override
	{
		kb_member_table_finish(&table);
	}

	uint32_t add(const kb_member_record_t &record)
	{
		uint32_t index;

		EXPECT_EQ(KB_OK, kb_member_table_add(&table, &record, &index));
		return index;
	}

	static kb_target_spec_t target_of(size_t n)
	{
		kb_member_record_t place = FakeFleet::record_of(n, 1);
		kb_target_spec_t target = {};

		kb_name_set(&target.name,
			    kb_str_from(("t" + std::to_string(n)).c_str()));
		target.data_centre = place.data_centre;
		target.region = place.region;
		return target;
	}

	void change(uint32_t index, kb_member_state_t state)
	{
		kb_member_record_t record;

		kb_member_to_record(&table.members[index], &record);
		record.incarnation++;
		record.state = state;
		kb_member_table_update(&table, index, &record);
		kb_gate_map_on_member(&map, &table.members[index]);
	}

	size_t held_by(uint32_t index)
	{
		size_t count = 0;

		for (kb_gate_t &gate : gates)
			count += gate.placement.host == index;
		return count;
	}

	/* Compares with a choice that starts from nothing. */
	void expect_same_as_fresh()
	{
		static const kb_gate_map_ops_t ops = { ignore_move };
		kb_gate_map_t fresh;
		kb_gate_t gate;

		kb_gate_map_init(&fresh, &ops, &table);
		for (size_t i = 0; i < TARGETS; i++) {
			kb_gate_map_add(&fresh, &gate, &targets[i]);
			EXPECT_EQ(gate.placement.host, gates[i].placement.host);
			kb_gate_map_remove(&fresh, &gate);
		}
	}

	bool gates_are_in(const char *centre, const char *region)
	{
		for (kb_gate_t &gate : gates) {
			const kb_member_t *host = kb_gate_host(&map, &gate);

			if (!kb_name_is(&gate.target->data_centre,
					kb_str_from(centre)))
				continue;
			if (!host || !kb_str_equal(kb_member_region(host),
						   kb_str_from(region)))
				return false;
		}
		return true;
	}
};

TEST_F(GateMapTest, PrefersTheDataCentreThenTheRegionThenAnywhere)
{
	for (kb_gate_t &gate : gates)
		EXPECT_EQ(KB_LOCALITY_DATA_CENTRE, gate.placement.nearness);
	for (uint32_t i = 0; i < HOSTS; i += 3)
		change(i, KB_MEMBER_DEAD);
	EXPECT_TRUE(gates_are_in("k1", "k"));
	for (uint32_t i = 1; i < HOSTS; i += 3)
		change(i, KB_MEMBER_DEAD);
	EXPECT_TRUE(gates_are_in("k1", "e"));
	for (uint32_t i = 2; i < HOSTS; i += 3)
		change(i, KB_MEMBER_DEAD);
	for (kb_gate_t &gate : gates)
		EXPECT_EQ(nullptr, kb_gate_host(&map, &gate));
}

struct Departure {
	const char *name;
	kb_member_state_t state;
	bool moves_gates;
};

static const Departure departures[] = {
	{ "dead", KB_MEMBER_DEAD, true },
	{ "leaving", KB_MEMBER_LEAVING, true },
	{ "suspect", KB_MEMBER_SUSPECT, false },
};

TEST_F(GateMapTest, MovesNoMoreThanTheShareOfTheHost)
{
	for (const Departure &departure : departures) {
		size_t share = held_by(7);

		moves = 0;
		EXPECT_GT(share, TARGETS / HOSTS / 2);
		EXPECT_LT(share, TARGETS / HOSTS * 2);
		change(7, departure.state);
		EXPECT_EQ(departure.moves_gates ? share : 0, moves)
			<< departure.name;
		expect_same_as_fresh();
		change(7, KB_MEMBER_ALIVE);
		EXPECT_EQ(departure.moves_gates ? 2 * share : 0, moves);
		EXPECT_EQ(share, held_by(7));
	}
}

TEST_F(GateMapTest, ANewHostTakesOnlyItsShare)
{
	uint32_t index = add(FakeFleet::record_of(HOSTS, 1));

	kb_gate_map_on_member(&map, &table.members[index]);
	EXPECT_EQ(held_by(index), moves);
	EXPECT_GT(moves, 0u);
	EXPECT_LT(moves, 2u * TARGETS / HOSTS);
	expect_same_as_fresh();
}

TEST_F(GateMapTest, RandomChangesEndWhereAFreshChoiceDoes)
{
	std::mt19937_64 random(3);

	for (int i = 0; i < 200; i++)
		change((uint32_t)(random() % HOSTS),
		       (kb_member_state_t)(random() % KB_MEMBER_STATE_COUNT));
	expect_same_as_fresh();
}

class WatchersTest : public GateMapTest
{
      protected:
	kb_group_spec_t group = {};
	kb_watchers_t watchers;

	void choose(size_t first, size_t step)
	{
		kb_name_set(&group.name, KB_STR("race-1"));
		group.target_count = 3;
		for (size_t i = 0; i < 3; i++)
			group.targets[i] = target_of(first + i * step);
		kb_watchers_choose(&watchers, &table, &group);
	}

	std::set<std::string> centres()
	{
		std::set<std::string> names;

		for (size_t i = 0; i < watchers.count; i++)
			names.insert(to_string(kb_member_data_centre(
				&table.members[watchers.hosts[i].host])));
		return names;
	}
};

TEST_F(WatchersTest, StandInDifferentDataCentres)
{
	for (size_t step : { 1, 3 }) {
		choose(0, step);
		EXPECT_EQ(3u, watchers.count);
		EXPECT_EQ(3u, centres().size());
		EXPECT_TRUE(watchers.spread);
		/* The first one is near a target. */
		EXPECT_EQ(KB_LOCALITY_DATA_CENTRE, watchers.hosts[0].nearness);
	}
}

TEST_F(WatchersTest, FillUpWhereDataCentresAreFew)
{
	for (uint32_t i = 2; i < HOSTS; i += 3)
		change(i, KB_MEMBER_DEAD);
	choose(0, 1);
	EXPECT_EQ(3u, watchers.count);
	EXPECT_EQ(2u, centres().size());
	for (uint32_t i = 4; i < HOSTS; i++)
		change(i, KB_MEMBER_DEAD);
	choose(0, 1);
	EXPECT_EQ(3u, watchers.count);
	change(0, KB_MEMBER_LEAVING);
	choose(0, 1);
	EXPECT_EQ(2u, watchers.count);
}

TEST_F(WatchersTest, FollowChangesAsAFreshChoiceWould)
{
	std::mt19937_64 random(5);
	size_t changes = 0;

	choose(0, 1);
	for (int i = 0; i < 2000; i++) {
		uint32_t index = (uint32_t)(random() % HOSTS);
		kb_watchers_t fresh;

		change(index,
		       (kb_member_state_t)(random() % KB_MEMBER_STATE_COUNT));
		changes += kb_watchers_on_member(&watchers, &table, &group,
						 &table.members[index]);
		kb_watchers_choose(&fresh, &table, &group);
		ASSERT_EQ(fresh.count, watchers.count);
		for (size_t n = 0; n < fresh.count; n++)
			ASSERT_EQ(fresh.hosts[n].host, watchers.hosts[n].host);
	}
	EXPECT_LT(changes, 1000u);
}
