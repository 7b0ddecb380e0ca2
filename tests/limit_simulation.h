#ifndef KB_TESTS_LIMIT_SIMULATION_H
#define KB_TESTS_LIMIT_SIMULATION_H

#include "load/team_account.h"
#include "load/team_allowance.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

/* Faults that a limit must not be built with. */
enum class LimitDefect {
	none,
	/* A new keeper starts with a full bucket. */
	full_bucket,
	/* Loans do not end. */
	endless_loans,
	/* The end of a loan is counted from the answer. */
	counted_from_answer,
	/* A former keeper goes on lending. */
	two_keepers,
};

struct LimitTeam {
	double rate;
	double burst;
	/* Operations that callers send in a second. */
	double demand;
	/* Sent and run times of the operations that ran. */
	std::vector<kb_time_t> sent, run;
	std::vector<kb_time_t> asked;
	size_t refused = 0;
};

/*
 * Hosts with allowances, groups whose holders keep accounts, callers, and a
 * network that delays, loses and cuts; all with a fake clock and a seed.
 */
class LimitSimulation
{
      public:
	static constexpr size_t GROUPS = 8;
	static constexpr kb_time_t MS = KB_NS_PER_MS;
	static constexpr kb_time_t S = KB_NS_PER_S;

	kb_limit_tolerance_t tolerance = { 5 * S, 0.1, 20 };
	LimitDefect defect = LimitDefect::none;
	std::vector<LimitTeam> teams;
	double loss = 0;
	/* Added to the delay of each message, at least and at most. */
	kb_time_t late_min = 0, late = 0;
	/* Part of a team's callers that use one host. */
	double skew = 0;
	kb_time_t now = S;
	size_t calls = 0;

	LimitSimulation(size_t hosts, uint64_t seed) : hosts_(hosts)
	{
		kb_rng_init(&rng_, seed);
		for (size_t g = 0; g < GROUPS; g++)
			for (auto &accounts : groups_[g].accounts)
				kb_team_accounts_init(&accounts, random());
		for (size_t g = 0; g < GROUPS; g++)
			appoint(g, g % hosts, now);
	}

	~LimitSimulation()
	{
		for (auto &group : groups_)
			for (auto &accounts : group.accounts)
				kb_team_accounts_finish(&accounts);
	}

	size_t hosts() const
	{
		return hosts_.size();
	}
	uint64_t random(uint64_t bound = UINT64_MAX)
	{
		return kb_rng_below(&rng_, bound);
	}

	void at(kb_time_t time, std::function<void()> action)
	{
		events_.push({ time, order_++, std::move(action) });
	}

	void run_until(kb_time_t end)
	{
		for (size_t t = started_; t < teams.size(); t++)
			arrive(t);
		started_ = teams.size();
		while (!events_.empty() && events_.top().time <= end) {
			Event event = events_.top();

			events_.pop();
			now = event.time;
			event.action();
		}
		now = end;
	}

	/* Changes a limit on all hosts and keepers at once. */
	void set_limit(size_t team, double rate, double burst)
	{
		teams[team].rate = rate;
		teams[team].burst = burst;
		for (size_t h = 0; h < hosts_.size(); h++)
			configure(h, team);
	}

	void cut(size_t host, kb_time_t duration)
	{
		hosts_[host].cut_until = now + duration;
		lose_groups(host, now + LEASE);
	}

	void freeze(size_t host, kb_time_t duration)
	{
		hosts_[host].frozen_until = now + duration;
		lose_groups(host, now);
	}

	void kill(size_t host, kb_time_t duration)
	{
		Host &h = hosts_[host];

		h.dead_until = now + duration;
		h.life++;
		h.teams.clear();
		lose_groups(host, now);
	}

	/* A planned change of a group's holder: the next one serves at once. */
	void hand_over(size_t group)
	{
		size_t next = random(hosts_.size());

		if (now < groups_[group].serves_from || dead(next) ||
		    frozen(next) || cut_off(next))
			return;
		groups_[group].former_until = now;
		appoint(group, next, now + 20 * MS);
	}

	size_t holder(size_t group) const
	{
		return groups_[group].holder;
	}
	size_t keeper(size_t team, unsigned share) const
	{
		return (team * 5 + share * 3) % GROUPS;
	}

	/* Returns the largest excess over the bound in any window. */
	double excess(size_t team, double rate, double burst,
		      kb_time_t from = 0)
	{
		LimitTeam &t = teams[team];
		double bound =
			(rate * (double)tolerance.window / (double)S + burst) *
				(1 + tolerance.overage) +
			tolerance.slack;
		double worst = -bound;
		size_t run = 0;

		std::sort(t.sent.begin(), t.sent.end());
		std::sort(t.run.begin(), t.run.end());
		for (size_t i = 0; i < t.sent.size(); i++) {
			while (run < t.run.size() &&
			       t.run[run] <= t.sent[i] + tolerance.window)
				run++;
			if (t.sent[i] >= from && run > i)
				worst = std::max(worst,
						 (double)(run - i) - bound);
		}
		return worst;
	}

	/* Returns the operations that the limit allows, by arrival. */
	double owed(size_t team) const
	{
		const LimitTeam &t = teams[team];
		double tokens = t.burst;
		double count = 0;
		kb_time_t last = 0;

		for (kb_time_t time : t.asked) {
			tokens = std::min(
				t.burst,
				tokens + t.rate * (double)(time - last) /
						 (double)S);
			last = time;
			if (tokens < 1)
				continue;
			tokens -= 1;
			count += 1;
		}
		return count;
	}

