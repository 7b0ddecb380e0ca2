#include "proxy_statement.h"

#include "log.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>

enum {
	/* Requests to keepers of one turn of the loop. */
	REQUESTS_MAX = 256,
	/* A keeper that does not answer for this is taken for lost. */
	CALL_TIMEOUT_MS = 300,
	/* Callers return after this time if no keeper was reached. */
	NO_KEEPER_RETRY_AFTER_MS = 500,
	/* At most one log line a team in this time. */
	LOG_INTERVAL_MS = 1000,
};

/* A request to a keeper on behalf of a team. */
typedef struct request {
	kb_host_t *host;
	kb_proxy_team_t *team;
	unsigned share;
	unsigned operations;
} request_t;

/* The team and the share of a request that is in flight. */
typedef struct asked {
	kb_name_t team;
	uint64_t version;
	unsigned share;
	unsigned operations;
} asked_t;

typedef struct loan_call {
	kb_proxy_t *proxy;
	kb_name_t host;
	kb_time_t sent_at;
	size_t count;
	asked_t asked[];
} loan_call_t;

static void on_flush(evutil_socket_t fd, short what, void *arg);

kb_result_t kb_proxy_loans_init(kb_proxy_t *proxy)
{
	const kb_settings_t *settings = proxy->setup.settings;

	proxy->loans.tolerance.window = settings->limits_window;
	proxy->loans.tolerance.overage = settings->limits_overage;
	proxy->loans.tolerance.slack = settings->limits_slack;
	proxy->loans.flush = evtimer_new(proxy->setup.loop, on_flush, proxy);
	return proxy->loans.flush ? KB_OK : KB_ERR_NO_MEMORY;
}

static void free_team(kb_proxy_t *proxy, kb_proxy_team_t *team)
{
	HASH_DELETE(by_name, proxy->loans.by_name, team);
	free(team);
}

void kb_proxy_loans_finish(kb_proxy_t *proxy)
{
	kb_proxy_team_t *team;
	kb_proxy_team_t *next;

	if (proxy->loans.flush)
		event_free(proxy->loans.flush);
	HASH_ITER(by_name, proxy->loans.by_name, team, next)
	free_team(proxy, team);
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

/* Lets the sessions go on that need not wait any more. */
static void pump(kb_proxy_t *proxy, kb_proxy_team_t *team)
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

static void schedule(kb_proxy_t *proxy)
{
	event_active(proxy->loans.flush, 0, 0);
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
	session->loan_until = now + session->caller.database.objective / 2;
	enqueue(team, session);
	schedule(proxy);
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
		schedule(proxy);
}

/* Returns the host that holds the group of a share, as far as is known. */
static kb_host_t *find_keeper(kb_proxy_t *proxy, const kb_proxy_team_t *team,
			      unsigned share)
{
	const kb_name_t *hint = &team->hints[share];
	kb_proxy_group_t *group;

	if (hint->len)
		return kb_hosts_find(&proxy->hosts, kb_name_str(hint));
	group = kb_proxy_group_find(proxy, kb_name_str(&team->keepers[share]));
	if (!group || !group->lease.known)
		return NULL;
	return kb_hosts_find(&proxy->hosts,
			     kb_name_str(&group->lease.record.holder));
}

static void failed(kb_proxy_t *proxy, kb_proxy_team_t *team, unsigned share,
		   kb_time_t now)
{
	team->hints[share].len = 0;
	kb_team_allowance_on_failure(&team->allowance, share, now);
	proxy->loans.failed_calls++;
}

/* Takes a keeper's answer for one team. */
static void take_loan(kb_proxy_t *proxy, kb_proxy_team_t *team, unsigned share,
		      const kb_name_t *host, kb_time_t sent_at,
		      const kbs_loan *loan)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_str_t holder = kb_text_str(loan->holder);

	if (!loan->result) {
		proxy->loans.received += loan->operations;
		kb_team_allowance_on_loan(&team->allowance, share, sent_at,
					  loan->operations,
					  loan->retry_us * KB_NS_PER_US, now);
		return;
	}
	if (!holder.len || team->hints[share].len || kb_name_is(host, holder)) {
		failed(proxy, team, share, now);
		return;
	}
	kb_name_set(&team->hints[share], holder);
	kb_team_allowance_redirected(&team->allowance, share);
}

static void on_lent(void *ctx, kb_result_t result, void *res)
{
	loan_call_t *call = ctx;
	kb_proxy_t *proxy = call->proxy;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	const kbs_loan_res *reply = res;

	if (!result && reply->loans.loans_len != call->count)
		result = KB_ERR_PROTOCOL;
	for (size_t i = 0; i < call->count; i++) {
		const asked_t *asked = &call->asked[i];
		kb_proxy_team_t *team =
			kb_proxy_team_get(proxy, kb_name_str(&asked->team));

		if (!team)
			continue;
		if (result)
			failed(proxy, team, asked->share, now);
		else
			take_loan(proxy, team, asked->share, &call->host,
				  call->sent_at, &reply->loans.loans_val[i]);
		pump(proxy, team);
	}
	free(call);
	if (proxy->loans.waiting)
		schedule(proxy);
}

