#include "proxy_internal.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>

enum {
	/* A vacancy is shown anew this often while somebody asks. */
	VACANCY_PAUSE_MS = 250,
	/* It is sought for this time after a question. */
	VACANCY_WANTED_MS = 1000,
	/* Reserve beyond the validity of the last grant. */
	VACANCY_MARGIN_MS = 100,
	/* One that comes after this time is logged as a new one. */
	VACANCY_NEW_S = 2,
	/* What was shown is told for this time. */
	VACANCY_TOLD_MS = 600,
};

/* A question to a candidate. */
typedef struct granted_call {
	kb_proxy_group_t *group;
	uint64_t number;
} granted_call_t;

/* A majority denies a holder: the targets tell who leads, and how far. */
static void probe_targets(kb_proxy_group_t *group)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	const kb_target_list_t *targets = &group->proxy->targets;

	vacancy->answered = 0;
	vacancy->highest_term = 0;
	memset(&vacancy->primary, 0, sizeof(vacancy->primary));
	for (size_t i = 0; i < targets->count; i++) {
		const kb_target_entry_t *target = &targets->entries[i];
		kb_proxy_probe_t *probe;

		if (!kb_name_is(&target->place.group,
				kb_name_str(&group->name)))
			continue;
		vacancy->asked++;
		probe = kb_proxy_probe_get(group, target);
		/* An answer that is under way may have been given too early. */
		if (!probe || probe->probe.waiting)
			continue;
		probe->for_vacancy = 1;
		kb_target_probe_send(&probe->probe, KB_LINK_COMMAND_STATUS, 0);
	}
}

/* Takes one candidate's word that it granted nothing for `age`. */
static void deny(kb_proxy_group_t *group, kb_time_t age)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	kb_time_t valid =
		(KB_LEASE_DURATION_MS + VACANCY_MARGIN_MS) * KB_NS_PER_MS;

	if (age < valid)
		return;
	vacancy->denials++;
	if (vacancy->denials == group->hold.record.voters.count / 2 + 1 &&
	    !vacancy->asked)
		probe_targets(group);
}

static void on_granted(void *ctx, kb_result_t result, void *res)
{
	granted_call_t call = *(granted_call_t *)ctx;
	kb_proxy_vacancy_t *vacancy = &call.group->vacancy;
	const kbs_granted_res *told = res;

	free(ctx);
	if (!result && told->known && call.number == vacancy->number &&
	    (int64_t)told->revision == vacancy->revision &&
	    call.group->hold.revision == vacancy->revision)
		deny(call.group, told->age_us * KB_NS_PER_US);
}

static void ask(kb_proxy_group_t *group, kb_host_t *host)
{
	granted_call_t *call = calloc(1, sizeof(*call));
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
		.done = on_granted,
		.ctx = call,
	};

	if (!call)
		return;
	call->group = group;
	call->number = group->vacancy.number;
	kb_proxy_host_call(group->proxy, host, &rpc);
}

static void ask_candidates(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	const kb_voter_set_t *set = &group->hold.record.voters;
	kb_time_t since;

	vacancy->asked_at = now;
	vacancy->number++;
	vacancy->revision = group->hold.revision;
	vacancy->denials = 0;
	vacancy->asked = 0;
	for (size_t i = 0; i < set->count; i++) {
		kb_host_t *host = kb_hosts_find(&group->proxy->hosts,
						kb_name_str(&set->hosts[i]));

		if (!host)
			continue;
		if (!host->self)
			ask(group, host);
		else if (kb_lease_last_grant(&group->hold, vacancy->revision,
					     &since))
			deny(group, now - since);
	}
}

void kb_proxy_vacancy_tick(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;

	if (now > vacancy->wanted_until ||
	    group->hold.role > KB_LEASE_ACQUIRING || !group->hold.revision ||
	    !group->primary.len ||
	    now - vacancy->asked_at < VACANCY_PAUSE_MS * KB_NS_PER_MS)
		return;
	ask_candidates(group, now);
}

/*
 * Whether the primary leads in the highest term that a majority of the targets
 * knows. Candidates cut off from the store may deny a holder that has named
 * others since; a primary that it promoted shows in the targets' terms.
 */
static int primary_leads(const kb_proxy_group_t *group)
{
	const kb_proxy_vacancy_t *vacancy = &group->vacancy;

	return vacancy->answered > vacancy->asked / 2 &&
	       vacancy->primary.is_primary &&
	       vacancy->primary.term >= group->primary_term &&
	       vacancy->primary.term >= vacancy->highest_term;
}

void kb_proxy_vacancy_on_probe(kb_proxy_group_t *group, kb_str_t target,
			       const kb_target_report_t *report)
{
	kb_proxy_vacancy_t *vacancy = &group->vacancy;
	kb_time_t before = vacancy->found_at;

	if (!report || !vacancy->asked)
		return;
	vacancy->answered++;
	if (report->term > vacancy->highest_term)
		vacancy->highest_term = report->term;
	if (kb_name_is(&group->primary, target))
		vacancy->primary = *report;
	if (!primary_leads(group))
		return;
	vacancy->found_at = vacancy->asked_at;
	vacancy->point = vacancy->primary.received;
	vacancy->term = vacancy->primary.term;
	if (vacancy->asked_at - before > VACANCY_NEW_S * KB_NS_PER_S)
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

	vacancy->wanted_until = now + VACANCY_WANTED_MS * KB_NS_PER_MS;
	if (!vacancy->found_at ||
	    now - vacancy->found_at > VACANCY_TOLD_MS * KB_NS_PER_MS ||
	    vacancy->revision != group->hold.revision)
		return;
	stamp->valid = TRUE;
	stamp->vacant = TRUE;
	stamp->term = vacancy->term;
	stamp->point = kb_point_to(vacancy->point);
	stamp->primary = kb_text_view(kb_name_str(&group->primary));
	stamp->age_us = (now - vacancy->found_at) / KB_NS_PER_US;
}
