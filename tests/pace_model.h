#ifndef KB_TESTS_PACE_MODEL_H
#define KB_TESTS_PACE_MODEL_H

#include "load/pace.h"
#include "rng.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <vector>

/* A target: statements run in the order of their arrival, slots at a time. */
struct ModelTarget {
	/* Slots and room in its queue; `slots` may be a function of time. */
	std::function<unsigned(kb_time_t)> slots;
	unsigned queue = 48;
	std::function<kb_time_t(kb_time_t)> work;
	/* Reject part of the statements whatever the load. */
	std::function<bool()> rejects = [] { return false; };
	/* Run a statement and lose its answer. */
	std::function<bool()> loses = [] { return false; };
	/* Refuses connections, or is silent. */
	std::function<bool(kb_time_t)> down = [](kb_time_t) { return false; };
	std::function<bool(kb_time_t)> dark = [](kb_time_t) { return false; };
};

/* One or two gates that send to a target, played with a simulated clock. */
class PaceModel
{
      public:
	static constexpr kb_time_t MS = KB_NS_PER_MS;
	static constexpr kb_time_t ONE_WAY = 1 * MS;
	static constexpr kb_time_t HANDSHAKE = 12 * MS;
	static constexpr kb_time_t TIMEOUT = 250 * MS;
	static constexpr kb_time_t BLOCK = 5 * MS;
	static constexpr kb_time_t REOPEN = 100 * MS;

	struct Statement {
		kb_time_t arrived, sent;
		kb_pace_mark_t mark;
		int gate;
		bool ended;
		/* Incarnation of the target that it was sent to. */
		unsigned life;
	};

	struct Gate {
		kb_pace_t pace;
		std::deque<kb_time_t> waiting;
		unsigned in_flight = 0, most_before_answer = 0;
		kb_time_t blocked_until = 0;
		bool connected = false, answered = false, sends = true;
	};

	struct Result {
		unsigned done = 0, rejected = 0, silent = 0, lost = 0, sent = 0;
		unsigned before_answer = 0;
		/* Slot time without work while statements waited. */
		kb_time_t idle = 0;
		/* When all slots were first busy, counted from the start. */
		kb_time_t full_at = KB_TIME_NEVER;
		std::vector<kb_time_t> waits;
		unsigned most_in_flight = 0;
		uint64_t cuts = 0;
		double mean_in_flight = 0;

		kb_time_t wait(unsigned percent) const
		{
			std::vector<kb_time_t> sorted = waits;

			if (sorted.empty())
				return KB_TIME_NEVER;
			std::sort(sorted.begin(), sorted.end());
			return sorted[(sorted.size() - 1) * percent / 100];
		}
	};

	ModelTarget target;
	unsigned reported;
	Gate gates[2];
	kb_time_t now = KB_NS_PER_S, start = KB_NS_PER_S;
	Result result;
	kb_rng_t rng;
	/* Only results within these times are counted. */
	kb_time_t count_from = 0, count_to = KB_TIME_NEVER;

	PaceModel(ModelTarget model, unsigned slots, bool paced,
		  uint64_t seed = 1)
	    : target(std::move(model)), reported(slots)
	{
		kb_rng_init(&rng, seed);
		for (Gate &gate : gates) {
			kb_pace_init(&gate.pace, paced);
			kb_pace_bind(&gate.pace, slots, 1);
		}
	}

	void at(kb_time_t when, std::function<void()> what)
	{
		events.emplace(start + when, std::move(what));
	}

	/* Queues `n` statements at `when`. */
	void arrive(kb_time_t when, unsigned n, int gate = 0)
	{
		at(when, [this, n, gate] {
			for (unsigned i = 0; i < n; i++)
				gates[gate].waiting.push_back(now);
			dispatch(gate);
		});
	}

	/* Queues statements at a rate, with exponential times between. */
	void stream(kb_time_t from, kb_time_t to, double per_second,
		    int gate = 0)
	{
		double t = (double)from;

		while (t < (double)to) {
			double u = (double)(kb_rng_below(&rng, 1000000) + 1) /
				   1000001;

			t += -std::log(u) / per_second * KB_NS_PER_S;
			arrive((kb_time_t)t, 1, gate);
		}
	}

	void connect(kb_time_t when, int gate = 0)
	{
		at(when, [this, gate] { open(gate); });
	}

	/* The target crashes: what it runs and queues is gone. */
	void crash(kb_time_t when)
	{
		at(when, [this] {
			life++;
			busy = 0;
			line.clear();
			for (int g = 0; g < 2; g++)
				if (gates[g].connected)
					lose_connections(g);
		});
	}

	Result &run(kb_time_t until)
	{
		while (!events.empty() &&
		       events.begin()->first <= start + until) {
			auto event = events.begin();
			std::function<void()> what = event->second;
			kb_time_t when = event->first;

			account(when);
			now = when;
			events.erase(event);
			what();
		}
		for (const Gate &gate : gates)
			result.cuts += gate.pace.cuts;
		result.mean_in_flight /= (double)until;
		return result;
	}

      private:
	std::multimap<kb_time_t, std::function<void()>> events;
	std::vector<Statement> statements;
	std::deque<size_t> line;
	unsigned busy = 0, life = 0;

