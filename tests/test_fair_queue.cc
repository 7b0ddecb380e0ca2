#include "load/fair_queue.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

int allow_all(void *, const kb_name_t *)
{
	return 1;
}

const kb_fair_filter_t everything = { 1, allow_all, nullptr };

kb_name_t name(const std::string &text)
{
	kb_name_t result;

	kb_name_set(&result, { text.data(), text.size() });
	return result;
}

/* A queue with two classes, all flows of which are in use. */
class FullFairQueue : public ::testing::Test
{
      protected:
	std::unique_ptr<kb_fair_queue_t> queue =
		std::make_unique<kb_fair_queue_t>();
	std::vector<kb_fair_entry_t> entries{ KB_FAIR_MAX_FLOWS };

	void SetUp() override
	{
		kb_fair_queue_init(queue.get());
		for (const char *text : { "counter", "bench" }) {
			kb_traffic_class_t spec = {};

			spec.name = name(text);
			spec.weight = 1;
			spec.queue_limit = 1000;
			ASSERT_EQ(KB_OK,
				  kb_fair_queue_set_class(queue.get(), &spec));
		}
		for (size_t i = 0; i < entries.size(); i++)
			ASSERT_EQ(KB_OK, push(entries[i], 0,
					      "caller-" + std::to_string(i),
					      KB_FAIR_PRIORITY_STATEMENT));
	}

	kb_result_t push(kb_fair_entry_t &entry, size_t class_index,
			 const std::string &caller, kb_fair_priority_t priority)
	{
		kb_name_t of = name(caller);

		return kb_fair_queue_push(queue.get(), &entry, class_index, &of,
					  priority);
	}
};

} // namespace

TEST_F(FullFairQueue, NewWorkIsRefused)
{
	kb_fair_entry_t entry = {};

	for (kb_fair_priority_t priority :
	     { KB_FAIR_PRIORITY_STATEMENT, KB_FAIR_PRIORITY_BEGIN })
		EXPECT_EQ(KB_ERR_OVERLOADED,
			  push(entry, 0, "one more", priority));
	EXPECT_EQ((unsigned)KB_FAIR_MAX_FLOWS, queue->queued);
}

TEST_F(FullFairQueue, StatementsOfOpenTransactionsAreTaken)
{
	kb_fair_entry_t own[2] = {};
	size_t found = 0;

	for (size_t i = 0; i < 2; i++)
		ASSERT_EQ(KB_OK, push(own[i], i, "one more",
				      KB_FAIR_PRIORITY_IN_TRANSACTION));
	EXPECT_EQ(KB_FAIR_MAX_FLOWS + 2u, queue->queued);
	while (queue->queued) {
		kb_fair_entry_t *entry =
			kb_fair_queue_pop(queue.get(), &everything);

		ASSERT_NE(nullptr, entry);
		found += entry == &own[0] || entry == &own[1];
		kb_fair_queue_complete(queue.get(), entry, MS);
	}
	EXPECT_EQ(2u, found);
	EXPECT_EQ(0, kb_fair_queue_expected_work(queue.get()));
}
