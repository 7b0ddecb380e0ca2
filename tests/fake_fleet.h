#ifndef KB_FAKE_FLEET_H
#define KB_FAKE_FLEET_H

#include "member.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/* Event loop with a simulated clock that advances from event to event. */
class FakeLoop
{
      public:
	kb_time_t now = KB_NS_PER_S;

	void at(kb_time_t time, std::function<void()> action)
	{
		queue.push({ std::max(time, now), order++, std::move(action) });
	}

	void run_until(kb_time_t end)
	{
		while (!queue.empty() && queue.top().time <= end) {
			Event event = queue.top();

			queue.pop();
			now = event.time;
			event.action();
		}
		now = end;
	}

	void run_for_ms(int64_t ms)
	{
		run_until(now + ms * KB_NS_PER_MS);
	}

      private:
	struct Event {
		kb_time_t time;
		uint64_t order;
		std::function<void()> action;

		bool operator<(const Event &other) const
		{
			return time != other.time ? time > other.time
						  : order > other.order;
		}
	};

	std::priority_queue<Event> queue;
	uint64_t order = 0;
};

static inline std::string to_string(kb_str_t s)
{
	return std::string(s.data, s.len);
}

static inline kb_member_record_t make_host(const std::string &name,
					   const std::string &data_centre,
					   const std::string &region,
					   uint64_t instance)
{
	kb_member_record_t record = {};

	kb_name_set(&record.name, kb_str_from(name.c_str()));
	kb_name_set(&record.address, kb_str_from(("ip-" + name).c_str()));
	record.port = 7000;
	kb_name_set(&record.data_centre, kb_str_from(data_centre.c_str()));
	kb_name_set(&record.region, kb_str_from(region.c_str()));
	record.instance = instance;
	return record;
}

class FakeFleet;

/*
 * One process of a host. `members` comes first because the callbacks cast it.
 */
struct FakeHost {
	kb_members_t members;
	FakeFleet *fleet;
	std::string name;
	bool running = true;
	bool paused = false;
	bool superseded = false;
	size_t changes = 0;
	uint64_t bytes_sent = 0;
	size_t largest_message = 0;
	std::vector<std::string> backlog;
};

/* Hosts that run the membership protocol over a simulated lossy network. */
class FakeFleet
{
      public:
	FakeLoop loop;
	double loss = 0;
	double duplicate = 0;
	kb_time_t jitter = 4 * KB_NS_PER_MS;
	std::function<bool(const std::string &, const std::string &)> cut;
	std::map<std::string, std::unique_ptr<FakeHost>> hosts;
	std::vector<std::unique_ptr<FakeHost>> finished;

	explicit FakeFleet(uint64_t seed) : random(seed)
	{
	}

	~FakeFleet()
	{
		for (auto &host : hosts)
			kb_members_finish(&host.second->members);
		for (auto &host : finished)
			kb_members_finish(&host->members);
	}

	/*
	 * Returns the record of host `n`, which is in one of three data centres
	 * in two regions.
	 */
	static kb_member_record_t record_of(size_t n, uint64_t instance)
	{
		static const char *const centres[] = { "k1", "k2", "e1" };
		static const char *const regions[] = { "k", "k", "e" };

		return make_host("h" + std::to_string(n), centres[n % 3],
				 regions[n % 3], instance);
	}

	FakeHost *start(const kb_member_record_t &self)
	{
		static const kb_members_ops_t ops = { send, changed,
						      superseded };
		auto host = std::make_unique<FakeHost>();
		FakeHost *raw = host.get();

		raw->fleet = this;
		raw->name = to_string(kb_name_str(&self.name));
		if (kb_members_init(&raw->members, &ops, &self, random(),
				    loop.now))
			abort();
		if (hosts.count(raw->name)) {
			hosts[raw->name]->running = false;
			finished.push_back(std::move(hosts[raw->name]));
		}
		hosts[raw->name] = std::move(host);
		tick(raw);
		return raw;
	}

