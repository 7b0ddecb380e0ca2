#ifndef FAKE_TARGET_H
#define FAKE_TARGET_H

#include "group.h"
#include "report.h"

KB_BEGIN_DECLS

#define FAKE_NO_TARGET SIZE_MAX

/* An entry of a target's log; `write` is 0 for the start of a term. */
typedef struct fake_entry {
	uint64_t term;
	uint64_t write;
} fake_entry_t;

/* Simulates a target's terms, roles and log, without SQL. */
typedef struct fake_target {
	int up;
	/* While down, probes are refused rather than lost. */
	int refuses;
	uint64_t term;
	kb_role_t role;
	/* Promoter that fenced it, and the term of that fence. */
	uint64_t promoter;
	uint64_t fenced_term;
	/* Primary that it follows, or FAKE_NO_TARGET. */
	size_t following;
	fake_entry_t *log;
	size_t count, capacity;
	kb_history_t history;
} fake_target_t;

/* Initializes a target with an empty log. */
void fake_target_init(fake_target_t *target);

/* Frees its log. */
void fake_target_finish(fake_target_t *target);

/* Fills in the answer to a probe. */
void fake_target_report(const fake_target_t *target, kb_report_t *report);

/* Carry out commands; return non-zero if granted. */
int fake_target_fence(fake_target_t *target, uint64_t term, uint64_t promoter);
int fake_target_promote(fake_target_t *target, uint64_t term,
			uint64_t promoter);
int fake_target_follow(fake_target_t *target, uint64_t term, size_t primary);

/* Commits a write; returns its position, or 0 on a replica. */
uint64_t fake_target_commit(fake_target_t *target, uint64_t write);

/* Returns the length of the common prefix of both logs. */
size_t fake_target_common_prefix(const fake_target_t *a,
				 const fake_target_t *b);

/* Replaces all entries after the first `keep`. */
void fake_target_replace_suffix(fake_target_t *target, size_t keep,
				const fake_entry_t *entries, size_t count);

KB_END_DECLS

#endif
