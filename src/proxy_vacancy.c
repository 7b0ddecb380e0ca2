#include "proxy_internal.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>

enum {
	/* Interval of the checks. */
	CHECK_INTERVAL_MS = 250,
	/* Checks continue for this time after the last request. */
	REQUEST_VALID_MS = 1000,
	/* Margin added to the validity of the last grant. */
	GRANT_MARGIN_MS = 100,
	/* A vacancy found this long after the last one is logged as new. */
	LOG_INTERVAL_S = 2,
	/* A vacancy is reported for this time after it was found. */
	RESULT_MAX_AGE_MS = 600,
};

/* A call that asks a voter for the age of its last grant. */
typedef struct grant_age_call {
	kb_proxy_group_t *group;
	kb_name_t voter;
	uint64_t round;
} grant_age_call_t;

/*
 * Asks the targets for their roles, terms and positions, once a majority of the
 * voters has ruled out a holder.
 */
static void probe_targets(kb_proxy_group_t *group)
{
	const kb_target_list_t *targets = &group->proxy->targets;

	group->vacancy.probed = 1;
	for (const kb_target_entry_t *target =
		     kb_target_list_first(targets, kb_name_str(&group->name));
	     target; target = kb_target_list_next(target)) {
		kb_proxy_probe_t *probe = kb_proxy_probe_get(group, target);

		if (probe)
			kb_target_probe_send(&probe->probe,
					     KB_LINK_COMMAND_STATUS, 0);
	}
}

/* Counts a voter whose last grant is `age` old, if that has expired. */
static void count_vote(kb_proxy_group_t *group, const kb_name_t *voter,
		       kb_time_t age)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	kb_time_t valid =
		(KB_LEASE_DURATION_MS + GRANT_MARGIN_MS) * KB_NS_PER_MS;

	kb_lease_denials_t *denials = &vacancy->denials;

	if (age < valid || denials->count == sizeof(denials->hosts) /
						     sizeof(denials->hosts[0]))
		return;
	denials->hosts[denials->count++] = *voter;
	if (!vacancy->probed && kb_lease_is_denied(&group->lease, denials))
		probe_targets(group);
}

static void on_grant_age(void *ctx, kb_result_t result, void *res)
{
	grant_age_call_t call = *(grant_age_call_t *)ctx;
	kb_proxy_vacancy_t *vacancy = &call.group->vacancy;
	const kbs_granted_res *reply = res;

	free(ctx);
	if (!result && reply->known && call.round == vacancy->round &&
	    (int64_t)reply->revision == vacancy->revision &&
	    call.group->lease.revision == vacancy->revision)
		count_vote(call.group, &call.voter,
			   reply->age_us * KB_NS_PER_US);
}

static void request_grant_age(kb_proxy_group_t *group, kb_host_t *host)
{
	grant_age_call_t *call = calloc(1, sizeof(*call));
	kbs_granted_args args = {
		.group = kb_text_view(kb_name_str(&group->name)),
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_LAST_GRANT,
		.encode = (xdrproc_t)xdr_kbs_granted_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_granted_res,
		.res_size = sizeof(kbs_granted_res),
		.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_grant_age,
		.ctx = call,
	};

	if (!call)
		return;
	call->group = group;
	call->voter = host->name;
	call->round = group->vacancy.round;
	kb_proxy_host_call(group->proxy, host, &rpc);
}

static void ask_voters(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	kb_lease_denials_t possible;
	kb_time_t since;

	vacancy->started_at = now;
	vacancy->round++;
	vacancy->revision = group->lease.revision;
	vacancy->denials.count = 0;
	vacancy->probed = 0;
	kb_lease_possible_denials(&group->lease, &possible);
	for (size_t i = 0; i < possible.count; i++) {
		kb_host_t *host = kb_hosts_find(
			&group->proxy->hosts, kb_name_str(&possible.hosts[i]));

		if (!host)
			continue;
		if (!host->self)
			request_grant_age(group, host);
		else if (kb_lease_last_grant(&group->lease, vacancy->revision,
					     &since))
			count_vote(group, &host->name, now - since);
	}
}

void kb_proxy_vacancy_tick(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;

	if (now > vacancy->requested_until ||
	    group->lease.role > KB_LEASE_ACQUIRING || !group->lease.revision ||
	    !group->primary.len ||
	    now - vacancy->started_at < CHECK_INTERVAL_MS * KB_NS_PER_MS)
		return;
	ask_voters(group, now);
}

