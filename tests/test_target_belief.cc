#include "fake_link_connector.h"
#include "load/target_belief.h"
#include "proxy_internal.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host that is the gate of one replica. */
class Gate : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	kb_settings_t settings{};
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	kb_target_entry_t target{};
	std::vector<std::unique_ptr<Statement>> reads;
	std::map<Statement *, kb_time_t> began, ended;
	std::map<FakeLink *, bool> opened;

	Gate()
	{
		time.now = 100 * KB_NS_PER_S;
		*proxy = {};
		proxy->clock = &time.base;
		proxy->setup.connector = &connector.base;
		proxy->setup.settings = &settings;
		kb_name_set(&target.place.group, KB_STR("g"));
		kb_name_set(&target.place.target, KB_STR("r"));
		kb_name_set(&target.place.endpoint.address,
			    KB_STR("127.0.0.1"));
		target.place.endpoint.port = 1;
		target.slots = 2;
		kb_target_list_put(&proxy->targets, &target);
	}

	~Gate() override
	{
		HASH_CLEAR(by_target, proxy->gates_by_target);
		for (size_t i = 0; i < proxy->gate_count; i++)
			kb_proxy_gate_free(proxy->gates[i]);
		free(proxy->gates);
		kb_target_list_finish(&proxy->targets);
	}

	Statement *read(uint64_t include = 0)
	{
		Statement *statement = new Statement();

		reads.emplace_back(statement);
		statement->args.include = { 1, include };
		began[statement] = time.now;
		statement->then = [this, statement] {
			ended[statement] = time.now;
		};
		kb_proxy_gate_run(proxy.get(), &target, &statement->args,
				  Statement::done, statement);
		return statement;
	}

	void pass(int ms)
	{
		for (int i = 0; i < ms; i += 20) {
			time.now += 20 * MS;
			kb_proxy_gates_tick(proxy.get(), time.now);
		}
	}

	/* Opens connections and answers, as a replica that ends at `end`. */
	void answer_all(uint64_t end)
	{
		for (size_t i = 0; i < connector.links.size(); i++) {
			FakeLink *link = connector.links[i];

			if (!link->closed && !opened[link]) {
				opened[link] = true;
				connector.opened(link);
			}
			if (!link->closed && link->waiting)
				connector.answer(link,
						 link->include.position > end
							 ? KB_ERR_NOT_FRESH
							 : KB_OK,
						 { 1, end });
		}
	}
};

} // namespace

TEST(TargetBelief, RepeatedFailuresWithoutAnAnswerForAWhileAreSilence)
{
	kb_target_belief_t belief = {};

	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_ANSWERED, { 1, 5 },
				  1000 * MS);
	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_TIMED_OUT, {},
				  1300 * MS);
	EXPECT_FALSE(kb_target_belief_is_silent(&belief, 1300 * MS));
	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_CONNECTION_LOST, {},
				  1310 * MS);
	EXPECT_TRUE(kb_target_belief_is_silent(&belief, 1310 * MS));
	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_ANSWERED, { 1, 5 },
				  1320 * MS);
	EXPECT_FALSE(kb_target_belief_is_silent(&belief, 1320 * MS));
	/* Long statements end late, while others are answered. */
	for (int i = 0; i < 5; i++)
		kb_target_belief_on_event(&belief, KB_TARGET_EVENT_TIMED_OUT,
					  {}, 1400 * MS);
	EXPECT_FALSE(kb_target_belief_is_silent(&belief, 1560 * MS));
	EXPECT_TRUE(kb_target_belief_is_silent(&belief, 1570 * MS));
	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_ANSWERED, { 1, 6 },
				  1580 * MS);
	EXPECT_FALSE(kb_target_belief_is_silent(&belief, 1580 * MS));
}

TEST(TargetBelief, OneStatementIsLetThroughToASilentTargetAtATime)
{
	kb_target_belief_t belief = {};
	kb_time_t now = 10000 * MS;
	int sent = 0;

	for (int i = 0; i < 2; i++)
		kb_target_belief_on_event(&belief, KB_TARGET_EVENT_TIMED_OUT,
					  {}, now);
	for (int i = 0; i < 100; i++, now += 10 * MS)
		sent += kb_target_belief_judge(&belief, {}, now) ==
			KB_TARGET_SEND;
	EXPECT_EQ(4, sent);
}

TEST(TargetBelief, APositionHoldsForAShortTime)
{
	kb_target_belief_t belief = {};

	EXPECT_EQ(KB_TARGET_SEND,
		  kb_target_belief_judge(&belief, { 1, 9 }, 5000 * MS));
	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_ANSWERED, { 1, 7 },
				  5000 * MS);
	EXPECT_EQ(KB_TARGET_SEND,
		  kb_target_belief_judge(&belief, { 1, 7 }, 5010 * MS));
	EXPECT_EQ(KB_TARGET_LAGS,
		  kb_target_belief_judge(&belief, { 1, 8 }, 5010 * MS));
	EXPECT_EQ(KB_TARGET_SEND,
		  kb_target_belief_judge(&belief, { 1, 8 }, 5050 * MS));
	/* An answer without a position does not change it. */
	kb_target_belief_on_event(&belief, KB_TARGET_EVENT_ANSWERED, {},
				  5020 * MS);
	EXPECT_EQ(KB_TARGET_LAGS,
		  kb_target_belief_judge(&belief, { 1, 8 }, 5030 * MS));
}

/* The target is behind a cut: no read may wait there until its deadline. */
TEST_F(Gate, ReadsForASilentTargetAreRefusedSoonAndNotWithTheirDeadline)
{
	int slow = 0, refused = 0;

	read();
	answer_all(5);
	answer_all(5);
	for (int i = 0; i < 200; i++) {
		read();
		pass(20);
	}
	pass(1000);
	for (size_t i = 1; i < reads.size(); i++) {
		Statement *statement = reads[i].get();

		ASSERT_EQ(1, statement->ended);
		if (began[statement] < 101500 * MS)
			continue;
		refused += statement->result == KB_ERR_UNREACHABLE;
		slow += ended[statement] - began[statement] > 100 * MS;
	}
	EXPECT_LT(100, refused);
	EXPECT_EQ(0, slow);
	/* The cut ends: the next trial finds the target answering. */
	read();
	answer_all(9);
	answer_all(9);
	EXPECT_FALSE(
		kb_target_belief_is_silent(&proxy->gates[0]->belief, time.now));
}

/* A replica stands still, and reads ask it for a point that it lacks. */
TEST_F(Gate, FewReadsReachATargetThatLacksWhatTheyAskFor)
{
	size_t sent;

	read();
	answer_all(5);
	answer_all(5);
	sent = connector.sent.size();
	for (int i = 0; i < 1000; i++) {
		read(50);
		answer_all(5);
		time.now += MS;
	}
	EXPECT_LE(connector.sent.size() - sent, 21u);
	EXPECT_EQ(KB_ERR_NOT_FRESH, reads.back()->result);
	/* It has caught up. */
	time.now += 60 * MS;
	read(50);
	answer_all(60);
	answer_all(60);
	EXPECT_EQ(KB_OK, reads.back()->result);
	read(50);
	answer_all(60);
	EXPECT_EQ(KB_OK, reads.back()->result);
}
