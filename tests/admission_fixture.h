#ifndef KB_TEST_ADMISSION_FIXTURE_H
#define KB_TEST_ADMISSION_FIXTURE_H

#include "load/admission.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <deque>
#include <functional>
#include <string>

static const kb_time_t MS = KB_NS_PER_MS;

struct Entry {
	kb_admission_entry_t entry = {};
	bool started = false;
	kb_result_t refused = KB_OK;
};

inline kb_name_t name(const std::string &text)
{
	kb_name_t result;

	kb_name_set(&result, { text.data(), text.size() });
	return result;
}

inline void add_class(kb_admission_t *admission, const char *text,
		      unsigned weight, unsigned limit, int bulk)
{
	kb_traffic_class_t spec = { name(text), weight, limit, 0, bulk };

	EXPECT_EQ(KB_OK, kb_admission_set_class(admission, &spec));
}

/* Admission control with the classes "counter" and "bulk"; records callbacks.
 */
struct Gate {
	kb_admission_t admission;
	std::deque<Entry> entries;
	std::deque<Entry *> running;
	unsigned max_running = 0;

	explicit Gate(unsigned slots = 2, unsigned connections = 7)
	{
		static const kb_admission_ops_t ops = {
			[](kb_admission_t *a, kb_admission_entry_t *e,
			   kb_time_t) {
				auto *gate = reinterpret_cast<Gate *>(a);
				auto *entry = reinterpret_cast<Entry *>(e);

				EXPECT_FALSE(entry->started || entry->refused);
				entry->started = true;
				gate->running.push_back(entry);
				gate->max_running = std::max(
					gate->max_running,
					(unsigned)gate->running.size());
			},
			[](kb_admission_t *, kb_admission_entry_t *e,
			   kb_result_t result, kb_time_t) {
				auto *entry = reinterpret_cast<Entry *>(e);

				EXPECT_FALSE(entry->started || entry->refused);
				EXPECT_NE(KB_OK, result);
				entry->refused = result;
			},
		};
		kb_admission_limits_t limits =
			kb_admission_default_limits(slots, connections);

		kb_admission_init(&admission, &ops, &limits);
		add_class(&admission, "counter", 4, 8, 0);
		add_class(&admission, "bulk", 1, 8, 1);
	}
	Entry &submit(kb_time_t now, const std::string &caller = "a",
		      const std::string &traffic_class = "counter",
		      kb_limited_transaction_t *transaction = nullptr,
		      bool ends = false, kb_time_t deadline = 1000000 * MS)
	{
		entries.emplace_back();
		Entry &entry = entries.back();

		entry.entry.caller = name(caller);
		entry.entry.traffic_class = name(traffic_class);
		entry.entry.deadline = deadline;
		entry.entry.transaction = transaction;
		entry.entry.ends_transaction = ends;
		kb_admission_submit(&admission, &entry.entry, now);
		return entry;
	}
	void finish(Entry &entry, kb_time_t now)
	{
		running.erase(
			std::find(running.begin(), running.end(), &entry));
		kb_admission_done(&admission, &entry.entry, now);
	}
	/* Runs statements of a class that take `service` each. */
	void measure(const char *traffic_class, kb_time_t service)
	{
		for (int i = 0; i < 50; i++)
			finish(submit(0, "a", traffic_class), service);
	}
	/* Opens a transaction. Returns false if its BEGIN was queued or
	 * refused. */
	bool begin(kb_limited_transaction_t *transaction,
		   const std::string &caller, kb_time_t now = 0)
	{
		Entry &entry = submit(now, caller, "counter", transaction);

		if (entry.started)
			finish(entry, now);
		return entry.started;
	}
};

#endif
