#include "copies.h"

#include "log.h"

#include <inttypes.h>

static kb_copy_t *find(kb_copies_t *copies, const kb_name_t *target)
{
	for (size_t i = 0; i < copies->count; i++)
		if (kb_name_is(&copies->copies[i].last.target,
			       kb_name_str(target)))
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
	copy->last.target = *target;
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
			copies->truncated = 1;
	}
}

void kb_copies_add_departures(kb_copies_t *copies,
			      const kb_departures_t *departures)
{
	copies->truncated |= departures->truncated;
	for (size_t i = 0; i < departures->count; i++) {
		const kb_departure_t *departure = &departures->departures[i];
		kb_copy_t *copy = find(copies, &departure->target);

		if (!copy)
			continue;
		copy->last = *departure;
		copy->leaving = 1;
	}
}

static kb_copy_log_t locate_log(const kb_copy_t *copy, kb_time_t now)
{
	if (!copy->missing_since)
		return KB_COPY_LOG_KEPT;
	if (copy->last.heir.len)
		return KB_COPY_LOG_TRANSFERRED;
	if (copy->is_superseded)
		return KB_COPY_LOG_SUPERSEDED;
	if (now - copy->missing_since >= KB_COPIES_MISSING_MAX_S * KB_NS_PER_S)
		return KB_COPY_LOG_LOST;
	return KB_COPY_LOG_KEPT;
}

/* Whether a copy that was just added is the heir of one that was leaving. */
static int is_heir(const kb_copy_t *heir, const kb_copy_t *copy)
{
	return heir != copy && heir->is_new && copy->leaving &&
	       copy->last.started_at_ms &&
	       kb_endpoint_equal(&heir->last.endpoint, &copy->last.endpoint) &&
	       heir->last.started_at_ms > copy->last.started_at_ms;
}

static void name_heirs(kb_copies_t *copies)
{
	for (size_t i = 0; i < copies->count; i++)
		for (size_t j = 0; j < copies->count; j++)
			if (is_heir(&copies->copies[j], &copies->copies[i]))
				copies->copies[i].last.heir =
					copies->copies[j].last.target;
	for (size_t i = 0; i < copies->count; i++)
		copies->copies[i].is_new = 0;
}

/* Takes the entry of a target, which it may have changed. */
static void take_entry(kb_copies_t *copies, const kb_target_entry_t *entry)
{
	int is_new = !find(copies, &entry->place.target);
	kb_copy_t *copy = add(copies, &entry->place.target);

	if (!copy) {
		copies->truncated = 1;
		return;
	}
	copy->is_new = is_new;
	copy->leaving = entry->leaving;
	copy->missing_since = 0;
	copy->is_superseded = 0;
	copy->last.endpoint = entry->place.endpoint;
	copy->last.started_at_ms = entry->started_at_ms;
	if (!entry->leaving)
		copy->last.heir.len = 0;
}

static void log_gone(const kb_copy_t *copy, kb_str_t group, kb_time_t now)
{
	kb_log(KB_EVENT_COPY_GONE,
	       "group=%.*s target=%s heir=%s superseded=%d"
	       " missing_ms=%" PRId64,
	       (int)group.len, group.data, copy->last.target.data,
	       copy->last.heir.data, copy->is_superseded,
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
	name_heirs(copies);
	for (size_t i = 0; i < copies->count; i++) {
		kb_copy_t *copy = &copies->copies[i];

		if (!copy->missing_since &&
		    !kb_target_list_find(targets,
					 kb_name_str(&copy->last.target)))
			copy->missing_since = now;
		if (locate_log(copy, now) == KB_COPY_LOG_KEPT)
			copies->copies[kept++] = *copy;
		else
			log_gone(copy, group, now);
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

int kb_copies_have_departed(const kb_copies_t *copies)
{
	for (size_t i = 0; i < copies->count; i++)
		if (copies->copies[i].leaving &&
		    copies->copies[i].missing_since)
			return 1;
	return 0;
}

void kb_copies_supersede(kb_copies_t *copies, kb_time_t since)
{
	for (size_t i = 0; i < copies->count; i++) {
		kb_copy_t *copy = &copies->copies[i];

		if (copy->leaving && copy->missing_since &&
		    copy->missing_since <= since)
			copy->is_superseded = 1;
	}
}

void kb_copies_names(const kb_copies_t *copies, kb_target_names_t *names)
{
	names->count = 0;
	for (size_t i = 0; i < copies->count; i++)
		kb_target_names_add(names, &copies->copies[i].last.target);
}

void kb_copies_departures(const kb_copies_t *copies,
			  kb_departures_t *departures)
{
	departures->count = 0;
	departures->truncated = copies->truncated;
	for (size_t i = 0; i < copies->count; i++)
		if (copies->copies[i].leaving)
			departures->departures[departures->count++] =
				copies->copies[i].last;
}
