#ifndef KB_FRESHNESS_H
#define KB_FRESHNESS_H

#include "report.h"

KB_BEGIN_DECLS

/*
 * Bounds the age of the data on a group's targets. A probe of the confirmed
 * primary shows a point that includes all data visible when the probe was
 * sent; a target that has applied this point is at most as old as the time
 * since then. Only the host's own monotonic clock is used.
 */

#define KB_FRESHNESS_MAX_SAMPLES 512

/* The log of the confirmed primary at or after a time. */
typedef struct kb_freshness_sample {
	/* When the probe was sent. */
	kb_time_t sent;
	/* Last entry of the log in the answer. */
	kb_point_t point;
} kb_freshness_sample_t;

/*
 * Samples of one group, oldest first. If there are too many, they are thinned
 * so that the gaps grow with the age, which keeps the relative error even.
 */
typedef struct kb_freshness {
	/* Term of the newest sample's primary. */
	uint64_t term;
	size_t count;
	kb_freshness_sample_t samples[KB_FRESHNESS_MAX_SAMPLES];
} kb_freshness_t;

/* Why a probe's answer gave a sample or not. */
typedef enum kb_freshness_outcome {
	KB_FRESHNESS_ADDED,
	/* The target is not primary or its term was not confirmed. */
	KB_FRESHNESS_UNCONFIRMED,
	/* A primary of a newer term is known. */
	KB_FRESHNESS_OLD_TERM,
	/* The answer to a probe that was sent later came first. */
	KB_FRESHNESS_OUT_OF_ORDER,
} kb_freshness_outcome_t;

/* Forgets all samples. */
void kb_freshness_init(kb_freshness_t *freshness);

/*
 * Takes the answer to a probe that was sent to a primary at `sent`.
 * `confirmed` tells that answers to probes sent no earlier than that show a
 * majority of the group in the report's term.
 */
kb_freshness_outcome_t kb_freshness_add_sample(kb_freshness_t *freshness,
					       kb_time_t sent,
					       const kb_report_t *report,
					       int confirmed);

/*
 * Returns the latest time whose data the target of `report` certainly shows,
 * or KB_TIME_NEVER if none is known. It changes only with the report and the
 * samples, so that a gate need not work it out for each read.
 */
kb_time_t kb_freshness_as_of(const kb_freshness_t *freshness,
			     const kb_report_t *report);

/* Returns an upper bound of the age of the data, or KB_TIME_NEVER. */
kb_time_t kb_freshness_age(const kb_freshness_t *freshness,
			   const kb_report_t *report, kb_time_t now);

/*
 * Returns non-zero if data that was `reached` is acceptable `now` to a read
 * that arrived at `arrival` and accepts `max_age`. Data as of the arrival is
 * always acceptable.
 */
int kb_freshness_accepts(kb_time_t reached, kb_time_t max_age,
			 kb_time_t arrival, kb_time_t now);

/* Returns non-zero if reads on the target of `report` see `point`. */
int kb_freshness_includes(const kb_report_t *report, kb_point_t point);

/* Returns when the primary was last known confirmed, or KB_TIME_NEVER. */
kb_time_t kb_freshness_confirmed_at(const kb_freshness_t *freshness);

KB_END_DECLS

#endif
