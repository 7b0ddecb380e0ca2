#ifndef KB_LEASE_ORDER_H
#define KB_LEASE_ORDER_H

#include "lease.h"

KB_BEGIN_DECLS

/* What a holder leaves to later holders beside the lease itself. */

/*
 * Announces what `next` says (see kb_promotion_order_says()); without a target
 * it withdraws the last order. Returns whether each later holder will know of
 * it, or know that it may not; if not, it is to be called again. Always 0 if
 * this host does not serve.
 */
int kb_lease_announce_order(kb_lease_t *lease, const kb_promotion_order_t *next,
			    kb_time_t now);

/*
 * Sets the targets that the holder's record is to name as copies, and those of
 * them that are leaving.
 */
void kb_lease_set_copies(kb_lease_t *lease, const kb_target_names_t *copies,
			 const kb_departures_t *departures);

/* Sets the targets that the holder's record is to name as standbys. */
void kb_lease_set_standbys(kb_lease_t *lease,
			   const kb_target_names_t *standbys);

/* A voter that grants this host's renewals is informed of all orders. */
void kb_lease_on_informed_voter(kb_lease_t *lease, const kb_name_t *voter);

/*
 * Returns the last order unless a host that has read `revision` of the key
 * knows it from the record, as far as this host can tell, else NULL. Renewals
 * and their answers carry it.
 */
const kb_promotion_order_t *kb_lease_unrecorded_order(const kb_lease_t *lease,
						      int64_t revision);

/* Takes an order that another host knows of. */
void kb_lease_learn_order(kb_lease_t *lease, const kb_promotion_order_t *order);

KB_END_DECLS

#endif
