#ifndef KB_TESTS_CHANGE_WORLD_H
#define KB_TESTS_CHANGE_WORLD_H

#include "change.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

struct Version {
	std::string value;
	int64_t revision, created, version;
};

/* The store's one key with all the states that it has had. */
class OneKeyStore
{
      public:
	int64_t revision = 10;
	std::vector<std::optional<Version>> states = { {} };
	std::vector<int64_t> revisions = { 10 };
	/* Revisions of the record of the last deletion. */
	std::vector<int64_t> records = { 0 };
	/* Values put, deletions under their record. */
	std::vector<std::string> history;

	const std::optional<Version> &now() const
	{
		return states.back();
	}

	bool write(const std::string &value, bool remove, int64_t expected,
		   int64_t record_expected)
	{
		std::optional<Version> next;

		if ((now() ? now()->revision : 0) != expected ||
		    (!expected && records.back() != record_expected))
			return false;
		revision++;
		if (!remove)
			next = Version{ value, revision,
					now() ? now()->created : revision,
					now() ? now()->version + 1 : 1 };
		states.push_back(next);
		revisions.push_back(revision);
		records.push_back(remove ? revision : records.back());
		history.push_back(value);
		return true;
	}

	size_t count(const std::string &id) const
	{
		size_t found = 0;

		for (const auto &value : history)
			found += value.find("\"" + id + "\"") !=
				 std::string::npos;
		return found;
	}
};

/* What happens to one call. */
enum Fate { FINE, APPLIED_LOST, LOST, LATE, UNREACHABLE, STALE };

class World
{
      public:
	OneKeyStore store;
	kb_time_t now = 0;
	std::function<Fate(bool write)> fate = [](bool) { return FINE; };

	void after(kb_time_t delay, std::function<void()> run)
	{
		queue.push({ now + delay, order++, std::move(run) });
	}

	void run()
	{
		while (!queue.empty()) {
			Event event = queue.top();

			queue.pop();
			now = event.at;
			event.run();
		}
	}

      private:
	struct Event {
		kb_time_t at;
		uint64_t order;
		std::function<void()> run;

		bool operator<(const Event &other) const
		{
			return std::tie(at, order) >
			       std::tie(other.at, other.order);
		}
	};
	std::priority_queue<Event> queue;
	uint64_t order = 0;
};

class Operator
{
      public:
	std::optional<kb_result_t> result;
	int64_t revision = 0;
	std::string current;
	unsigned writes = 0;

	Operator(World &world, const std::string &id, bool remove,
		 int64_t condition, uint64_t seed = 1)
	    : world(world)
	{
		kb_resource_t resource = {};
		kb_change_request_t request = { &resource, remove, condition,
						world.now + 10 * KB_NS_PER_S,
						seed };

		resource.kind = KB_KIND_HOST;
		resource.spec.kind = KB_KIND_HOST;
		kb_name_set(&resource.name, KB_STR("h1"));
		kb_name_set(&resource.change.id, { id.data(), id.size() });
		kb_name_set(&resource.change.by, KB_STR("anna"));
		EXPECT_EQ(KB_OK, kb_change_init(&change, &ops, this, &request));
	}

	~Operator()
	{
		kb_change_finish(&change);
	}

	void start()
	{
		kb_change_start(&change);
	}

      private:
	World &world;
	kb_change_t change;
	static const kb_change_ops_t ops;

	static kb_store_entry_t entry_of(const Version &v)
	{
		return { KB_STR("/kumquat/resources/host/h1"),
			 { v.value.data(), v.value.size() },
			 v.revision,
			 v.created,
			 v.version,
			 0 };
	}

	void answer_read(Fate fate, bool is_record)
	{
		size_t i = world.store.states.size() - 1;
		kb_store_entry_t entry = {};
		kb_store_range_t range = { 0, 0, &entry };

		if (fate == UNREACHABLE || fate == LOST) {
			kb_change_on_read(&change,
					  fate == LOST ? KB_ERR_TIMEOUT
						       : KB_ERR_UNREACHABLE,
					  nullptr, world.now);
			return;
		}
		if (fate == STALE)
			i /= 2;
		range.revision = world.store.revisions[i];
		if (is_record && world.store.records[i]) {
			range.count = 1;
			entry.revision = world.store.records[i];
		} else if (!is_record && world.store.states[i]) {
			range.count = 1;
			entry = entry_of(*world.store.states[i]);
		}
		kb_change_on_read(&change, KB_OK, &range, world.now);
	}

	void answer_write(bool applied)
	{
		kb_store_written_t written = { world.store.revision, nullptr };
		kb_store_entry_t entry;

		if (!applied && world.store.now()) {
			entry = entry_of(*world.store.now());
			written.current = &entry;
		}
		kb_change_on_written(&change, applied ? KB_OK : KB_ERR_CONFLICT,
				     &written, world.now);
	}

	void send(const kb_store_write_t *write, bool remove)
	{
		std::string value(write->value.data, write->value.len);
		int64_t expected = write->expected;
		int64_t record = write->record_expected;
		Fate fate = world.fate(true);
		auto apply = [this, value, remove, expected, record] {
			return world.store.write(value, remove, expected,
						 record);
		};

		writes++;
		world.after(KB_NS_PER_MS, [this, fate, apply] {
			if (fate == FINE || fate == STALE) {
				answer_write(apply());
				return;
			}
			if (fate == APPLIED_LOST)
				apply();
			if (fate == LATE)
				world.after(700 * KB_NS_PER_MS,
					    [apply] { apply(); });
			kb_change_on_written(&change,
					     fate == UNREACHABLE
						     ? KB_ERR_UNREACHABLE
						     : KB_ERR_UNKNOWN,
					     nullptr, world.now);
		});
	}

	static Operator *self(void *ctx)
	{
		return static_cast<Operator *>(ctx);
	}

	static void read(void *ctx, kb_str_t key)
	{
		Operator *me = self(ctx);
		Fate fate = me->world.fate(false);

		bool is_record =
			kb_str_equal(KB_STR("/kumquat/deleted/host/h1"), key);

		EXPECT_TRUE(is_record ||
			    kb_str_equal(KB_STR("/kumquat/resources/host/h1"),
					 key));
		me->world.after(KB_NS_PER_MS, [me, fate, is_record] {
			me->answer_read(fate, is_record);
		});
	}

	static void put(void *ctx, const kb_store_write_t *write)
	{
		self(ctx)->send(write, false);
	}

	static void remove(void *ctx, const kb_store_write_t *write)
	{
		EXPECT_TRUE(kb_str_equal(KB_STR("/kumquat/deleted/host/h1"),
					 write->record));
		self(ctx)->send(write, true);
	}

	static void wait(void *ctx, kb_time_t delay)
	{
		Operator *me = self(ctx);

		me->world.after(delay,
				[me] { kb_change_on_timer(&me->change); });
	}

	static void done(void *ctx, const kb_change_outcome_t *outcome)
	{
		Operator *me = self(ctx);

		EXPECT_FALSE(me->result) << "ended twice";
		me->result = outcome->result;
		me->revision = outcome->revision;
		if (outcome->current)
			me->current.assign(outcome->current->value.data,
					   outcome->current->value.len);
	}
};

inline const kb_change_ops_t Operator::ops = { read, put, remove, wait, done };

#endif
