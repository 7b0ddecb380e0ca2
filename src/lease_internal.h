#ifndef KB_LEASE_INTERNAL_H
#define KB_LEASE_INTERNAL_H

#include "lease_order.h"

KB_BEGIN_DECLS

enum {
	/* An unanswered call is repeated after this time. */
	KB_LEASE_CALL_TIMEOUT_MS = 600,
};

/* Functions shared by the source files of the lease. */

int kb_lease_names_equal(const kb_name_t *a, const kb_name_t *b);

/* Whether the key's record is of its era and names this host. */
int kb_lease_is_own(const kb_lease_t *lease);
void kb_lease_set_role(kb_lease_t *lease, kb_lease_role_t role);

/*
 * Returns the send time of the newest renewal that a majority of `set` granted,
 * where this host grants its own. 0 if there is none, KB_TIME_NEVER if this
 * host alone is a majority.
 */
kb_time_t kb_lease_majority_renewal(const kb_lease_t *lease,
				    const kb_voter_set_t *set);

/*
 * Rebuilds the table of voters that are sent renewals: those of the record, of
 * a pending change of voters and, while waiting, the former ones.
 */
void kb_lease_rebuild_grants(kb_lease_t *lease);

/*
 * Gives up the lease, or the attempt to get it, after the key has come to name
 * another host or the store was restored. An unanswered write of this host was
 * conditioned on an earlier revision: it has been overwritten, will fail, or is
 * void in the new era.
 */
void kb_lease_lose(kb_lease_t *lease);

/* Whether a host had lost the store when it was a voter lately. */
int kb_lease_is_avoided(const kb_lease_t *lease, const kb_name_t *host,
			kb_time_t now);

/* Records that the state of the key is known. */
void kb_lease_set_known(kb_lease_t *lease, kb_time_t now);

/*
 * Whether the state of the key is not the one that the last holder wrote, since
 * the store was restored from an older copy: the record is of another era, or
 * it is missing since the restore.
 */
int kb_lease_is_restored_key(const kb_lease_t *lease,
			     const kb_lease_record_t *record, int64_t revision);

/*
 * Takes such a state. The holder keeps its lease and writes its record again;
 * any other host gives up what it has begun.
 */
void kb_lease_on_restored_key(kb_lease_t *lease,
			      const kb_lease_record_t *record, int64_t revision,
			      kb_time_t now);

/*
 * Writes the holder's record in the store's new era, or the one whose write had
 * no answer before. Only while the lease is valid: a majority of the voters of
 * both have granted no renewal of a later revision then, so that no host had
 * taken over when the store was restored, and none can settle a takeover of the
 * former era any more.
 */
void kb_lease_rewrite_restored(kb_lease_t *lease, kb_time_t now);

/*
 * Writes the holder's record with an order or with copies that it lacks.
 * Returns 0 if it has them, or if it cannot be written now.
 */
int kb_lease_write_facts(kb_lease_t *lease, kb_time_t now);

/* Takes the targets that the record names, unless this host names them. */
void kb_lease_take_targets(kb_lease_t *lease, const kb_lease_record_t *record);

void kb_lease_begin_read(kb_lease_t *lease, kb_time_t now);
/* Writes `pending` in the known era, conditioned on the known key. */
void kb_lease_begin_write(kb_lease_t *lease, kb_time_t now);

KB_END_DECLS

#endif