	/* Starts `count` hosts, each with hints about all of them. */
	void start_all(size_t count)
	{
		for (size_t i = 0; i < count; i++)
			start(record_of(i, 1));
		for (auto &host : hosts)
			for (size_t i = 0; i < count; i++)
				hint(host.second.get(), record_of(i, 0));
	}

	void hint(FakeHost *host, const kb_member_record_t &record)
	{
		kb_members_on_hint(&host->members, &record, loop.now);
	}

	void kill(const std::string &name)
	{
		hosts[name]->running = false;
	}

	void pause(const std::string &name, int64_t ms)
	{
		FakeHost *host = hosts[name].get();

		host->paused = true;
		loop.at(loop.now + ms * KB_NS_PER_MS, [this, host] {
			host->paused = false;
			for (auto &bytes : host->backlog)
				receive(host, bytes);
			host->backlog.clear();
			tick(host);
		});
	}

	/*
	 * Returns the state of `name` as known to `viewer`, or -1 if it is
	 * unknown.
	 */
	int state(const std::string &viewer, const std::string &name)
	{
		const kb_member_t *member = kb_members_find(
			&hosts[viewer]->members, kb_str_from(name.c_str()));

		return member ? member->state : -1;
	}

	/*
	 * Returns how many other running hosts have `name` in state `expected`.
	 */
	size_t count_in_state(const std::string &name, int expected)
	{
		size_t count = 0;

		for (auto &host : hosts)
			if (host.second->running && host.first != name &&
			    state(host.first, name) == expected)
				count++;
		return count;
	}

	void deliver(const std::string &address, const std::string &bytes)
	{
		for (auto &host : hosts)
			if (host.second->running &&
			    "ip-" + host.first == address)
				receive(host.second.get(), bytes);
	}

      private:
	std::mt19937_64 random;

	bool happens(double probability)
	{
		return std::uniform_real_distribution<>()(random) < probability;
	}

	void receive(FakeHost *host, const std::string &bytes)
	{
		kb_member_message_t message;

		if (host->paused) {
			host->backlog.push_back(bytes);
			return;
		}
		if (kb_member_wire_decode(&message, bytes.data(), bytes.size()))
			abort();
		kb_members_on_message(&host->members, &message, loop.now);
	}

	void tick(FakeHost *host)
	{
		kb_time_t wake;

		if (!host->running || host->paused)
			return;
		wake = kb_members_on_timer(&host->members, loop.now);
		loop.at(wake, [this, host] { tick(host); });
	}

	static void send(kb_members_t *members, const kb_member_t *to,
			 const kb_member_message_t *message)
	{
		FakeHost *host = reinterpret_cast<FakeHost *>(members);
		FakeFleet *fleet = host->fleet;
		std::string address = to_string(kb_member_address(to));
		std::string name = to_string(kb_member_name(to));
		char buffer[KB_MEMBER_MESSAGE_MAX_BYTES];
		size_t len;

		if (kb_member_wire_encode(message, buffer, sizeof(buffer),
					  &len) ||
		    len != kb_member_wire_size(message))
			abort();
		host->bytes_sent += len;
		host->largest_message = std::max(host->largest_message, len);
		if (fleet->happens(fleet->loss) ||
		    (fleet->cut && fleet->cut(host->name, name)))
			return;
		fleet->post(address, std::string(buffer, len));
		if (fleet->happens(fleet->duplicate))
			fleet->post(address, std::string(buffer, len));
	}

	/*
	 * Delivers after a random delay, so that messages overtake each other.
	 */
	void post(const std::string &address, const std::string &bytes)
	{
		kb_time_t delay = KB_NS_PER_MS + random() % jitter;

		loop.at(loop.now + delay,
			[this, address, bytes] { deliver(address, bytes); });
	}

	static void changed(kb_members_t *members, const kb_member_t *member)
	{
		(void)member;
		reinterpret_cast<FakeHost *>(members)->changes++;
	}

	static void superseded(kb_members_t *members)
	{
		reinterpret_cast<FakeHost *>(members)->superseded = true;
	}
};

#endif
