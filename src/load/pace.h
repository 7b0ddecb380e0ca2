#ifndef KB_PACE_H
#define KB_PACE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Finds from a target's answers how many statements it can have in flight. The
 * window starts small after a start, a loss or a silence and grows with each
 * answer up to the limit that the caller gives. It shrinks if the target
 * rejects statements, or if they only queue there.
 */

typedef enum kb_pace_state {
	/* No connection is established. */
	KB_PACE_DOWN,
	/* One statement at a time, until one succeeds. */
	KB_PACE_PROBING,
	/* The window grows with each answer. */
	KB_PACE_RISING,
	/* The caller's limit is in force. */
	KB_PACE_FULL,
	/* The target had no room for more; more is tried from time to time. */
	KB_PACE_HELD,
} kb_pace_state_t;

/* What was known when a statement was sent; given back with its end. */
typedef struct kb_pace_mark {
	/* Statements that were in flight before it. */
	unsigned ahead;
	/* Number of answers and of changes of the window until then. */
	uint64_t answers;
	uint64_t change;
} kb_pace_mark_t;

/* A number of answers that are judged together. */
typedef struct kb_pace_round {
	/* Statements sent earlier do not count. */
	uint64_t began;
	unsigned answers;
	unsigned rejected;
	/* Time and number of its first answer. */
	kb_time_t first_at;
	uint64_t first_answer;
	kb_time_t total;
	/* Largest number of statements seen to run concurrently. */
	unsigned parallel;
} kb_pace_round_t;

typedef struct kb_pace {
	/* If not set, the caller's limit is always in force. */
	int enabled;
	kb_pace_state_t state;
	/* Statements that the target reports to run concurrently. */
	unsigned slots;
	/* Statements that may be in flight, unless the state is FULL. */
	unsigned window;
	uint64_t answers;
	/* Reductions of the window, and those for which it was cut anew. */
	uint64_t changes;
	uint64_t cuts;
	/* Rejections weigh more than answers; the window is cut at a bound. */
	unsigned strikes;
	/* Consecutive rejections. */
	unsigned failures;
	/* Cuts in a row for rejections, and the last one. */
	unsigned useless_cuts;
	kb_time_t cut_at;
	/* Rejections come whatever the window, so it is not cut for them. */
	int regardless;
	/* While HELD: when one more is tried, and whether it is being tried. */
	kb_time_t held_until;
	kb_time_t hold;
	int trying;
	/* Mean time of an answer that did not queue at the target. */
	kb_time_t unqueued;
	/* The last cut was for slow answers, and is not confirmed yet. */
	int cut_for_delay;
	int confirming;
	/* Mean time between two answers with the window that it was cut to. */
	kb_time_t held_interval;
	/* While PROBING: rejected attempts, and the time of the next one. */
	unsigned probes;
	kb_time_t probe_at;
	kb_pace_round_t round;
} kb_pace_t;

void kb_pace_init(kb_pace_t *pace, int enabled);

/* Sets the reported slots. `moved`: the target is another one than before. */
void kb_pace_bind(kb_pace_t *pace, unsigned slots, int moved);

/*
 * Returns the number of statements that may be in flight, at most `limit`, the
 * number for a target that is known to be well.
 */
unsigned kb_pace_limit(kb_pace_t *pace, unsigned limit, kb_time_t now);

/* Returns when the limit may have changed without an event, or NEVER. */
kb_time_t kb_pace_next(const kb_pace_t *pace, kb_time_t now);

/* Returns the slots that the target seems to have, at most those reported. */
unsigned kb_pace_slots(const kb_pace_t *pace, unsigned reported);

/* Returns the mark of a statement sent beside `ahead` others. */
kb_pace_mark_t kb_pace_on_sent(const kb_pace_t *pace, unsigned ahead);

/* A connection was opened. */
void kb_pace_on_opened(kb_pace_t *pace);

/* A statement was answered after `took`; `result` is not OVERLOADED. */
void kb_pace_on_answered(kb_pace_t *pace, const kb_pace_mark_t *mark,
			 kb_time_t took, kb_result_t result, kb_time_t now);

/* The target rejected a statement as overloaded. */
void kb_pace_on_rejected(kb_pace_t *pace, const kb_pace_mark_t *mark,
			 kb_time_t now);

/* A statement's answer timed out. */
void kb_pace_on_silent(kb_pace_t *pace, const kb_pace_mark_t *mark);

/* A connection was lost; `established` others remain. */
void kb_pace_on_lost(kb_pace_t *pace, unsigned established);

/* Returns the name of a state for logs. */
const char *kb_pace_state_name(kb_pace_state_t state);

KB_END_DECLS

#endif
