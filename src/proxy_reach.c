#include "proxy_internal.h"

#include "load/cut_off.h"
#include "log.h"

#include <inttypes.h>

/* The voters of the holder that served last. */
static const kb_voter_set_t *deciding_voters(const kb_lease_record_t *record)
{
	return record->released || record->settled ||
			       !record->former_voters.count
		       ? &record->voters
		       : &record->former_voters;
}

static void log_change(kb_proxy_group_t *group, const kb_cut_off_view_t *view,
		       int cut_off)
{
	if (cut_off == group->cut_off)
		return;
	group->cut_off = cut_off;
	kb_log(KB_EVENT_GROUP_BEHIND_CUT,
	       "group=%s cut_off=%d silent=%u voters=%u unserved_ms=%" PRId64,
	       group->name.data, cut_off, view->silent, view->voters,
	       view->unserved / KB_NS_PER_MS);
}

int kb_proxy_group_is_cut_off(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_voter_set_t *set = deciding_voters(&group->lease.record);
	kb_cut_off_view_t view = {
		.unserved = kb_proxy_group_unserved_time(group, now),
		.voters = (unsigned)set->count,
	};
	int is_late = view.unserved >= KB_CUT_OFF_DOUBT_MS * KB_NS_PER_MS;
	int cut_off;

	if (!is_late && !group->cut_off)
		return 0;
	for (size_t i = 0; i < set->count; i++) {
		kb_host_t *host = kb_hosts_find(&proxy->hosts,
						kb_name_str(&set->hosts[i]));

		if (!host || host->self)
			continue;
		view.silent += host->failed && host->silent;
		if (is_late && !host->failed)
			kb_proxy_host_verify(proxy, host, now);
	}
	cut_off = kb_cut_off_decide(&view);
	log_change(group, &view, cut_off);
	return cut_off;
}

int kb_proxy_group_should_hold(kb_proxy_group_t *group, kb_host_t *holder,
			       kb_time_t now)
{
	int hold = !holder->self &&
		   kb_cut_off_should_hold(
			   holder->failed && holder->silent,
			   kb_proxy_group_unserved_time(group, now));

	if (hold)
		kb_proxy_host_verify(group->proxy, holder, now);
	return hold;
}