      private:
	static constexpr kb_time_t LEASE = 900 * MS;
	static constexpr kb_time_t TAKEOVER = 1500 * MS;
	static constexpr kb_time_t TICK = 20 * MS;
	static constexpr kb_time_t WAIT = 125 * MS;
	static constexpr kb_time_t TIMEOUT = 300 * MS;

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

	struct Waiting {
		kb_time_t sent;
		kb_time_t until;
	};

	struct Allowance {
		kb_team_allowance_t state;
		std::deque<Waiting> queue;
		bool ticking = false;
		uint64_t call = 0;
		uint64_t open[KB_TEAM_SHARES_MAX] = {};
	};

	struct Host {
		kb_time_t cut_until = 0, frozen_until = 0, dead_until = 0;
		uint64_t life = 0;
		std::map<size_t, Allowance> teams;
	};

	struct Group {
		size_t holder = 0, former = 0;
		int64_t epoch = 0;
		kb_time_t serves_from = 0, former_until = 0;
		/* Of the holder, and of the former one. */
		kb_team_accounts_t accounts[2];
		unsigned current = 0;
	};

	std::vector<Host> hosts_;
	Group groups_[GROUPS];
	std::priority_queue<Event> events_;
	uint64_t order_ = 0;
	size_t started_ = 0;
	kb_rng_t rng_;

	double uniform()
	{
		return ((double)random(1 << 30) + 1) / (1 << 30);
	}
	bool dead(size_t h) const
	{
		return now < hosts_[h].dead_until;
	}
	bool frozen(size_t h) const
	{
		return now < hosts_[h].frozen_until;
	}
	bool cut_off(size_t h) const
	{
		return now < hosts_[h].cut_until;
	}

	void appoint(size_t g, size_t host, kb_time_t from)
	{
		Group &group = groups_[g];

		group.former = group.holder;
		group.holder = host;
		group.serves_from = from;
		group.epoch++;
		group.current ^= 1;
		at(from, [this, g, epoch = group.epoch] {
			kb_team_accounts_t *accounts =
				&groups_[g].accounts[groups_[g].current];

			if (groups_[g].epoch != epoch)
				return;
			kb_team_accounts_begin(accounts, epoch, now);
			if (defect == LimitDefect::full_bucket)
				accounts->since = 0;
		});
	}

	/* Another host takes over the groups of `host`. */
	void lose_groups(size_t host, kb_time_t until)
	{
		for (size_t g = 0; g < GROUPS; g++) {
			Group &group = groups_[g];
			size_t next = random(hosts_.size());

			if (group.holder != host)
				continue;
			for (size_t i = 0;
			     i < hosts_.size() &&
			     (dead(next) || frozen(next) || cut_off(next));
			     i++)
				next = (next + 1) % hosts_.size();
			group.former_until = until;
			if (now < group.serves_from)
				group.former_until = 0;
			appoint(g, next, now + TAKEOVER + (kb_time_t)random(S));
		}
	}

	/* The account that `host` lends from, or NULL if it may not lend. */
	kb_team_accounts_t *account_at(size_t g, size_t host)
	{
		Group &group = groups_[g];
		bool both = defect == LimitDefect::two_keepers;

		if (dead(host))
			return nullptr;
		if (host == group.holder && now >= group.serves_from)
			return &group.accounts[group.current];
		if (host == group.former && (both || now < group.former_until))
			return &group.accounts[group.current ^ 1];
		return nullptr;
	}

	kb_team_allowance_t *configure(size_t host, size_t team)
	{
		auto found = hosts_[host].teams.find(team);
		bool fresh = found == hosts_[host].teams.end();
		Allowance &a = hosts_[host].teams[team];

		if (fresh)
			kb_team_allowance_init(&a.state, random(), random());
		kb_team_allowance_configure(
			&a.state,
			kb_team_limit_shares(teams[team].burst, &tolerance,
					     GROUPS),
			defect == LimitDefect::endless_loans
				? 3600 * S
				: kb_team_limit_lifetime(&tolerance));
		return &a.state;
	}

	/* The next caller of a team, whenever the team has demand. */
	void arrive(size_t team)
	{
		double rate = std::max(teams[team].demand, 0.001);
		kb_time_t pause = std::min(
			(kb_time_t)(-log(uniform()) / rate * (double)S),
			100 * MS);
		bool real = teams[team].demand > 0 && pause < 100 * MS;

		at(now + pause, [this, team, real] {
			size_t host = random(hosts_.size());

			if (uniform() < skew)
				host = team % hosts_.size();
			if (real)
				admit(host, team);
			arrive(team);
		});
	}

	struct Lent {
		bool served = false;
		kb_team_loan_t loan = {};
	};

	void admit(size_t host, size_t team);
	void work(size_t host, size_t team);
	void thaw(size_t host, size_t team);
	void pump(Allowance &a, size_t team);
	/* Whether two hosts are in one region. */
	static bool near(size_t a, size_t b);
	kb_time_t delay(size_t a, size_t b);
	bool delivered(size_t a, size_t b);
	void ask(size_t host, size_t team, unsigned share, unsigned operations);
	void time_out(size_t host, size_t team, unsigned share, uint64_t call,
		      uint64_t life);
	Lent lend(size_t g, size_t host, size_t team, unsigned operations);
	void answer(size_t host, size_t team, unsigned share, uint64_t call,
		    kb_time_t asked_at, Lent lent);
};

#endif
