#include "proxy_loan_call.h"

#include "proxy_internal.h"

#include <event2/event.h>
#include <stdlib.h>

enum {
	/* Requests to keepers of one turn of the loop. */
	REQUESTS_MAX = 256,
	/* A keeper that does not answer for this is taken for lost. */
	CALL_TIMEOUT_MS = 300,
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
	unsigned share;
} asked_t;

typedef struct loan_call {
	kb_proxy_t *proxy;
	kb_name_t host;
	kb_time_t sent_at;
	size_t count;
	asked_t asked[];
} loan_call_t;

/* Returns the host that holds the group of a share, as far as is known. */
static kb_host_t *find_keeper(kb_proxy_t *proxy, const kb_proxy_team_t *team,
			      unsigned share)
{
	const kb_name_t *hint = &team->hints[share];
	const kb_proxy_group_t *group = team->groups[share];

	if (hint->len)
		return kb_hosts_find(&proxy->hosts, kb_name_str(hint));
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
	proxy->loans.failures++;
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
		kb_team_allowance_on_queue(&team->allowance, share,
					   loan->queue_us * KB_NS_PER_US, now);
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
		kb_proxy_loans_pump(proxy, team);
	}
	free(call);
	if (proxy->loans.waiting)
		kb_proxy_loans_wake(proxy);
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

/* Notes which keepers are in this region. */
static void locate_keepers(kb_proxy_t *proxy, kb_proxy_team_t *team)
{
	for (unsigned i = 0; i < team->share_count; i++) {
		const kb_host_t *host = find_keeper(proxy, team, i);

		team->allowance.shares[i].near =
			host && kb_name_is(&host->region,
					   kb_name_str(&proxy->self.region));
	}
}

/* Asks the keepers of one team; returns the number of calls to make. */
static size_t ask(kb_proxy_t *proxy, kb_proxy_team_t *team, request_t *requests,
		  size_t room, kb_time_t now)
{
	size_t count = 0;

	if (team->first)
		locate_keepers(proxy, team);
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
			kb_proxy_loans_pump(proxy, team);
		} else {
			kb_team_allowance_asked(&team->allowance, request.share,
						now);
			requests[count++] = request;
		}
	}
	return count;
}

void kb_proxy_loans_flush(evutil_socket_t fd, short what, void *arg)
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

		kb_proxy_loans_pump(proxy, team);
		count += ask(proxy, team, requests + count,
			     REQUESTS_MAX - count, now);
		kb_proxy_loans_pump(proxy, team);
		team = next;
	}
	send_all(proxy, requests, count, now);
}
