#include "history.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY = 1024 };

void kl_history_init(kl_history_t *history, uint64_t tag)
{
	memset(history, 0, sizeof(*history));
	history->tag = tag;
}

void kl_history_finish(kl_history_t *history)
{
	free(history->writes);
	free(history->parts);
}

static kb_result_t grow(void **items, size_t *capacity, size_t count,
			size_t size)
{
	size_t wanted = *capacity ? *capacity * 2 : FIRST_CAPACITY;
	void *moved;

	if (count < *capacity)
		return KB_OK;
	moved = realloc(*items, wanted * size);
	if (!moved)
		return KB_ERR_NO_MEMORY;
	*items = moved;
	*capacity = wanted;
	return KB_OK;
}

static kb_result_t add_write(kl_history_t *history, const kl_write_t *write,
			     size_t *index)
{
	if (grow((void **)&history->writes, &history->write_capacity,
		 history->write_count, sizeof(kl_write_t)))
		return KB_ERR_NO_MEMORY;
	*index = history->write_count++;
	history->writes[*index] = *write;
	return KB_OK;
}

kb_result_t kl_history_add_insert(kl_history_t *history, unsigned table,
				  size_t *write)
{
	kl_write_t insert = { .kind = KL_WRITE_INSERT, .table = table };

	return add_write(history, &insert, write);
}

kb_result_t kl_history_add_part(kl_history_t *history, size_t *part)
{
	if (grow((void **)&history->parts, &history->part_capacity,
		 history->part_count, sizeof(kl_part_t)))
		return KB_ERR_NO_MEMORY;
	*part = history->part_count++;
	history->parts[*part].created = 0;
	history->parts[*part].last_take = KL_NO_WRITE;
	return KB_OK;
}

kb_result_t kl_history_add_take(kl_history_t *history, size_t part,
				size_t *write)
{
	kl_write_t take = { .kind = KL_WRITE_TAKE,
			    .part = part,
			    .previous_take = history->parts[part].last_take };

	if (add_write(history, &take, write))
		return KB_ERR_NO_MEMORY;
	history->parts[part].last_take = *write;
	return KB_OK;
}

void kl_history_body(const kl_history_t *history, size_t write,
		     char text[KL_TEXT_BYTES])
{
	snprintf(text, KL_TEXT_BYTES, "w%016" PRIx64 "-%zu", history->tag,
		 write);
}

void kl_history_part_id(const kl_history_t *history, size_t part,
			char text[KL_TEXT_BYTES])
{
	snprintf(text, KL_TEXT_BYTES, "p%016" PRIx64 "-%zu", history->tag,
		 part);
}

void kl_history_record_answer(kl_history_t *history, size_t write,
			      kb_outcome_t outcome, int64_t affected,
			      kb_time_t now)
{
	kl_write_t *w = &history->writes[write];

	if (outcome == KB_OUTCOME_NOT_RUN)
		w->not_run++;
	if (outcome == KB_OUTCOME_UNKNOWN)
		w->unknown++;
	if (outcome != KB_OUTCOME_DONE || w->acknowledged)
		return;
	w->acknowledged = 1;
	w->acknowledged_at = now;
	w->affected = affected;
}

void kl_history_record_part(kl_history_t *history, size_t part)
{
	history->parts[part].created = 1;
}

void kl_history_add_note(kl_history_t *history, const char *format, ...)
{
	va_list args;

	if (history->note_count == KL_NOTES_MAX)
		return;
	va_start(args, format);
	vsnprintf(history->notes[history->note_count++], KL_NOTE_BYTES, format,
		  args);
	va_end(args);
}

__attribute__((format(printf, 3, 4))) static void
record_violation(kl_history_t *history, uint64_t *counter, const char *format,
		 ...)
{
	va_list args;

	++*counter;
	if (history->note_count == KL_NOTES_MAX)
		return;
	va_start(args, format);
	vsnprintf(history->notes[history->note_count++], KL_NOTE_BYTES, format,
		  args);
	va_end(args);
}

