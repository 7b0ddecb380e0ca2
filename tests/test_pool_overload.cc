#include "fake_link_connector.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;
/* Service times alternate. */
constexpr int SHORT_SERVICE_MS = 15;
constexpr int LONG_SERVICE_MS = 50;
constexpr int OBJECTIVE_MS = 300;
constexpr int ARRIVAL_INTERVAL_MS = 4;
constexpr int DURATION_MS = 4000;

int always(void *, kb_time_t)
{
	return 1;
}

void ignore(void *, kb_target_event_t, kb_point_t)
{
}

struct Read : Statement {
	kb_time_t arrived_at = 0;
	kb_time_t ended_at = 0;
};

} // namespace

/*
 * Twice as many reads arrive as the target can serve. Serving those whose
 * objective passes while they run would make nearly every answer late.
 */
TEST(PoolOverload, WhatIsServedMeetsItsObjective)
{
	static const kb_link_pool_ops_t ops = { always, ignore };
	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	kb_link_place_t place = {};
	std::vector<std::unique_ptr<Read>> reads;
	std::map<FakeLink *, kb_time_t> due;
	std::map<FakeLink *, bool> opened;
	int in_time = 0, late = 0, served = 0;

	kb_link_pool_init(&pool, &ops, nullptr, &connector.base, &time.base, 1);
	kb_name_set(&place.target, KB_STR("t1"));
	kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
	place.endpoint.port = 1;
	kb_link_pool_bind(&pool, &place, 2, 4);
	for (int ms = 0; ms < DURATION_MS; ms++, time.now += MS) {
		if (ms % ARRIVAL_INTERVAL_MS == 0) {
			Read *read = new Read();

			reads.emplace_back(read);
			read->args.time_left_us = 1000000;
			read->args.objective_left_us = OBJECTIVE_MS * 1000;
			read->arrived_at = time.now;
			read->then = [read, &time] {
				read->ended_at = time.now;
			};
			kb_link_pool_run(&pool, &read->args, Statement::done,
					 read);
		}
		for (size_t i = 0; i < connector.links.size(); i++) {
			FakeLink *link = connector.links[i];

			if (link->closed)
				continue;
			if (!opened[link]) {
				opened[link] = true;
				connector.opened(link);
			}
			if (!link->waiting)
				continue;
			if (!due[link])
				due[link] = time.now +
					    (served++ % 2 ? LONG_SERVICE_MS
							  : SHORT_SERVICE_MS) *
						    MS;
			if (time.now < due[link])
				continue;
			due[link] = 0;
			connector.answer(link);
		}
		kb_link_pool_tick(&pool);
	}
	for (const auto &read : reads) {
		if (!read->ended || read->result ||
		    read->arrived_at < reads[0]->arrived_at + 1000 * MS)
			continue;
		if (read->ended_at - read->arrived_at <= OBJECTIVE_MS * MS)
			in_time++;
		else
			late++;
	}
	EXPECT_LT(100, in_time);
	EXPECT_LT(late * 10, in_time) << "late " << late;
	kb_link_pool_finish(&pool);
}
