#ifndef KB_HOLD_INTERNAL_H
#define KB_HOLD_INTERNAL_H

#include "hold.h"

KB_BEGIN_DECLS

enum {
	/* An unanswered call is repeated after this time. */
	KB_HOLD_CALL_TIMEOUT_MS = 600,
};

/* Functions shared by the source files of the lease. */

int kb_hold_names_equal(const kb_name_t *a, const kb_name_t *b);
int kb_hold_set_has(const kb_hold_set_t *set, const kb_name_t *host);

/* Whether the key names this host. */
int kb_hold_names_self(const kb_hold_t *hold);
void kb_hold_set_role(kb_hold_t *hold, kb_hold_role_t role);

/*
 * Returns the send time of the newest renewal that a majority of `set` granted,
 * where this host grants its own. 0 if there is none, KB_TIME_NEVER if this
 * host alone is a majority.
 */
kb_time_t kb_hold_majority_time(const kb_hold_t *hold,
				const kb_hold_set_t *set);

/*
 * Rebuilds the table of voters that are sent renewals: those of the record, of
 * a pending change of voters and, while waiting, the former ones.
 */
void kb_hold_set_grants(kb_hold_t *hold);

/*
 * Gives up the lease after the key has come to name another host. An
 * unanswered write of this host was conditioned on an earlier revision, so it
 * has been overwritten or will fail.
 */
void kb_hold_lose(kb_hold_t *hold);

void kb_hold_begin_read(kb_hold_t *hold, kb_time_t now);
/* Writes `wanted`, conditioned on the known revision. */
void kb_hold_begin_write(kb_hold_t *hold, kb_time_t now);

KB_END_DECLS

#endif
