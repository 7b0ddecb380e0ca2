#ifndef KB_READ_CHECK_H
#define KB_READ_CHECK_H

#include "freshness.h"

KB_BEGIN_DECLS

/*
 * A gate's decision whether its target may serve a read, from what the gate
 * can prove. It is asked when the read arrives, again when the read gets its
 * slot, and while the read waits, whenever a probe was answered.
 */

/* Longest time that a read waits for a replica to become fresh enough. */
#define KB_READ_CHECK_WAIT_MS 25

/* Longest time that a read waits for the primary to be confirmed. */
#define KB_READ_CHECK_PRIMARY_WAIT_MS 500

typedef enum kb_read_verdict {
	/* Run the read now. */
	KB_READ_SERVE,
	/*
	 * Probe the own target, and if it is the primary the whole group, once
	 * for all reads; then ask again.
	 */
	KB_READ_REFRESH,
	/* Ask again after each probe answer and at `wait_until`. */
	KB_READ_WAIT,
	/* Refuse with KB_ERR_NOT_FRESH; it has not run. */
	KB_READ_REFUSE,
} kb_read_verdict_t;

/* One read at the gate of a target. Fill in the public part, zero the rest. */
typedef struct kb_read_check {
	/* Public. */
	kb_time_t arrival;
	kb_time_t deadline;
	/* Greatest age of the data; 0 asks for data as of the arrival. */
	kb_time_t max_age;
	/* Point that the read must see. */
	kb_point_t point;
	/* Set by kb_read_check() with KB_READ_WAIT; 0 before. */
	kb_time_t wait_until;
} kb_read_check_t;

/* What a gate knows of its own target. */
typedef struct kb_read_state {
	const kb_report_t *report;
	/* When the probe was sent that gave the report. */
	kb_time_t reported_at;
	/* kb_freshness_as_of() of the report. */
	kb_time_t reached;
} kb_read_state_t;

kb_read_verdict_t kb_read_check(kb_read_check_t *check,
				const kb_read_state_t *state, kb_time_t now);

KB_END_DECLS

#endif