	bool counts() const
	{
		return now - start >= count_from && now - start < count_to;
	}

	void account(kb_time_t until)
	{
		unsigned slots = target.slots(now - start);
		kb_time_t passed = until - now;
		bool waiting = false;

		for (const Gate &gate : gates) {
			waiting = waiting || !gate.waiting.empty();
			result.mean_in_flight +=
				(double)gate.in_flight * (double)passed;
		}
		if (waiting && busy < slots && counts() &&
		    !target.down(now - start) && !target.dark(now - start))
			result.idle += (kb_time_t)(slots - busy) * passed;
	}

	void open(int g)
	{
		Gate &gate = gates[g];

		if (gate.connected || !gate.sends)
			return;
		if (target.down(now - start)) {
			at(now - start + REOPEN, [this, g] { open(g); });
			return;
		}
		at(now - start + HANDSHAKE + 2 * ONE_WAY, [this, g] {
			gates[g].connected = true;
			kb_pace_on_opened(&gates[g].pace);
			dispatch(g);
		});
	}

	void lose_connections(int g)
	{
		Gate &gate = gates[g];

		gate.connected = false;
		gate.answered = false;
		for (Statement &statement : statements) {
			if (statement.gate != g || statement.ended)
				continue;
			statement.ended = true;
			gate.in_flight--;
			result.lost++;
		}
		kb_pace_on_lost(&gate.pace, 0);
		at(now - start + REOPEN, [this, g] { open(g); });
	}

	void dispatch(int g)
	{
		Gate &gate = gates[g];

		while (gate.connected && gate.sends && !gate.waiting.empty() &&
		       now >= gate.blocked_until &&
		       gate.in_flight <
			       kb_pace_limit(&gate.pace, reported + 1, now))
			send(g);
		kb_time_t next = kb_pace_next(&gate.pace, now);
		if (!gate.waiting.empty() && next != KB_TIME_NEVER)
			at(next - start, [this, g] { dispatch(g); });
	}

	void send(int g)
	{
		Gate &gate = gates[g];
		size_t id = statements.size();

		statements.push_back(
			{ gate.waiting.front(), now,
			  kb_pace_on_sent(&gate.pace, gate.in_flight), g, false,
			  life });
		gate.waiting.pop_front();
		gate.in_flight++;
		if (counts())
			result.sent++;
		result.most_in_flight =
			std::max(result.most_in_flight, gate.in_flight);
		if (!gate.answered)
			result.before_answer =
				std::max(result.before_answer, gate.in_flight);
		at(now - start + ONE_WAY, [this, id] { receive(id); });
		at(now - start + TIMEOUT, [this, id] { time_out(id); });
	}

	void receive(size_t id)
	{
		kb_time_t t = now - start;
		unsigned slots = target.slots(t);

		if (target.dark(t) || target.down(t) ||
		    statements[id].life != life)
			return;
		if (target.rejects() ||
		    busy + line.size() >= slots + target.queue) {
			at(t + ONE_WAY, [this, id] { answer(id, true); });
			return;
		}
		line.push_back(id);
		serve();
	}

	void serve()
	{
		kb_time_t t = now - start;

		while (busy < target.slots(t) && !line.empty()) {
			size_t id = line.front();
			unsigned in = life;

			line.pop_front();
			busy++;
			if (busy == target.slots(t) &&
			    result.full_at == KB_TIME_NEVER)
				result.full_at = t;
			at(t + target.work(t), [this, id, in] {
				if (in != life)
					return;
				busy--;
				serve();
				if (target.loses())
					return;
				at(now - start + ONE_WAY,
				   [this, id] { answer(id, false); });
			});
		}
	}

	void answer(size_t id, bool rejected)
	{
		Statement &statement = statements[id];
		Gate &gate = gates[statement.gate];

		if (statement.ended)
			return;
		statement.ended = true;
		gate.in_flight--;
		if (rejected) {
			kb_pace_on_rejected(&gate.pace, &statement.mark, now);
			gate.blocked_until = now + BLOCK;
			gate.waiting.push_front(statement.arrived);
			if (counts())
				result.rejected++;
			int g = statement.gate;
			at(gate.blocked_until - start,
			   [this, g] { dispatch(g); });
			return;
		}
		gate.answered = true;
		kb_pace_on_answered(&gate.pace, &statement.mark,
				    now - statement.sent, KB_OK, now);
		if (counts()) {
			result.done++;
			result.waits.push_back(now - statement.arrived);
		}
		dispatch(statement.gate);
	}

	void time_out(size_t id)
	{
		Statement &statement = statements[id];
		Gate &gate = gates[statement.gate];

		/* A slow target is waited for, as the timeout follows it. */
		if (statement.ended ||
		    (!target.dark(now - start) && statement.life == life &&
		     now - statement.sent < 4 * TIMEOUT)) {
			if (!statement.ended)
				at(now - start + TIMEOUT,
				   [this, id] { time_out(id); });
			return;
		}
		statement.ended = true;
		gate.in_flight--;
		result.silent++;
		kb_pace_on_silent(&gate.pace, &statement.mark);
		dispatch(statement.gate);
	}
};

#endif
