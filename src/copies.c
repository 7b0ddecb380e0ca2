#include "copies.h"

#include "log.h"

#include <inttypes.h>

static kb_copy_t *find(kb_copies_t *copies, const kb_name_t *target)
{
	for (size_t i = 0; i < copies->count; i++)
		if (kb_name_is(&copies->copies[i].target, kb_name_str(target)))
			return &copies->copies[i];
	return NULL;
}

static kb_copy_t *add(kb_copies_t *copies, const kb_name_t *target)
{
	kb_copy_t *copy = find(copies, target);

	if (copy || copies->count == KB_TARGET_NAMES_MAX)
		return copy;
	copy = &copies->copies[copies->count++];
	memset(copy, 0, sizeof(*copy));
	copy->target = *target;
	return copy;
}

void kb_copies_add(kb_copies_t *copies, const kb_target_names_t *names,
		   kb_time_t now)
{
	for (size_t i = 0; i < names->count; i++) {
		if (find(copies, &names->names[i]))
			continue;
		kb_copy_t *copy = add(copies, &names->names[i]);

		if (copy)
			copy->missing_since = now;
		else
			copies->departures.truncated = 1;
	}
}

void kb_copies_add_departures(kb_copies_t *copies,
			      const kb_departures_t *departures)
{
	int truncated = copies->departures.truncated || departures->truncated;

	copies->departures = *departures;
	copies->departures.truncated = truncated;
	for (size_t i = 0; i < departures->count; i++) {
		kb_copy_t *copy =
			find(copies, &departures->departures[i].target);

		if (copy)
			copy->leaving = 1;
	}
}

/* Returns the heir of a copy, or an empty name. */
static const kb_name_t *heir_of(kb_copies_t *copies, const kb_copy_t *copy)
{
	static const kb_name_t none;
	const kb_departure_t *departure =
		kb_departures_find(&copies->departures, &copy->target);

	return departure ? &departure->heir : &none;
}

static kb_copy_log_t locate_log(kb_copies_t *copies, const kb_copy_t *copy,
				kb_time_t now)
{
	if (!copy->missing_since)
		return KB_COPY_LOG_KEPT;
	if (heir_of(copies, copy)->len)
		return KB_COPY_LOG_TRANSFERRED;
	if (now - copy->missing_since >= KB_COPIES_MISSING_MAX_S * KB_NS_PER_S)
		return KB_COPY_LOG_LOST;
	return KB_COPY_LOG_KEPT;
}

/* Whether a target that was just added is the heir of one that was leaving. */
static int is_heir(const kb_target_entry_t *entry,
		   const kb_departure_t *departure)
{
	return kb_endpoint_equal(&entry->place.endpoint,
				 &departure->endpoint) &&
	       departure->started_at_ms &&
	       entry->started_at_ms > departure->started_at_ms;
}

static void name_heir(kb_copies_t *copies, const kb_target_entry_t *entry)
{
	for (size_t i = 0; i < copies->departures.count; i++) {
		kb_departure_t *departure = &copies->departures.departures[i];

		if (is_heir(entry, departure))
			departure->heir = entry->place.target;
	}
}

static void name_heirs(kb_copies_t *copies, const kb_target_list_t *targets)
{
	for (size_t i = 0; i < copies->count; i++) {
		kb_copy_t *copy = &copies->copies[i];

		if (!copy->is_new)
			continue;
		copy->is_new = 0;
		name_heir(copies, kb_target_list_find(
					  targets, kb_name_str(&copy->target)));
	}
}

/* Keeps the departure of a target that is leaving. */
static void take_departure(kb_departures_t *departures,
			   const kb_target_entry_t *entry)
{
	const kb_name_t *target = &entry->place.target;
	kb_departure_t *departure;

	if (!entry->leaving) {
		kb_departures_remove(departures, target);
		return;
	}
	departure = kb_departures_add(departures, target);
	if (!departure)
		return;
	departure->endpoint = entry->place.endpoint;
	departure->started_at_ms = entry->started_at_ms;
}

static void take_entry(kb_copies_t *copies, const kb_target_entry_t *entry)
{
	kb_copy_t *copy = find(copies, &entry->place.target);
	int is_new = !copy;

	if (is_new)
		copy = add(copies, &entry->place.target);
	if (!copy) {
		copies->departures.truncated = 1;
		return;
	}
	copy->is_new = is_new;
	copy->leaving = entry->leaving;
	copy->missing_since = 0;
	take_departure(&copies->departures, entry);
}

static void log_gone(kb_copies_t *copies, const kb_copy_t *copy, kb_str_t group,
		     kb_time_t now)
{
	kb_log(KB_EVENT_COPY_GONE,
	       "group=%.*s target=%s heir=%s missing_ms=%" PRId64,
	       (int)group.len, group.data, copy->target.data,
	       heir_of(copies, copy)->data,
	       (now - copy->missing_since) / KB_NS_PER_MS);
}

void kb_copies_sync(kb_copies_t *copies, const kb_target_list_t *targets,
		    kb_str_t group, kb_time_t now)
{
	size_t kept = 0;

	for (const kb_target_entry_t *entry =
		     kb_target_list_first(targets, group);
	     entry; entry = kb_target_list_next(entry))
		take_entry(copies, entry);
	name_heirs(copies, targets);
	for (size_t i = 0; i < copies->count; i++) {
		kb_copy_t *copy = &copies->copies[i];

		if (!copy->missing_since &&
		    !kb_target_list_find(targets, kb_name_str(&copy->target)))
			copy->missing_since = now;
		if (locate_log(copies, copy, now) == KB_COPY_LOG_KEPT) {
			copies->copies[kept++] = *copy;
			continue;
		}
		log_gone(copies, copy, group, now);
		kb_departures_remove(&copies->departures, &copy->target);
	}
	copies->count = kept;
}

size_t kb_copies_missing(const kb_copies_t *copies)
{
	size_t missing = 0;

	for (size_t i = 0; i < copies->count; i++)
		missing += copies->copies[i].missing_since != 0;
	return missing;
}

size_t kb_copies_may_lead(const kb_copies_t *copies, kb_time_t now)
{
	kb_time_t past = now - KB_COPIES_UNSEEN_LEADER_S * KB_NS_PER_S;
	size_t count = 0;

	for (size_t i = 0; i < copies->count; i++) {
		const kb_copy_t *copy = &copies->copies[i];

		count += copy->missing_since &&
			 (!copy->leaving || copy->missing_since > past);
	}
	return count;
}

void kb_copies_names(const kb_copies_t *copies, kb_target_names_t *names)
{
	names->count = 0;
	for (size_t i = 0; i < copies->count; i++)
		kb_target_names_add(names, &copies->copies[i].target);
}
