#include "proxy_internal.h"

#include <stdlib.h>

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
		if (team->first || kb_teams_find(&proxy->databases.teams,
						 kb_name_str(&team->name)))
			continue;
		HASH_DELETE(by_name, proxy->loans.by_name, team);
		free(team);
	}
}
