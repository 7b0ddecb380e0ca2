#include "point.h"

#include "str.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

int kb_point_compare(kb_point_t a, kb_point_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	return (a.position > b.position) - (a.position < b.position);
}

void kb_history_append(kb_history_t *history, uint64_t term, uint64_t start)
{
	if (history->count == KB_HISTORY_MAX_TERMS) {
		memmove(&history->entries[0], &history->entries[1],
			sizeof(history->entries[0]) *
				(KB_HISTORY_MAX_TERMS - 1));
		history->count--;
	}
	history->entries[history->count].term = term;
	history->entries[history->count].start = start;
	history->count++;
}

int kb_history_contains(const kb_history_t *history, uint64_t end,
			kb_point_t point)
{
	if (!point.position)
		return 1;
	if (point.position > end || !history->count)
		return 0;
	if (point.term < history->entries[0].term)
		return point.position < history->entries[0].start;
	for (size_t i = 0; i < history->count; i++) {
		const kb_history_entry_t *entry = &history->entries[i];

		if (entry->term != point.term)
			continue;
		if (point.position < entry->start)
			return 0;
		return i + 1 == history->count ||
		       point.position < entry[1].start;
	}
	return 0;
}

kb_result_t kb_history_format(const kb_history_t *history, char *buffer,
			      size_t size)
{
	size_t used = 0;

	if (!size)
		return KB_ERR_TOO_LARGE;
	buffer[0] = 0;
	for (size_t i = 0; i < history->count; i++) {
		int n = snprintf(buffer + used, size - used,
				 "%s%" PRIu64 ":%" PRIu64, i ? "," : "",
				 history->entries[i].term,
				 history->entries[i].start);

		if (n < 0 || (size_t)n >= size - used)
			return KB_ERR_TOO_LARGE;
		used += (size_t)n;
	}
	return KB_OK;
}

static kb_result_t parse_entry(kb_history_t *history, kb_str_t text)
{
	const char *colon = memchr(text.data, ':', text.len);
	uint64_t term, start;
	kb_str_t left, right;

	if (!colon)
		return KB_ERR_INVALID;
	left = (kb_str_t){ text.data, (size_t)(colon - text.data) };
	right = (kb_str_t){ colon + 1, text.len - left.len - 1 };
	if (kb_str_to_u64(left, &term) || kb_str_to_u64(right, &start))
		return KB_ERR_INVALID;
	if (history->count) {
		kb_history_entry_t *last =
			&history->entries[history->count - 1];

		if (term <= last->term || start <= last->start)
			return KB_ERR_INVALID;
	}
	kb_history_append(history, term, start);
	return KB_OK;
}

kb_result_t kb_history_parse(kb_history_t *history, const char *text,
			     size_t len)
{
	const char *end = text + len;

	memset(history, 0, sizeof(*history));
	while (text < end) {
		const char *comma = memchr(text, ',', (size_t)(end - text));
		const char *stop = comma ? comma : end;
		kb_str_t entry = { text, (size_t)(stop - text) };

		if (parse_entry(history, entry))
			return KB_ERR_INVALID;
		if (stop + 1 == end)
			return KB_ERR_INVALID;
		text = comma ? comma + 1 : end;
	}
	return KB_OK;
}
