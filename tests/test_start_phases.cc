#include "start_phases.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <string>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

std::string metrics(const kb_start_phases_t *phases)
{
	struct evbuffer *out = evbuffer_new();
	std::string text;

	kb_start_phases_write(phases, out);
	text.assign((const char *)evbuffer_pullup(out, -1),
		    evbuffer_get_length(out));
	evbuffer_free(out);
	return text;
}

} // namespace

TEST(StartPhases, APhaseIsReachedOnce)
{
	kb_start_phases_t phases;

	kb_start_phases_init(&phases, 5000 * MS);
	kb_start_phases_reach(&phases, KB_START_CONFIGURATION, 5250 * MS);
	kb_start_phases_reach(&phases, KB_START_CONFIGURATION, 9000 * MS);
	EXPECT_EQ(250 * MS, phases.took[KB_START_CONFIGURATION]);
	EXPECT_NE(std::string::npos,
		  metrics(&phases).find("{phase=\"configuration\"} 0.25"));
	EXPECT_EQ(std::string::npos, metrics(&phases).find("first-served"));
}

TEST(StartPhases, AGroupThatIsTakenOverLaterIsNotPartOfTheStart)
{
	kb_start_phases_t phases;
	kb_start_group_phases_t group = {};
	kb_name_t name;

	kb_name_set(&name, KB_STR("g"));
	kb_start_phases_init(&phases, 5000 * MS);
	kb_start_phases_reach_group(&phases, &group, &name,
				    KB_START_GROUP_LEASE, 5300 * MS);
	EXPECT_EQ(300 * MS, group.took[KB_START_GROUP_LEASE]);
	kb_start_phases_reach_group(&phases, &group, &name,
				    KB_START_GROUP_PRIMARY, 70000 * MS);
	EXPECT_EQ(0, group.took[KB_START_GROUP_PRIMARY]);
}
