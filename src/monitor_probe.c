#include "monitor_internal.h"

kb_monitor_probe_t *kb_monitor_find_probe(kb_monitor_t *monitor,
					  kb_str_t target)
{
	for (size_t i = 0; i < monitor->probe_count; i++)
		if (kb_name_is(&monitor->probes[i].target, target))
			return &monitor->probes[i];
	return NULL;
}

void kb_monitor_sync_probes(kb_monitor_t *monitor,
			    const kb_target_list_t *targets)
{
	size_t kept = 0;

	for (size_t i = 0; i < monitor->probe_count; i++)
		if (kb_target_list_find(
			    targets, kb_name_str(&monitor->probes[i].target)))
			monitor->probes[kept++] = monitor->probes[i];
	monitor->probe_count = kept;
	for (const kb_target_entry_t *entry = kb_target_list_first(
		     targets, kb_name_str(&monitor->group));
	     entry; entry = kb_target_list_next(entry)) {
		kb_monitor_probe_t *probe;

		if (kb_monitor_find_probe(monitor,
					  kb_name_str(&entry->place.target)) ||
		    monitor->probe_count == KB_MONITOR_TARGETS_MAX)
			continue;
		probe = &monitor->probes[monitor->probe_count++];
		memset(probe, 0, sizeof(*probe));
		probe->target = entry->place.target;
	}
}

void kb_monitor_send_probe(kb_monitor_t *monitor, kb_monitor_probe_t *probe,
			   const kb_target_entry_t *entry, kb_time_t now)
{
	if (probe->waiting &&
	    now - probe->sent_at < KB_MONITOR_PROBE_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	if (probe->waiting) {
		probe->failed_at = now;
		probe->refused = 0;
	}
	if (now - probe->sent_at < KB_MONITOR_PROBE_INTERVAL_MS * KB_NS_PER_MS)
		return;
	probe->waiting = 1;
	probe->sent_at = now;
	monitor->ops->probe(monitor->ctx, entry);
}

size_t kb_monitor_probe_all(kb_monitor_t *monitor,
			    const kb_target_list_t *targets, kb_time_t after,
			    kb_time_t now, size_t *answered)
{
	size_t missing = 0;

	*answered = 0;
	for (size_t i = 0; i < monitor->probe_count; i++) {
		kb_monitor_probe_t *probe = &monitor->probes[i];

		if (probe->answered_at > after) {
			++*answered;
			continue;
		}
		missing++;
		kb_monitor_send_probe(
			monitor, probe,
			kb_target_list_find(targets,
					    kb_name_str(&probe->target)),
			now);
	}
	return missing;
}
