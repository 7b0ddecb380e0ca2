#include "entry_log.h"

#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY_ENTRIES = 256, FIRST_CAPACITY_TERMS = 16 };

st_change_t *st_change_create(kb_str_t table, kb_str_t id)
{
	st_change_t *change = calloc(1, sizeof(*change));

	if (!change)
		return NULL;
	if (st_text_init(&change->table, table) ||
	    st_text_init(&change->id, id)) {
		st_change_free(change);
		return NULL;
	}
	return change;
}

void st_change_free(st_change_t *change)
{
	if (!change)
		return;
	st_text_finish(&change->table);
	st_text_finish(&change->id);
	st_text_finish(&change->body);
	st_text_finish(&change->old);
	free(change);
}

st_entry_t *st_entry_create(uint64_t term, size_t count)
{
	st_entry_t *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	entry->term = term;
	entry->changes = calloc(count ? count : 1, sizeof(st_change_t *));
	if (!entry->changes) {
		free(entry);
		return NULL;
	}
	return entry;
}

void st_entry_free(st_entry_t *entry)
{
	if (!entry)
		return;
	for (size_t i = 0; i < entry->count; i++)
		st_change_free(entry->changes[i]);
	free(entry->changes);
	free(entry);
}

void st_log_init(st_log_t *log)
{
	memset(log, 0, sizeof(*log));
}

void st_log_finish(st_log_t *log)
{
	st_log_truncate(log, 0);
	free(log->entries);
	free(log->terms);
}

static kb_result_t reserve_entry(st_log_t *log)
{
	size_t capacity =
		log->capacity ? log->capacity * 2 : FIRST_CAPACITY_ENTRIES;
	st_entry_t **entries;

	if (log->count < log->capacity)
		return KB_OK;
	entries = realloc(log->entries, capacity * sizeof(st_entry_t *));
	if (!entries)
		return KB_ERR_NO_MEMORY;
	log->entries = entries;
	log->capacity = capacity;
	return KB_OK;
}

static kb_result_t add_term(st_log_t *log, uint64_t term, uint64_t start)
{
	size_t capacity = log->term_capacity ? log->term_capacity * 2
					     : FIRST_CAPACITY_TERMS;
	kb_history_entry_t *terms;

	if (log->term_count == log->term_capacity) {
		terms = realloc(log->terms, capacity * sizeof(*terms));
		if (!terms)
			return KB_ERR_NO_MEMORY;
		log->terms = terms;
		log->term_capacity = capacity;
	}
	log->terms[log->term_count].term = term;
	log->terms[log->term_count].start = start;
	log->term_count++;
	return KB_OK;
}

kb_result_t st_log_append(st_log_t *log, st_entry_t *entry)
{
	uint64_t position = log->count + 1;

	if (reserve_entry(log))
		return KB_ERR_NO_MEMORY;
	if (!log->term_count ||
	    log->terms[log->term_count - 1].term != entry->term)
		if (add_term(log, entry->term, position))
			return KB_ERR_NO_MEMORY;
	log->entries[log->count++] = entry;
	return KB_OK;
}

void st_log_truncate(st_log_t *log, uint64_t position)
{
	while (log->count > position)
		st_entry_free(log->entries[--log->count]);
	while (log->term_count &&
	       log->terms[log->term_count - 1].start > position)
		log->term_count--;
}

st_entry_t *st_log_at(const st_log_t *log, uint64_t position)
{
	return log->entries[position - 1];
}

kb_point_t st_log_point(const st_log_t *log, uint64_t position)
{
	kb_point_t point = { 0, position };

	if (position)
		point.term = st_log_at(log, position)->term;
	return point;
}

void st_log_history(const st_log_t *log, kb_history_t *history)
{
	size_t first = log->term_count > KB_HISTORY_MAX_TERMS
			       ? log->term_count - KB_HISTORY_MAX_TERMS
			       : 0;

	history->count = log->term_count - first;
	for (size_t i = 0; i < history->count; i++)
		history->entries[i] = log->terms[first + i];
}

static uint64_t term_end(const kb_history_entry_t *terms, size_t count,
			 size_t i, uint64_t last)
{
	return i + 1 < count ? terms[i + 1].start - 1 : last;
}

uint64_t st_log_common_position(const st_log_t *log,
				const kb_history_entry_t *terms,
				size_t term_count, uint64_t last)
{
	uint64_t common = 0;

	for (size_t i = 0; i < term_count && i < log->term_count; i++) {
		uint64_t ours =
			term_end(log->terms, log->term_count, i, log->count);
		uint64_t theirs = term_end(terms, term_count, i, last);

		if (log->terms[i].term != terms[i].term ||
		    log->terms[i].start != terms[i].start)
			break;
		common = ours < theirs ? ours : theirs;
		if (ours != theirs)
			break;
	}
	return common;
}
