#ifndef KB_PACE_INTERNAL_H
#define KB_PACE_INTERNAL_H

#include "pace.h"

KB_BEGIN_DECLS

/* Shared by pace.c and pace_round.c. */

/* Returns the window of a target that answers but is not known to be well. */
unsigned kb_pace_half(const kb_pace_t *pace);

/* Forgets the answers of the present round. */
void kb_pace_begin_round(kb_pace_t *pace);

/* Reduces the window; more is tried after a time. */
void kb_pace_hold(kb_pace_t *pace, unsigned window, kb_time_t now);

/* Raises the window; from the reported slots on, the state is FULL. */
void kb_pace_rise(kb_pace_t *pace, unsigned window);

/*
 * Adds an answer to the round if the window was in full use. The end of a round
 * may change the window.
 */
void kb_pace_add_to_round(kb_pace_t *pace, const kb_pace_mark_t *mark,
			  kb_time_t took, kb_time_t now);

KB_END_DECLS

#endif