void kb_proxy_vacancy_sync_targets(kb_proxy_group_t *group, kb_time_t now)
{
	kb_copies_sync(&group->vacancy.targets, &group->proxy->targets,
		       kb_name_str(&group->name), now);
}

/*
 * Whether a target that the record's holder could order has no entry. A host
 * that has started since may never have seen it.
 */
static int is_standby_missing(const kb_proxy_group_t *group)
{
	const kb_target_names_t *standbys = &group->lease.record.standbys;

	for (size_t i = 0; i < standbys->count; i++)
		if (!kb_target_list_find(&group->proxy->targets,
					 kb_name_str(&standbys->names[i])))
			return 1;
	return 0;
}

/* Whether a target that this host can't ask may have been promoted. */
static int may_unknown_target_lead(kb_proxy_group_t *group, uint64_t term)
{
	const kb_promotion_order_t *order = &group->lease.order;

	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	kb_proxy_vacancy_sync_targets(group, now);
	if (kb_copies_may_lead(&group->vacancy.targets, now) ||
	    is_standby_missing(group))
		return 1;
	return order->target.len && order->term >= term &&
	       !kb_target_list_find(&group->proxy->targets,
				    kb_name_str(&order->target));
}

/*
 * Returns the report of the primary if the reports of all targets show that no
 * other one had been promoted at `*at`, the first time at which one of them was
 * requested, else NULL.
 */
static const kb_target_report_t *find_primary(const kb_proxy_group_t *group,
					      kb_time_t *at)
{
	const kb_proxy_t *proxy = group->proxy;
	const kb_target_report_t *primary = NULL;

	*at = INT64_MAX;
	for (const kb_target_entry_t *target = kb_target_list_first(
		     &proxy->targets, kb_name_str(&group->name));
	     target; target = kb_target_list_next(target)) {
		const kb_proxy_probe_t *probe =
			kb_proxy_probe_find(group, target);

		if (!probe || !probe->report_requested_at ||
		    probe->report.term != group->vacancy.highest_term)
			return NULL;
		if (probe->report_requested_at < *at)
			*at = probe->report_requested_at;
		if (kb_name_is(&group->primary,
			       kb_name_str(&target->place.target)))
			primary = &probe->report;
	}
	return primary && primary->is_primary &&
			       primary->term >= group->primary_term
		       ? primary
		       : NULL;
}

void kb_proxy_vacancy_on_report(kb_proxy_group_t *group,
				const kb_target_report_t *report)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	const kb_target_report_t *primary;
	kb_time_t last_found_at = vacancy->found_at;
	kb_time_t at;

	if (report->term > vacancy->highest_term) {
		if (last_found_at)
			kb_log(KB_EVENT_VACANCY_ENDED,
			       "group=%s primary=%s term=%" PRIu64
			       " reported_term=%" PRIu64,
			       group->name.data, group->primary.data,
			       vacancy->term, report->term);
		vacancy->highest_term = report->term;
		vacancy->found_at = 0;
	}
	if (!vacancy->probed)
		return;
	primary = find_primary(group, &at);
	if (!primary || at <= last_found_at ||
	    may_unknown_target_lead(group, primary->term))
		return;
	vacancy->found_at = at;
	vacancy->point = primary->received;
	vacancy->term = primary->term;
	if (at - last_found_at > LOG_INTERVAL_S * KB_NS_PER_S)
		kb_log(KB_EVENT_GROUP_VACANT,
		       "group=%s revision=%" PRId64 " primary=%s term=%" PRIu64
		       " position=%" PRIu64,
		       group->name.data, vacancy->revision, group->primary.data,
		       vacancy->term, vacancy->point.position);
}

void kb_proxy_vacancy_watermark(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	vacancy->requested_until = now + REQUEST_VALID_MS * KB_NS_PER_MS;
	if (!vacancy->found_at ||
	    now - vacancy->found_at > RESULT_MAX_AGE_MS * KB_NS_PER_MS ||
	    vacancy->revision != group->lease.revision)
		return;
	stamp->valid = TRUE;
	stamp->vacant = TRUE;
	stamp->term = vacancy->term;
	stamp->point = kb_point_to(vacancy->point);
	stamp->primary = kb_text_view(kb_name_str(&group->primary));
	stamp->age_us = (now - vacancy->found_at) / KB_NS_PER_US;
}
