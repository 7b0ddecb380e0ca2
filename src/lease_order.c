#include "lease_internal.h"

/*
 * Whether so many voters besides this host know the order that each set of
 * voters with which a later holder can serve contains one of them. This host
 * may lose what it knows by a restart.
 */
static int known_to_voters(const kb_lease_t *lease, const kb_voter_set_t *set)
{
	size_t knowing = 0;

	for (size_t i = 0; i < lease->grant_count; i++)
		if (lease->grants[i].granted &&
		    lease->grants[i].sent_at >= lease->ordered_at &&
		    kb_voter_set_contains(set, &lease->grants[i].voter))
			knowing++;
	return knowing >= set->count - set->count / 2;
}

static int known_to_store(const kb_lease_t *lease)
{
	return lease->revision && !lease->restored &&
	       kb_promotion_order_equal(&lease->record.order, &lease->order);
}

/*
 * Whether a later holder of which no voter tells the order watches the target,
 * as the record names it. Of two records either may be the store's.
 */
static int is_standby(const kb_lease_t *lease, const kb_name_t *target)
{
	return !target->len ||
	       (lease->revision && !lease->restored &&
		kb_target_names_contain(&lease->record.standbys, target) &&
		(!lease->rewriting ||
		 kb_target_names_contain(&lease->pending.standbys, target)));
}

int kb_lease_announce_order(kb_lease_t *lease, const kb_promotion_order_t *next,
			    kb_time_t now)
{
	if (lease->role != KB_LEASE_SERVING)
		return 0;
	if (!kb_promotion_order_says(&lease->order, next)) {
		kb_promotion_order_update(&lease->order, next);
		lease->ordered_at = now;
		/* The next tick renews, and so tells the voters. */
		lease->renewals_sent_at = 0;
	}
	if (known_to_store(lease))
		return 1;
	return is_standby(lease, &lease->order.target) &&
	       now - lease->ordered_at >=
		       KB_LEASE_ORDER_STORE_TIMEOUT_MS * KB_NS_PER_MS &&
	       known_to_voters(lease, &lease->record.voters) &&
	       (!lease->rewriting ||
		known_to_voters(lease, &lease->pending.voters));
}

const kb_promotion_order_t *kb_lease_unrecorded_order(const kb_lease_t *lease,
						      int64_t revision)
{
	/* Another revision may be that of a restored, older record. */
	int is_known = known_to_store(lease) && lease->revision == revision;

	return lease->order.number && !is_known ? &lease->order : NULL;
}

void kb_lease_set_copies(kb_lease_t *lease, const kb_target_names_t *copies,
			 const kb_departures_t *departures)
{
	if (lease->role != KB_LEASE_SERVING)
		return;
	lease->copies = *copies;
	lease->departures = *departures;
}

void kb_lease_set_standbys(kb_lease_t *lease, const kb_target_names_t *standbys)
{
	if (lease->role == KB_LEASE_SERVING)
		lease->standbys = *standbys;
}

void kb_lease_take_targets(kb_lease_t *lease, const kb_lease_record_t *record)
{
	if (lease->role == KB_LEASE_SERVING)
		return;
	lease->copies = record->copies;
	lease->departures = record->departures;
	lease->standbys = record->standbys;
}

void kb_lease_on_informed_voter(kb_lease_t *lease, const kb_name_t *voter)
{
	if (lease->role == KB_LEASE_WAITING || lease->role == KB_LEASE_SERVING)
		kb_order_knowledge_on_informed(&lease->knowledge, voter);
}

void kb_lease_learn_order(kb_lease_t *lease, const kb_promotion_order_t *order)
{
	if (kb_promotion_order_is_later(&lease->order, order))
		lease->order = *order;
}

int kb_lease_write_facts(kb_lease_t *lease, kb_time_t now)
{
	if (lease->role != KB_LEASE_SERVING || lease->rewriting ||
	    !lease->revision ||
	    (kb_promotion_order_equal(&lease->record.order, &lease->order) &&
	     kb_target_names_equal(&lease->record.copies, &lease->copies) &&
	     kb_departures_equal(&lease->record.departures,
				 &lease->departures) &&
	     kb_target_names_equal(&lease->record.standbys, &lease->standbys)))
		return 0;
	lease->pending = lease->record;
	lease->preparing = 0;
	lease->rewriting = 1;
	kb_lease_rebuild_grants(lease);
	kb_lease_begin_write(lease, now);
	return 1;
}
