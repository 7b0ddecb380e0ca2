#ifndef KB_FRESHNESS_H
#define KB_FRESHNESS_H

#include "report.h"

KB_BEGIN_DECLS

/*
 * Computes upper bounds of the age of the data on a group's targets. The answer
 * of the confirmed primary to a probe contains a point that includes all data
 * visible when the probe was sent. The data of a target that has applied this
 * point is at most as old as the probe. Only the host's own monotonic clock is
 * used.
 */

#define KB_FRESHNESS_MAX_SAMPLES 512

/* The end of the confirmed primary's log at or after a time. */
typedef struct kb_freshness_sample {
	/* When the probe was sent. */
	kb_time_t sent;
	/* Last entry of the log in the answer. */
	kb_point_t point;
} kb_freshness_sample_t;

/*
 * Samples of one group, oldest first. If there are too many, they are thinned
 * out so that the gaps grow with the age, which keeps the relative error even.
 */
typedef struct kb_freshness {
	/* Term of the newest sample's primary. */
	uint64_t term;
	size_t count;
	kb_freshness_sample_t samples[KB_FRESHNESS_MAX_SAMPLES];
} kb_freshness_t;

/* Whether a probe's answer became a sample, and if not, why. */
typedef enum kb_freshness_outcome {
	KB_FRESHNESS_ADDED,
	/* The target is not primary or its term was not confirmed. */
	KB_FRESHNESS_UNCONFIRMED,
	/* A primary of a newer term is known. */
	KB_FRESHNESS_OLD_TERM,
	/*
	 * It was sent no later than the newest sample's probe, or it shows an
	 * older point.
	 */
	KB_FRESHNESS_OUT_OF_ORDER,
} kb_freshness_outcome_t;

/* Initializes an empty list of samples. */
void kb_freshness_init(kb_freshness_t *freshness);

/*
 * Adds a sample from the answer to a probe that was sent to a primary at
 * `sent`. `confirmed` is set if a majority of the group, in answers to probes
 * sent no earlier, reported the same term.
 */
kb_freshness_outcome_t kb_freshness_add_sample(kb_freshness_t *freshness,
					       kb_time_t sent,
					       const kb_report_t *report,
					       int confirmed);

/*
 * Returns the latest time for which the target of `report` is known to show all
 * data, or KB_TIME_NEVER if there is none. The result changes only with the
 * report and the samples, so a gate need not compute it for each read.
 */
kb_time_t kb_freshness_as_of(const kb_freshness_t *freshness,
			     const kb_report_t *report);

/* Returns an upper bound of the age of the data, or KB_TIME_NEVER. */
kb_time_t kb_freshness_age(const kb_freshness_t *freshness,
			   const kb_report_t *report, kb_time_t now);

/*
 * Returns non-zero if data as of the time `as_of` is fresh enough at `now`
 * for a read that arrived at `arrival` and accepts `max_age`. Data as of the
 * arrival is always fresh enough.
 */
int kb_freshness_accepts(kb_time_t as_of, kb_time_t max_age, kb_time_t arrival,
			 kb_time_t now);

/* Returns non-zero if reads on the target of `report` see `point`. */
int kb_freshness_includes(const kb_report_t *report, kb_point_t point);

/*
 * Returns the time of the newest sample, at which the primary was last
 * confirmed, or KB_TIME_NEVER.
 */
kb_time_t kb_freshness_confirmed_at(const kb_freshness_t *freshness);

KB_END_DECLS

#endif
