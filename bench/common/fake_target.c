#include "fake_target.h"

#include <stdlib.h>

void fake_target_init(fake_target_t *target)
{
	memset(target, 0, sizeof(*target));
	target->up = 1;
	target->following = FAKE_NO_TARGET;
}

void fake_target_finish(fake_target_t *target)
{
	free(target->log);
	target->log = NULL;
}

void fake_target_report(const fake_target_t *target, kb_report_t *report)
{
	memset(report, 0, sizeof(*report));
	report->term = target->term;
	report->role = target->role;
	report->received = report->applied = target->count;
	report->history = target->history;
}

static void append(fake_target_t *target, fake_entry_t entry)
{
	if (target->count == target->capacity) {
		size_t capacity = target->capacity ? 2 * target->capacity : 64;
		fake_entry_t *log =
			realloc(target->log, capacity * sizeof(*log));

		if (!log)
			abort();
		target->log = log;
		target->capacity = capacity;
	}
	target->log[target->count++] = entry;
	if (!target->history.count ||
	    target->history.entries[target->history.count - 1].term !=
		    entry.term)
		kb_history_append(&target->history, entry.term, target->count);
}

int fake_target_fence(fake_target_t *target, uint64_t term, uint64_t promoter)
{
	if (target->term > term)
		return 0;
	if (target->term == term &&
	    (target->fenced_term != term || target->promoter != promoter))
		return 0;
	target->term = term;
	target->fenced_term = term;
	target->promoter = promoter;
	target->role = KB_ROLE_REPLICA;
	target->following = FAKE_NO_TARGET;
	return 1;
}

int fake_target_promote(fake_target_t *target, uint64_t term, uint64_t promoter)
{
	if (target->term != term || target->fenced_term != term ||
	    target->promoter != promoter)
		return 0;
	if (target->role == KB_ROLE_PRIMARY)
		return 1;
	target->role = KB_ROLE_PRIMARY;
	target->following = FAKE_NO_TARGET;
	append(target, (fake_entry_t){ term, 0 });
	return 1;
}

int fake_target_follow(fake_target_t *target, uint64_t term, size_t primary)
{
	if (target->term > term ||
	    (target->term == term && target->role == KB_ROLE_PRIMARY))
		return 0;
	target->term = term;
	target->role = KB_ROLE_REPLICA;
	target->following = primary;
	return 1;
}

uint64_t fake_target_commit(fake_target_t *target, uint64_t write)
{
	if (target->role != KB_ROLE_PRIMARY)
		return 0;
	append(target, (fake_entry_t){ target->term, write });
	return target->count;
}

size_t fake_target_common_prefix(const fake_target_t *a, const fake_target_t *b)
{
	size_t n = a->count < b->count ? a->count : b->count;

	/* A term has one primary, so logs with an equal entry are equal
	 * up to it. */
	while (n && (a->log[n - 1].term != b->log[n - 1].term ||
		     a->log[n - 1].write != b->log[n - 1].write))
		n--;
	return n;
}

void fake_target_replace_suffix(fake_target_t *target, size_t keep,
				const fake_entry_t *entries, size_t count)
{
	if (keep < target->count) {
		size_t end = target->count = keep;

		memset(&target->history, 0, sizeof(target->history));
		target->count = 0;
		for (size_t i = 0; i < end; i++)
			append(target, target->log[i]);
	}
	for (size_t i = 0; i < count; i++)
		append(target, entries[i]);
}
