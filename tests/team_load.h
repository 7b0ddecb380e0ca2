#ifndef KB_TESTS_TEAM_LOAD_H
#define KB_TESTS_TEAM_LOAD_H

#include "fake_link_connector.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>

/* Statements of a team in an interval. */
struct TeamDemand {
	std::string team;
	/* Statements a second. */
	double rate;
	kb_time_t from;
	kb_time_t until;
	/* Every statement begins a transaction that is not committed. */
	bool rests = false;
};

/* What became of a team's statements. */
struct TeamOutcome {
	/* Times from arrival to success. */
	std::vector<kb_time_t> took;
	size_t failed = 0;

	void add(const TeamOutcome &other)
	{
		failed += other.failed;
		took.insert(took.end(), other.took.begin(), other.took.end());
	}

	kb_time_t percentile(double part) const
	{
		std::vector<kb_time_t> sorted = took;

		if (sorted.empty())
			return 0;
		std::sort(sorted.begin(), sorted.end());
		return sorted[(size_t)((double)(sorted.size() - 1) * part)];
	}
};

/*
 * A pool under the load of teams, and its target: commands that need a slot
 * wait for one in order of arrival, others take one round trip.
 */
struct TeamLoad {
	static constexpr kb_time_t STEP = KB_NS_PER_MS;
	static constexpr kb_time_t OPENING = 12 * KB_NS_PER_MS;
	/* Time between the statements of a transaction. */
	static constexpr kb_time_t THINKING = 20 * KB_NS_PER_MS;

	struct Task {
		FakeLink *link;
		kb_time_t cost;
		kb_time_t arrived;
	};

	struct Arrival {
		kb_time_t at;
		std::string team;
		kb_time_t cost;
		unsigned priority;
		bool transactional;
		/* Its transaction is not committed. */
		bool rests;
		/* Transaction that it commits, or 0. */
		uint64_t commits;
		/* Time on its way, in addition. */
		kb_time_t on_its_way = 0;
	};

	struct Sent {
		Statement statement;
		Arrival arrival;
	};

	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	kb_link_place_t place = {};
	unsigned slots;
	unsigned limit;
	/* Connections that the target accepts, and what it refused. */
	unsigned accepted = 1000;
	size_t refused_openings = 0;
	/* Let all statements belong to no team, as if there were none. */
	bool without_teams = false;
	/* Part of the statements that begin a transaction. */
	double transactional = 0;
	kb_time_t start;
	std::vector<Arrival> arrivals;
	std::deque<Arrival> commits;
	std::vector<std::unique_ptr<Sent>> sent;
	std::map<std::string, kb_time_t> costs;
	std::map<std::string, TeamOutcome> outcomes;
	size_t sorted = 0;
	size_t next = 0;
	size_t seen = 0;
	std::vector<FakeLink *> links;
	std::map<FakeLink *, kb_time_t> pending;
	std::deque<Task> queue;
	std::vector<std::pair<kb_time_t, FakeLink *>> running;
	/* Connections with a command that needs no slot. */
	std::vector<FakeLink *> running_short;
	size_t foreign = 0;
	size_t most_open = 0;
	/* Arrivals in this interval count in the outcomes. */
	kb_time_t count_from = 0;
	kb_time_t count_until = KB_TIME_NEVER;

	TeamLoad(unsigned slots, unsigned limit) : slots(slots), limit(limit)
	{
		static const kb_link_pool_ops_t ops = {
			[](void *, kb_time_t) { return 1; },
			[](void *, kb_target_event_t, kb_point_t) {},
		};

		start = time.now;
		kb_link_pool_init(&pool, &ops, this, &connector.base,
				  &time.base, 1000);
		bind("t1");
	}

	~TeamLoad()
	{
		kb_link_pool_finish(&pool);
	}

	void bind(const char *target)
	{
		kb_name_set(&place.target, kb_str_from(target));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		kb_link_pool_bind(&pool, &place, slots, limit);
	}

	/* Adds arrivals of a team, which depend on the seed and it alone. */
	void add(const TeamDemand &demand, uint64_t seed)
	{
		kb_rng_t rng;
		kb_time_t at = demand.from;

		kb_rng_init(&rng, seed);
		for (;;) {
			double gap = -std::log(1 - uniform(&rng)) / demand.rate;

			at += (kb_time_t)(gap * (double)KB_NS_PER_S);
			if (at >= demand.until)
				return;
			arrivals.push_back(
				{ start + at, demand.team, cost(&rng),
				  (unsigned)kb_rng_below(&rng, 3),
				  uniform(&rng) < transactional || demand.rests,
				  demand.rests, 0 });
		}
	}

	/* Adds teams t0, t1, ... whose sizes follow Zipf's law. */
	void add_skewed(size_t teams, double rate, double exponent,
			kb_time_t until, uint64_t seed)
	{
		for (size_t i = 0; i < teams; i++)
			add({ "t" + std::to_string(i),
			      rate * zipf(i, teams, exponent), 0, until },
			    seed * 1000 + i);
	}

