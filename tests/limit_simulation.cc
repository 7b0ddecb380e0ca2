#include "limit_simulation.h"

void LimitSimulation::admit(size_t host, size_t team)
{
	kb_time_t sent = now - 3 * MS;

	if (dead(host) || frozen(host))
		return;
	teams[team].asked.push_back(now);
	if (!hosts_[host].teams.count(team))
		configure(host, team);
	Allowance &a = hosts_[host].teams[team];
	kb_team_allowance_arrived(&a.state, now);
	a.queue.push_back({ sent, now + WAIT });
	a.state.waiting++;
	work(host, team);
}

void LimitSimulation::work(size_t host, size_t team)
{
	Allowance &a = hosts_[host].teams[team];
	unsigned share;

	if (dead(host) || frozen(host))
		return;
	pump(a, team);
	for (unsigned i = 0; i < KB_TEAM_SHARES_MAX; i++)
		a.state.shares[i].near =
			near(host, groups_[keeper(team, i)].holder);
	while (unsigned wanted =
		       kb_team_allowance_wanted(&a.state, now, &share)) {
		kb_team_allowance_asked(&a.state, share, now);
		ask(host, team, share, wanted);
		pump(a, team);
	}
	if (a.queue.empty() || a.ticking)
		return;
	a.ticking = true;
	at(now + TICK, [this, host, team, life = hosts_[host].life] {
		if (hosts_[host].life != life)
			return;
		hosts_[host].teams[team].ticking = false;
		if (frozen(host))
			thaw(host, team);
		else
			work(host, team);
	});
}

void LimitSimulation::thaw(size_t host, size_t team)
{
	hosts_[host].teams[team].ticking = true;
	at(hosts_[host].frozen_until,
	   [this, host, team, life = hosts_[host].life] {
		   if (hosts_[host].life != life)
			   return;
		   hosts_[host].teams[team].ticking = false;
		   work(host, team);
	   });
}

void LimitSimulation::pump(Allowance &a, size_t team)
{
	kb_allowance_ticket_t ticket = {};
	kb_time_t retry;

	while (!a.queue.empty()) {
		Waiting waiting = a.queue.front();
		kb_allowance_verdict_t verdict =
			kb_team_allowance_take(&a.state, now, &ticket, &retry);

		if (verdict == KB_ALLOWANCE_WAIT && now < waiting.until)
			return;
		a.queue.pop_front();
		a.state.waiting--;
		if (verdict != KB_ALLOWANCE_GRANTED) {
			teams[team].refused++;
			continue;
		}
		teams[team].sent.push_back(waiting.sent);
		teams[team].run.push_back(now + MS +
					  (kb_time_t)random(50 * MS));
	}
}

bool LimitSimulation::near(size_t a, size_t b)
{
	return a % 2 == b % 2;
}

kb_time_t LimitSimulation::delay(size_t a, size_t b)
{
	kb_time_t base = near(a, b) ? 500000 : 8 * MS;

	return base + (kb_time_t)random(2 * MS) + late_min +
	       (kb_time_t)random((uint64_t)(late - late_min) + 1);
}

bool LimitSimulation::delivered(size_t a, size_t b)
{
	return !cut_off(a) && !cut_off(b) && uniform() > loss;
}

void LimitSimulation::ask(size_t host, size_t team, unsigned share,
			  unsigned operations)
{
	Allowance &a = hosts_[host].teams[team];
	size_t g = keeper(team, share);
	size_t to = groups_[g].holder;
	uint64_t call = a.open[share] = ++a.call;
	uint64_t life = hosts_[host].life;
	kb_time_t asked_at = now;

	calls++;
	if (defect == LimitDefect::two_keepers && random(2))
		to = groups_[g].former;
	if (to == host) {
		answer(host, team, share, call, asked_at,
		       lend(g, to, team, operations));
		return;
	}
	at(now + std::max(TIMEOUT, 3 * late),
	   [=] { time_out(host, team, share, call, life); });
	if (!delivered(host, to))
		return;
	at(now + delay(host, to), [=] {
		kb_time_t wake = hosts_[to].frozen_until;

		at(std::max(now, wake), [=] {
			auto loan = lend(g, to, team, operations);

			if (!delivered(to, host))
				return;
			at(std::max(now + delay(to, host),
				    hosts_[host].frozen_until),
			   [=] {
				   if (hosts_[host].life == life)
					   answer(host, team, share, call,
						  asked_at, loan);
			   });
		});
	});
}

void LimitSimulation::time_out(size_t host, size_t team, unsigned share,
			       uint64_t call, uint64_t life)
{
	if (hosts_[host].life != life)
		return;
	if (frozen(host))
		at(hosts_[host].frozen_until,
		   [=] { time_out(host, team, share, call, life); });
	else
		answer(host, team, share, call, 0, {});
}

LimitSimulation::Lent LimitSimulation::lend(size_t g, size_t host, size_t team,
					    unsigned operations)
{
	kb_team_accounts_t *accounts = account_at(g, host);
	std::string name = std::to_string(team);
	kb_limit_share_t share = kb_team_limit_share(
		teams[team].rate, teams[team].burst,
		kb_team_limit_shares(teams[team].burst, &tolerance, GROUPS),
		&tolerance);

	if (!accounts)
		return {};
	return { true,
		 kb_team_accounts_lend(accounts, { name.data(), name.size() },
				       &share, 0, operations, now) };
}

void LimitSimulation::answer(size_t host, size_t team, unsigned share,
			     uint64_t call, kb_time_t asked_at, Lent lent)
{
	Allowance &a = hosts_[host].teams[team];

	if (a.open[share] != call)
		return;
	a.open[share] = 0;
	if (defect == LimitDefect::counted_from_answer && asked_at) {
		asked_at = now;
		kb_team_allowance_asked(&a.state, share, now);
	}
	if (lent.served) {
		kb_team_allowance_on_loan(&a.state, share, asked_at,
					  lent.loan.operations, lent.loan.retry,
					  now);
		kb_team_allowance_on_queue(&a.state, share, lent.loan.queue,
					   now);
	} else {
		kb_team_allowance_on_failure(&a.state, share, now);
	}
	work(host, team);
}
