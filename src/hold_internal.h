#ifndef KB_HOLD_INTERNAL_H
#define KB_HOLD_INTERNAL_H

#include "hold.h"

KB_BEGIN_DECLS

enum {
	/* Calls without an answer are repeated after this time. */
	KB_HOLD_CALL_TIMEOUT_MS = 600,
};

/* Parts of a hold that what it is told and what it does by time share. */

int kb_hold_names_equal(const kb_name_t *a, const kb_name_t *b);
int kb_hold_set_has(const kb_hold_set_t *set, const kb_name_t *host);

/* Whether the key names this host. */
int kb_hold_names_self(const kb_hold_t *hold);
void kb_hold_set_role(kb_hold_t *hold, kb_hold_role_t role);

/*
 * Sending of the newest renewal that a majority of `set` granted, this host
 * counted; 0 if there is none, KB_TIME_NEVER if this host is a majority.
 */
kb_time_t kb_hold_majority_time(const kb_hold_t *hold,
				const kb_hold_set_t *set);

/* Asks the candidates of the record, of a rewrite, and the former ones. */
void kb_hold_set_grants(kb_hold_t *hold);

/*
 * The key names another host now. A write of this host that has no answer yet
 * was on an earlier revision: it has been replaced or cannot take effect.
 */
void kb_hold_lose(kb_hold_t *hold);

void kb_hold_begin_read(kb_hold_t *hold, kb_time_t now);
/* Writes `wanted` on the revision known. */
void kb_hold_begin_write(kb_hold_t *hold, kb_time_t now);

KB_END_DECLS

#endif