	static double zipf(size_t index, size_t teams, double exponent)
	{
		double sum = 0;

		for (size_t i = 0; i < teams; i++)
			sum += std::pow((double)(i + 1), -exponent);
		return std::pow((double)(index + 1), -exponent) / sum;
	}

	static double uniform(kb_rng_t *rng)
	{
		return (double)kb_rng_below(rng, 1000000) / 1000000;
	}

	/* 6 to 55 ms, most of them short. */
	static kb_time_t cost(kb_rng_t *rng)
	{
		double x = uniform(rng);

		return (kb_time_t)((6 + 49 * x * x) * (double)KB_NS_PER_MS);
	}

	void sort_arrivals()
	{
		if (sorted == arrivals.size())
			return;
		sorted = arrivals.size();
		std::sort(arrivals.begin(), arrivals.end(),
			  [](const Arrival &a, const Arrival &b) {
				  return a.at < b.at;
			  });
	}

	void play(kb_time_t until)
	{
		sort_arrivals();
		while (time.now < start + until) {
			time.now += STEP;
			while (!commits.empty() && commits[0].at <= time.now) {
				submit(commits[0]);
				commits.pop_front();
			}
			while (next < arrivals.size() &&
			       arrivals[next].at <= time.now)
				submit(arrivals[next++]);
			serve();
			kb_link_pool_tick(&pool);
			at_step();
		}
	}

	/* Called after each step. */
	std::function<void()> at_step = [] {};

	void submit(const Arrival &arrival)
	{
		sent.push_back(std::make_unique<Sent>());

		Sent *entry = sent.back().get();
		Statement &statement = entry->statement;

		statement.id = arrival.team + "." + std::to_string(sent.size());
		statement.args.id =
			kb_text_view(kb_str_from(statement.id.c_str()));
		statement.args.priority = arrival.priority;
		statement.args.transactional = arrival.transactional;
		statement.of_team(without_teams ? "" : arrival.team);
		costs[statement.id] = arrival.cost;
		if (arrival.commits)
			statement.args.kind = KBS_COMMIT;
		statement.args.transaction = arrival.commits;
		entry->arrival = arrival;
		statement.then = [this, entry] { ended(entry); };
		kb_link_pool_run(&pool, &statement.args, Statement::done,
				 &statement);
	}

	void ended(Sent *entry)
	{
		const Arrival &arrival = entry->arrival;
		TeamOutcome &outcome = outcomes[arrival.team];

		costs.erase(entry->statement.id);
		if (entry->statement.transaction && !arrival.rests &&
		    !arrival.commits)
			commits.push_back({ time.now + THINKING, arrival.team,
					    OPENING, arrival.priority, true,
					    false,
					    entry->statement.transaction });
		if (arrival.at < start + count_from ||
		    arrival.at - start >= count_until)
			return;
		if (entry->statement.result)
			outcome.failed++;
		else
			outcome.took.push_back(time.now - arrival.at +
					       arrival.on_its_way);
	}

	void serve()
	{
		collect();
		finish_tasks();
		collect();
		while (running.size() < slots && !queue.empty()) {
			Task task = queue.front();

			queue.pop_front();
			if (task.link && task.link->closed)
				continue;
			running.push_back({ time.now + task.cost, task.link });
		}
	}

	/* Looks for connections being opened and for commands sent. */
	void collect()
	{
		for (; seen < connector.links.size(); seen++) {
			FakeLink *link = connector.links[seen];

			if (link->closed)
				continue;
			links.push_back(link);
			pending[link] = 1;
			queue.push_back({ link, OPENING, time.now });
		}
		links.erase(std::remove_if(links.begin(), links.end(),
					   [](FakeLink *link) {
						   return link->closed;
					   }),
			    links.end());
		most_open = std::max(most_open, links.size());
		for (FakeLink *link : links) {
			if (!link->waiting || pending[link])
				continue;
			pending[link] = 1;
			if (costs.count(link->id)) {
				check(link);
				queue.push_back(
					{ link, costs[link->id], time.now });
			} else {
				running_short.push_back(link);
			}
		}
	}

	void check(const FakeLink *link)
	{
		std::string team = link->id.substr(0, link->id.find('.'));

		foreign += !without_teams && link->team != team;
	}

	void finish_tasks()
	{
		std::vector<FakeLink *> done;

		done.swap(running_short);
		for (size_t i = 0; i < running.size();) {
			if (running[i].first > time.now) {
				i++;
				continue;
			}
			done.push_back(running[i].second);
			running.erase(running.begin() + (long)i);
		}
		for (FakeLink *link : done) {
			pending[link] = 0;
			if (link->closed)
				continue;
			if (!link->opening) {
				connector.answer(link);
			} else if (links.size() > accepted) {
				refused_openings++;
				connector.opened(link, KB_ERR_TOO_MANY);
			} else {
				connector.opened(link);
			}
		}
	}

	/* The outcome of all teams but some. */
	TeamOutcome without(const std::vector<std::string> &teams) const
	{
		TeamOutcome all;

		for (const auto &entry : outcomes) {
			if (std::find(teams.begin(), teams.end(),
				      entry.first) != teams.end())
				continue;
			all.add(entry.second);
		}
		return all;
	}
};

#endif