/* Asks the keeper's host for the teams of `requests`. */
static void send_requests(kb_proxy_t *proxy, const request_t *requests,
			  size_t count, kb_time_t now)
{
	kbs_loan_request wire[REQUESTS_MAX];
	kbs_loan_args args = { .requests = { (u_int)count, wire } };
	kb_host_t *host = requests[0].host;
	loan_call_t *call =
		calloc(1, sizeof(*call) + count * sizeof(call->asked[0]));
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_LOAN,
		.encode = (xdrproc_t)xdr_kbs_loan_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_loan_res,
		.res_size = sizeof(kbs_loan_res),
		.timeout = CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_lent,
		.ctx = call,
	};

	for (size_t i = 0; i < count; i++) {
		const request_t *r = &requests[i];

		wire[i].group =
			kb_text_view(kb_name_str(&r->team->keepers[r->share]));
		wire[i].team = kb_text_view(kb_name_str(&r->team->name));
		wire[i].operations = r->operations;
		if (!call)
			continue;
		call->asked[i].team = r->team->name;
		call->asked[i].share = r->share;
	}
	if (call) {
		call->proxy = proxy;
		call->host = host->name;
		call->sent_at = now;
		call->count = count;
	}
	proxy->loans.calls++;
	if (call && !kb_proxy_host_call(proxy, host, &rpc))
		return;
	for (size_t i = 0; i < count; i++)
		failed(proxy, requests[i].team, requests[i].share, now);
}

static int compare_requests(const void *a, const void *b)
{
	const request_t *x = a;
	const request_t *y = b;

	return (x->host > y->host) - (x->host < y->host);
}

/* Sends one call to each keeper's host. */
static void send_all(kb_proxy_t *proxy, request_t *requests, size_t count,
		     kb_time_t now)
{
	size_t start = 0;

	if (count)
		qsort(requests, count, sizeof(*requests), compare_requests);
	for (size_t i = 1; i <= count; i++) {
		if (i < count && requests[i].host == requests[start].host)
			continue;
		send_requests(proxy, requests + start, i - start, now);
		start = i;
	}
}

/* This host is the keeper itself. */
static void ask_self(kb_proxy_t *proxy, const request_t *request, kb_time_t now)
{
	kb_proxy_team_t *team = request->team;
	kbs_loan_request wire = {
		.group = kb_text_view(
			kb_name_str(&team->keepers[request->share])),
		.team = kb_text_view(kb_name_str(&team->name)),
		.operations = request->operations,
	};
	kbs_loan loan = { 0 };

	kb_proxy_loans_lend(proxy, &wire, &loan);
	take_loan(proxy, team, request->share, &proxy->self.name, now, &loan);
}

/* Asks the keepers of one team; returns the number of calls to make. */
static size_t ask(kb_proxy_t *proxy, kb_proxy_team_t *team, request_t *requests,
		  size_t room, kb_time_t now)
{
	size_t count = 0;

	while (count < room && team->first) {
		request_t request = { .team = team };

		request.operations = kb_team_allowance_wanted(
			&team->allowance, now, &request.share);
		if (!request.operations)
			break;
		request.host = find_keeper(proxy, team, request.share);
		proxy->loans.asked += request.operations;
		if (!request.host ||
		    (!request.host->self &&
		     !kb_proxy_host_usable(request.host, now))) {
			failed(proxy, team, request.share, now);
		} else if (request.host->self) {
			kb_team_allowance_asked(&team->allowance, request.share,
						now);
			ask_self(proxy, &request, now);
			pump(proxy, team);
		} else {
			kb_team_allowance_asked(&team->allowance, request.share,
						now);
			requests[count++] = request;
		}
	}
	return count;
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	kb_proxy_t *proxy = arg;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_team_t *team = proxy->loans.waiting;
	request_t requests[REQUESTS_MAX];
	size_t left = proxy->loans.waiting_count;
	size_t count = 0;

	(void)fd;
	(void)what;
	/* Callers that are answered may change the list. */
	while (team && left--) {
		kb_proxy_team_t *next = team->next_waiting;

		pump(proxy, team);
		count += ask(proxy, team, requests + count,
			     REQUESTS_MAX - count, now);
		pump(proxy, team);
		team = next;
	}
	send_all(proxy, requests, count, now);
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
		schedule(proxy);
}
