#ifndef FAILOVER_FIXTURE_H
#define FAILOVER_FIXTURE_H

#include "group.h"
#include "report.h"

#include <gtest/gtest.h>
#include <cstring>
#include <string>

static const kb_time_t MS = KB_NS_PER_MS;

inline kb_group_spec_t make_group(size_t targets)
{
	kb_group_spec_t group = {};

	kb_name_set(&group.name, KB_STR("race-1"));
	group.target_count = targets;
	for (size_t i = 0; i < targets; i++) {
		std::string name = "race-1-" + std::string(1, (char)('a' + i));

		kb_name_set(&group.targets[i].name,
			    { name.data(), name.size() });
		kb_name_set(&group.targets[i].address, KB_STR("127.0.0.1"));
		group.targets[i].port = (uint16_t)(7000 + i);
	}
	return group;
}

inline kb_report_t make_report(uint64_t term, kb_role_t role, uint64_t received,
			       const char *history)
{
	kb_report_t report = {};

	report.term = term;
	report.role = role;
	report.received = report.applied = received;
	EXPECT_EQ(KB_OK,
		  kb_history_parse(&report.history, history, strlen(history)));
	return report;
}

#endif
