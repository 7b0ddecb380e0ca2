#include "proxy_internal.h"
#include "proxy_loan_call.h"

#include "metrics_text.h"

#include <stdlib.h>

enum {
	/* Teams in the metrics. */
	REFUSED_TEAMS_MAX = 16,
};

/* Whether the holder of `group` keeps a share of the team's limit. */
static int keeps_share(const kb_proxy_team_t *team, const kb_name_t *group)
{
	for (unsigned i = 0; i < team->share_count; i++)
		if (kb_name_is(&team->keepers[i], kb_name_str(group)))
			return 1;
	return 0;
}

void kb_proxy_loans_lend(kb_proxy_t *proxy, const kbs_loan_request *request,
			 kbs_loan *loan)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_group_t *group =
		kb_proxy_group_find(proxy, kb_text_str(request->group));
	kb_proxy_team_t *team =
		kb_proxy_team_get(proxy, kb_text_str(request->team));
	kb_team_loan_t lent;

	memset(loan, 0, sizeof(*loan));
	loan->result = KB_ERR_NOT_GATE;
	if (!group)
		return;
	if (!kb_lease_may_serve(&group->lease, now)) {
		loan->holder =
			kb_text_view(kb_name_str(&group->lease.record.holder));
		return;
	}
	kb_team_accounts_begin(&group->accounts, group->lease.token, now);
	if (!team || !team->configured)
		return;
	if (!team->limited) {
		loan->result = KB_OK;
		loan->operations = request->operations;
		return;
	}
	if (!keeps_share(team, &group->name))
		return;
	lent = kb_team_accounts_lend(
		&group->accounts, kb_text_str(request->team), &team->share,
		group->accounts.since, request->operations, now);
	loan->result = KB_OK;
	loan->operations = lent.operations;
	loan->retry_us = lent.retry / KB_NS_PER_US;
	loan->queue_us = lent.queue / KB_NS_PER_US;
}

void kb_proxy_loans_serve(void *ctx, kb_rpc_request_t *request, void *raw)
{
	kb_proxy_t *proxy = ctx;
	const kbs_loan_args *args = raw;
	u_int count = args->requests.requests_len;
	kbs_loan_res res = { 0 };

	res.loans.loans_val = calloc(count + 1, sizeof(kbs_loan));
	if (res.loans.loans_val)
		res.loans.loans_len = count;
	for (u_int i = 0; i < res.loans.loans_len; i++)
		kb_proxy_loans_lend(proxy, &args->requests.requests_val[i],
				    &res.loans.loans_val[i]);
	kb_rpc_server_reply(request, &res);
	free(res.loans.loans_val);
}

/* Starts the accounts with the lease, so that they fill from then on. */
void kb_proxy_keeper_tick(kb_proxy_group_t *group, kb_time_t now)
{
	if (kb_lease_may_serve(&group->lease, now))
		kb_team_accounts_begin(&group->accounts, group->lease.token,
				       now);
}

static int is_limited(void *ctx, kb_str_t name)
{
	const kb_proxy_team_t *team = kb_proxy_team_get(ctx, name);

	return team && team->limited;
}

void kb_proxy_loans_on_configuration(kb_proxy_t *proxy)
{
	kb_proxy_team_t *team;
	kb_proxy_team_t *next;

	for (size_t i = 0; i < proxy->group_count; i++)
		kb_team_accounts_prune(&proxy->groups[i]->accounts, is_limited,
				       proxy);
	HASH_ITER(by_name, proxy->loans.by_name, team, next)
	{
		team = kb_proxy_team_get(proxy, kb_name_str(&team->name));
		if (team->first || team->configured)
			continue;
		HASH_DELETE(by_name, proxy->loans.by_name, team);
		free(team);
	}
	if (proxy->loans.waiting)
		kb_proxy_loans_wake(proxy);
}

static uint64_t lent_by_this_host(const kb_proxy_t *proxy, size_t offset)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < proxy->group_count; i++)
		sum += *(const uint64_t *)((const char *)&proxy->groups[i]
						   ->accounts.counters +
					   offset);
	return sum;
}

/* Writes the teams that were refused most; the others are left out. */
static void write_refused(const kb_proxy_t *proxy, struct evbuffer *out)
{
	const kb_proxy_team_t *most[REFUSED_TEAMS_MAX];
	const kb_proxy_team_t *team;
	size_t count = 0;

	for (team = proxy->loans.by_name; team; team = team->by_name.next) {
		size_t place = count;

		while (place && most[place - 1]->refused < team->refused)
			place--;
		if (!team->refused || place == REFUSED_TEAMS_MAX)
			continue;
		if (count < REFUSED_TEAMS_MAX)
			count++;
		memmove(most + place + 1, most + place,
			(count - 1 - place) * sizeof(most[0]));
		most[place] = team;
	}
	kb_metrics_text_family(out, "team_refused_total", "counter",
			       "Operations refused for a team's limit; the "
			       "teams that were refused most.");
	for (size_t i = 0; i < count; i++)
		kb_metrics_text_value(out, "team_refused_total", "team",
				      most[i]->name.data,
				      (double)most[i]->refused);
}

void kb_proxy_loans_write_metrics(kb_proxy_t *proxy, struct evbuffer *out)
{
	const kb_proxy_loans_t *loans = &proxy->loans;

	kb_metrics_text_counter(out, "loans_asked_total",
				"Operations that keepers were asked for.",
				loans->asked);
	kb_metrics_text_counter(out, "loans_received_total",
				"Operations that keepers lent to this host.",
				loans->received);
	kb_metrics_text_counter(out, "loan_calls_total", "Calls to keepers.",
				loans->calls);
	kb_metrics_text_counter(out, "loan_failures_total",
				"Requests that no keeper answered.",
				loans->failures);
	kb_metrics_text_counter(out, "limit_refused_total",
				"Operations refused for a team's limit.",
				loans->refused);
	kb_metrics_text_counter(out, "limit_no_keeper_total",
				"Of these, those that no keeper was reached "
				"for.",
				loans->timeouts);
#define COUNTER(member) offsetof(kb_team_accounts_counters_t, member)
	kb_metrics_text_counter(out, "accounts_asked_total",
				"Operations that this host was asked for as a "
				"keeper.",
				lent_by_this_host(proxy, COUNTER(asked)));
	kb_metrics_text_counter(out, "accounts_lent_total",
				"Operations that this host lent as a keeper.",
				lent_by_this_host(proxy, COUNTER(lent)));
	kb_metrics_text_counter(out, "accounts_denials_total",
				"Requests that this host did not lend all of.",
				lent_by_this_host(proxy, COUNTER(denials)));
#undef COUNTER
	write_refused(proxy, out);
}
