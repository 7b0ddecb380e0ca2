#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

static void log_expectation(const kb_monitor_t *monitor)
{
	kb_log(KB_EVENT_ORDERS_UNKNOWN,
	       "group=%s token=%" PRId64 " standbys=%zu unknown=%d",
	       monitor->group.data, monitor->token, monitor->possible.count,
	       kb_monitor_expects_orders(monitor));
}

void kb_monitor_expect_orders(kb_monitor_t *monitor,
			      const kb_target_names_t *standbys, kb_time_t now)
{
	monitor->possible = *standbys;
	for (size_t i = 0; i < KB_TARGET_NAMES_MAX; i++)
		monitor->possible_seen_at[i] = now;
	monitor->possible_until =
		now + KB_OPEN_ORDERS_UNANSWERED_MAX_S * KB_NS_PER_S;
	log_expectation(monitor);
}

void kb_monitor_end_expectation(kb_monitor_t *monitor)
{
	if (!kb_monitor_expects_orders(monitor))
		return;
	monitor->possible.count = 0;
	monitor->possible_until = 0;
	log_expectation(monitor);
}

int kb_monitor_expects_orders(const kb_monitor_t *monitor)
{
	return monitor->possible_until != 0;
}

void kb_monitor_set_entries_time(kb_monitor_t *monitor, kb_time_t as_of)
{
	monitor->entries_as_of = as_of;
}

/* Adds the targets that may be ordered; one that is leaving is not. */
static void add_candidates(const kb_monitor_t *monitor,
			   const kb_target_list_t *targets,
			   kb_target_names_t *names)
{
	for (const kb_target_entry_t *entry = kb_target_list_first(
		     targets, kb_name_str(&monitor->group));
	     entry; entry = kb_target_list_next(entry))
		if (!entry->leaving)
			kb_target_names_add(names, &entry->place.target);
}

/* Removes the targets that have ended, as their entries are not back. */
static void remove_gone(kb_monitor_t *monitor, const kb_target_list_t *targets,
			kb_time_t now)
{
	int is_outdated = now - monitor->entries_as_of >
			  KB_MONITOR_ENTRIES_MAX_AGE_MS * KB_NS_PER_MS;
	kb_target_names_t *names = &monitor->possible;
	size_t kept = 0;

	for (size_t i = 0; i < names->count; i++) {
		kb_time_t seen_at = monitor->possible_seen_at[i];

		if (is_outdated ||
		    kb_target_list_find(targets, kb_name_str(&names->names[i])))
			seen_at = now;
		if (now - seen_at >=
		    KB_MONITOR_ENTRY_MISSING_MAX_MS * KB_NS_PER_MS)
			continue;
		names->names[kept] = names->names[i];
		monitor->possible_seen_at[kept++] = seen_at;
	}
	names->count = kept;
}

void kb_monitor_tick_expectation(kb_monitor_t *monitor,
				 const kb_target_list_t *targets, kb_time_t now)
{
	if (!kb_monitor_expects_orders(monitor))
		return;
	if (now >= monitor->possible_until) {
		kb_monitor_end_expectation(monitor);
		return;
	}
	/* The store may have been restored from a copy without their names. */
	add_candidates(monitor, targets, &monitor->possible);
	remove_gone(monitor, targets, now);
}

void kb_monitor_standbys(const kb_monitor_t *monitor,
			 const kb_target_list_t *targets,
			 kb_target_names_t *standbys)
{
	*standbys = monitor->possible;
	add_candidates(monitor, targets, standbys);
}

int kb_monitor_has_witness(kb_monitor_t *monitor, const kb_name_t *primary)
{
	size_t others = 0;

	for (size_t i = 0; i < monitor->possible.count; i++) {
		kb_str_t name = kb_name_str(&monitor->possible.names[i]);
		const kb_monitor_probe_t *probe =
			kb_monitor_find_probe(monitor, name);

		if (kb_name_is(primary, name))
			continue;
		if (probe && probe->answered_at > monitor->state_since)
			return 1;
		others++;
	}
	return !others;
}
