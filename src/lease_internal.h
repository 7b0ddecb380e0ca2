#ifndef KB_LEASE_INTERNAL_H
#define KB_LEASE_INTERNAL_H

#include "lease.h"

KB_BEGIN_DECLS

enum {
	/* Calls without an answer are repeated after this time. */
	KB_LEASE_CALL_TIMEOUT_MS = 600,
};

/* Parts of a hold that what it is told and what it does by time share. */

int kb_lease_names_equal(const kb_name_t *a, const kb_name_t *b);
int kb_voter_set_contains(const kb_voter_set_t *set, const kb_name_t *host);

/* Whether the key names this host. */
int kb_lease_is_own(const kb_lease_t *hold);
void kb_lease_set_role(kb_lease_t *hold, kb_lease_role_t role);

/*
 * Sending of the newest renewal that a majority of `set` granted, this host
 * counted; 0 if there is none, KB_TIME_NEVER if this host is a majority.
 */
kb_time_t kb_lease_majority_renewal(const kb_lease_t *hold,
				    const kb_voter_set_t *set);

/* Asks the candidates of the record, of a rewrite, and the former ones. */
void kb_lease_rebuild_grants(kb_lease_t *hold);

/*
 * The key names another host now. A write of this host that has no answer yet
 * was on an earlier revision: it has been replaced or cannot take effect.
 */
void kb_lease_lose(kb_lease_t *hold);

void kb_lease_begin_read(kb_lease_t *hold, kb_time_t now);
/* Writes `wanted` on the revision known. */
void kb_lease_begin_write(kb_lease_t *hold, kb_time_t now);

KB_END_DECLS

#endif