/* A current read (maximum age 0) may be as old as its own duration. */
static int is_too_old(const kl_read_t *read)
{
	kb_time_t allowed =
		read->max_age ? read->max_age : read->finished - read->started;

	/* Ages are rounded up to whole milliseconds. */
	return read->age_ms > 0 && (read->age_ms - 1) * KB_NS_PER_MS >= allowed;
}

static int must_return_row(const kl_read_t *read, const kl_write_t *write)
{
	kb_time_t reach = read->own ? 0 : read->max_age;

	return write->acknowledged && write->affected > 0 &&
	       write->acknowledged_at + reach <= read->started;
}

void kl_history_check_read(kl_history_t *history, const kl_read_t *read)
{
	char body[KL_TEXT_BYTES];

	if (is_too_old(read))
		record_violation(history, &history->violations.stale,
				 "stale: an answer states an age of %" PRId64
				 " ms where %" PRId64 " ms are accepted",
				 read->age_ms, read->max_age / KB_NS_PER_MS);
	if (read->write == KL_NO_WRITE || read->rows ||
	    !must_return_row(read, &history->writes[read->write]))
		return;
	kl_history_body(history, read->write, body);
	record_violation(
		history, &history->violations.stale,
		"stale: %s, acknowledged %" PRId64
		" ms before the read, is missing from %s",
		body,
		(read->started - history->writes[read->write].acknowledged_at) /
			KB_NS_PER_MS,
		read->own ? "a read of its own session"
			  : "a read of another session");
}

/* Every response to the write said that it did not run. */
static int was_reported_not_run(const kl_write_t *write)
{
	return write->not_run && !write->unknown && !write->acknowledged;
}

void kl_history_check_insert(kl_history_t *history, size_t write, size_t rows)
{
	const kl_write_t *w = &history->writes[write];
	char body[KL_TEXT_BYTES];

	kl_history_body(history, write, body);
	if (w->acknowledged && !rows)
		record_violation(history, &history->violations.lost,
				 "lost: %s was acknowledged and is missing",
				 body);
	if (rows > 1)
		record_violation(history, &history->violations.doubled,
				 "doubled: %s is present %zu times", body,
				 rows);
	if (was_reported_not_run(w) && rows)
		record_violation(history, &history->violations.wrong_not_run,
				 "wrong not run: %s was reported as not run %u "
				 "times and is present",
				 body, w->not_run);
}

static int has_won(const kl_write_t *write)
{
	return write->acknowledged && write->affected > 0;
}

/* Checks the take whose body the part contains. */
static void check_holder(kl_history_t *history, size_t write)
{
	const kl_write_t *w = &history->writes[write];
	char body[KL_TEXT_BYTES];

	kl_history_body(history, write, body);
	if (was_reported_not_run(w))
		record_violation(
			history, &history->violations.wrong_not_run,
			"wrong not run: %s was reported as not run %u times "
			"and holds its part",
			body, w->not_run);
	if (w->acknowledged && !w->affected)
		record_violation(
			history, &history->violations.wrong_not_run,
			"wrong not run: %s was reported to change nothing and "
			"holds its part",
			body);
}

void kl_history_check_part(kl_history_t *history, size_t part, const char *body)
{
	size_t winners = 0;
	char id[KL_TEXT_BYTES];
	char own[KL_TEXT_BYTES];

	kl_history_part_id(history, part, id);
	if (!body && history->parts[part].created)
		record_violation(
			history, &history->violations.lost,
			"lost: part %s was acknowledged and is missing", id);
	for (size_t i = history->parts[part].last_take; i != KL_NO_WRITE;
	     i = history->writes[i].previous_take) {
		int holds;

		kl_history_body(history, i, own);
		holds = body && !strcmp(body, own);
		if (holds)
			check_holder(history, i);
		if (!has_won(&history->writes[i]))
			continue;
		winners++;
		if (!holds)
			record_violation(
				history, &history->violations.lost,
				"lost: %s won part %s, which contains %s", own,
				id, body ? body : "nothing");
	}
	if (winners > 1)
		record_violation(history, &history->violations.doubled,
				 "doubled: %zu takes won part %s", winners, id);
}

uint64_t kl_violations_total(const kl_violations_t *violations)
{
	return violations->lost + violations->doubled + violations->stale +
	       violations->wrong_not_run;
}
