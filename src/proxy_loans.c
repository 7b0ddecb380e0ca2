#include "proxy_loan_call.h"
#include "proxy_statement.h"

#include "log.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>

enum {
	/* Callers return after this time if no keeper was reached. */
	NO_KEEPER_RETRY_AFTER_MS = 500,
	/* At most one log line a team in this time. */
	LOG_INTERVAL_MS = 1000,
};

kb_result_t kb_proxy_loans_init(kb_proxy_t *proxy)
{
	const kb_settings_t *settings = proxy->setup.settings;

	proxy->loans.tolerance.window = settings->limits_window;
	proxy->loans.tolerance.overage = settings->limits_overage;
	proxy->loans.tolerance.slack = settings->limits_slack;
	proxy->loans.flush =
		evtimer_new(proxy->setup.loop, kb_proxy_loans_flush, proxy);
	return proxy->loans.flush ? KB_OK : KB_ERR_NO_MEMORY;
}

void kb_proxy_loans_finish(kb_proxy_t *proxy)
{
	kb_proxy_team_t *team = proxy->loans.by_name;

	if (proxy->loans.flush)
		event_free(proxy->loans.flush);
	HASH_CLEAR(by_name, proxy->loans.by_name);
	while (team) {
		kb_proxy_team_t *next = team->by_name.next;

		free(team);
		team = next;
	}
}

static void enqueue(kb_proxy_team_t *team, kb_proxy_session_t *session)
{
	kb_proxy_loans_t *loans = &session->proxy->loans;

	if (!team->first) {
		team->prev_waiting = NULL;
		team->next_waiting = loans->waiting;
		if (loans->waiting)
			loans->waiting->prev_waiting = team;
		loans->waiting = team;
		loans->waiting_count++;
	}
	session->loan_team = team;
	session->loan_next = NULL;
	session->loan_prev = team->last;
	if (team->last)
		team->last->loan_next = session;
	else
		team->first = session;
	team->last = session;
	team->allowance.waiting++;
}

void kb_proxy_loans_leave(kb_proxy_session_t *session)
{
	kb_proxy_loans_t *loans = &session->proxy->loans;
	kb_proxy_team_t *team = session->loan_team;

	if (!team)
		return;
	session->loan_team = NULL;
	if (session->loan_next)
		session->loan_next->loan_prev = session->loan_prev;
	else
		team->last = session->loan_prev;
	if (session->loan_prev)
		session->loan_prev->loan_next = session->loan_next;
	else
		team->first = session->loan_next;
	team->allowance.waiting--;
	if (team->first)
		return;
	loans->waiting_count--;
	if (team->next_waiting)
		team->next_waiting->prev_waiting = team->prev_waiting;
	if (team->prev_waiting)
		team->prev_waiting->next_waiting = team->next_waiting;
	else
		loans->waiting = team->next_waiting;
}

static void log_refusal(kb_proxy_team_t *team, kb_proxy_session_t *session,
			kb_time_t retry, const char *cause, kb_time_t now)
{
	team->refused_unlogged++;
	if (team->refused_logged_at &&
	    now - team->refused_logged_at < LOG_INTERVAL_MS * KB_NS_PER_MS)
		return;
	kb_log(KB_EVENT_LIMIT_REACHED,
	       "id=%.*s team=%s cause=%s rate=%g version=%" PRIu64
	       " keepers=%s,%s,%s retry_ms=%" PRId64 " refused=%" PRIu64,
	       KB_STR_ARG(kb_text_str(session->caller.args.id)),
	       team->name.data, cause, team->rate, team->version,
	       team->keepers[0].data, team->keepers[1].data,
	       team->keepers[2].data, retry / KB_NS_PER_MS,
	       team->refused_unlogged);
	team->refused_unlogged = 0;
	team->refused_logged_at = now;
}

static void refuse(kb_proxy_team_t *team, kb_proxy_session_t *session,
		   kb_time_t retry, const char *cause)
{
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	kbs_run_res res = {
		.result = KB_ERR_OVERLOADED,
		.message = kb_text_view(KB_STR("the team's limit is reached")),
		.retry_us = retry / KB_NS_PER_US,
	};

	team->refused++;
	session->proxy->loans.refused++;
	log_refusal(team, session, retry, cause, now);
	kb_proxy_statement_finish(session, &res, KB_ERR_OVERLOADED, "");
}

