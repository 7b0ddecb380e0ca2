#ifndef KB_FRESHNESS_SAMPLER_H
#define KB_FRESHNESS_SAMPLER_H

#include "freshness.h"
#include "group.h"

KB_BEGIN_DECLS

/*
 * Takes the probe answers of all targets of a group and feeds a
 * kb_freshness_t: a report of a primary becomes a sample once answers to
 * probes that were sent no earlier show a majority in its term.
 */

/* Reports of primaries that wait for a majority. */
#define KB_FRESHNESS_SAMPLER_MAX_PENDING 16

/* What a target last showed. */
typedef struct kb_freshness_sampler_target {
	/* When the probe was sent, or KB_TIME_NEVER before the first answer. */
	kb_time_t sent;
	uint64_t term;
} kb_freshness_sampler_target_t;

/* A report that is not confirmed yet. */
typedef struct kb_freshness_sampler_pending {
	kb_time_t sent;
	kb_report_t report;
} kb_freshness_sampler_pending_t;

typedef struct kb_freshness_sampler {
	kb_freshness_t freshness;
	size_t target_count;
	kb_freshness_sampler_target_t seen[KB_GROUP_MAX_TARGETS];
	/* Oldest first. */
	size_t pending_count;
	kb_freshness_sampler_pending_t
		pending[KB_FRESHNESS_SAMPLER_MAX_PENDING];
} kb_freshness_sampler_t;

/* `target_count` is at most KB_GROUP_MAX_TARGETS. */
void kb_freshness_sampler_init(kb_freshness_sampler_t *sampler,
			       size_t target_count);

/*
 * Takes the answer of target number `target` to a probe sent at `sent`.
 * Returns the number of samples that were taken.
 */
size_t kb_freshness_sampler_on_reply(kb_freshness_sampler_t *sampler,
				     size_t target, kb_time_t sent,
				     const kb_report_t *report);

KB_END_DECLS

#endif