/* Whether the operation may run, when the keepers' answers are in. */
static kb_allowance_verdict_t take(kb_proxy_team_t *team,
				   kb_proxy_session_t *session, kb_time_t now,
				   kb_time_t *retry)
{
	session->ticket.valid = 0;
	if (!team->share_count)
		return KB_ALLOWANCE_GRANTED;
	return kb_team_allowance_take(&team->allowance, now, &session->ticket,
				      retry);
}

void kb_proxy_loans_pump(kb_proxy_t *proxy, kb_proxy_team_t *team)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_time_t retry = 0;

	while (team->first) {
		kb_proxy_session_t *session = team->first;
		kb_allowance_verdict_t verdict =
			take(team, session, now, &retry);

		if (verdict == KB_ALLOWANCE_WAIT)
			return;
		kb_proxy_loans_leave(session);
		if (verdict == KB_ALLOWANCE_GRANTED)
			kb_proxy_session_start(session);
		else
			refuse(team, session, retry, "limit");
	}
}

void kb_proxy_loans_wake(kb_proxy_t *proxy)
{
	event_active(proxy->loans.flush, 0, 0);
}

/* A refusal leaves the caller half of the time to try another host. */
static kb_time_t longest_wait(const kb_database_t *database)
{
	return (database->objective ? database->objective : database->timeout) /
	       2;
}

int kb_proxy_loans_admit(kb_proxy_session_t *session)
{
	kb_proxy_t *proxy = session->proxy;
	kb_str_t name = kb_text_str(session->caller.args.team);
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_team_t *team;
	kb_time_t retry = 0;

	session->ticket.valid = 0;
	if (!name.len)
		return 1;
	team = kb_proxy_team_get(proxy, name);
	if (!team || !team->limited)
		return 1;
	kb_team_allowance_arrived(&team->allowance, now);
	if (!team->first) {
		switch (take(team, session, now, &retry)) {
		case KB_ALLOWANCE_GRANTED:
			return 1;
		case KB_ALLOWANCE_REFUSED:
			refuse(team, session, retry, "limit");
			return 0;
		default:
			break;
		}
	}
	session->loan_until = now + longest_wait(&session->caller.database);
	enqueue(team, session);
	kb_proxy_loans_wake(proxy);
	return 0;
}

void kb_proxy_loans_end(kb_proxy_session_t *session, const kbs_run_res *res)
{
	kb_proxy_t *proxy = session->proxy;
	kb_allowance_ticket_t ticket = session->ticket;
	kb_proxy_team_t *team;

	session->ticket.valid = 0;
	if (!ticket.valid || res->offered || session->attempts > 1 ||
	    res->result / 100 != 2 || res->result == KB_ERR_ROLLED_BACK)
		return;
	team = kb_proxy_team_get(proxy, kb_text_str(session->caller.args.team));
	if (!team)
		return;
	kb_team_allowance_give_back(&team->allowance, &ticket,
				    kb_clock_monotonic(proxy->clock));
	if (team->first)
		kb_proxy_loans_wake(proxy);
}

/* Refuses the sessions that have waited as long as they may. */
static void end_waits(kb_proxy_team_t *team, kb_time_t now)
{
	kb_proxy_session_t *session = team->first;

	while (session && now < session->loan_until)
		session = session->loan_next;
	if (!session)
		return;
	kb_proxy_loans_leave(session);
	session->proxy->loans.timeouts++;
	refuse(team, session, NO_KEEPER_RETRY_AFTER_MS * KB_NS_PER_MS,
	       "no-keeper");
}

void kb_proxy_loans_tick(kb_proxy_t *proxy, kb_time_t now)
{
	kb_proxy_team_t *team = proxy->loans.waiting;
	size_t left = proxy->loans.waiting_count;

	while (team && left--) {
		kb_proxy_team_t *next = team->next_waiting;
		unsigned waiting = team->allowance.waiting;

		while (waiting--)
			end_waits(team, now);
		team = next;
	}
	if (proxy->loans.waiting)
		kb_proxy_loans_wake(proxy);
}
