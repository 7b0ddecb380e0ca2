#ifndef KB_LEASE_RECORD_H
#define KB_LEASE_RECORD_H

#include "departures.h"
#include "promotion_order.h"

KB_BEGIN_DECLS

enum {
	/* Hosts that vote on renewals; a majority must grant one. */
	KB_LEASE_VOTERS_MAX = 5,
};

/* Voters: a majority of them decides whether the holder may serve. */
typedef struct kb_voter_set {
	size_t count;
	kb_name_t hosts[KB_LEASE_VOTERS_MAX];
} kb_voter_set_t;

/* Value of a group's key in the store. */
typedef struct kb_lease_record {
	kb_name_t holder;
	/*
	 * Era of the store in which it was written. In a later era it does not
	 * show who held the lease last, see kb_lease_t.
	 */
	int64_t era;
	/*
	 * Revision of the key that the write which named the holder has
	 * replaced, or of the store if there was no key; 0 in a record of an
	 * earlier version. Two grants to one host differ in it.
	 */
	int64_t grant;
	/* The former holder wrote this record after it stopped serving. */
	int released;
	/* The leases of all former holders have ended; `holder` may serve. */
	int settled;
	/* Hosts that vote on the holder's renewals. */
	kb_voter_set_t voters;
	/*
	 * Until `settled` is set: the voters of the holder that served last,
	 * beginning with that holder itself. `former_unknown` is set if they
	 * are unknown.
	 */
	kb_voter_set_t former_voters;
	int former_unknown;
	/* The last order to promote a target of the group. */
	kb_promotion_order_t order;
	/* Targets that may hold acknowledged commits of a durable group. */
	kb_target_names_t copies;
	/* Those of them that were leaving. */
	kb_departures_t departures;
	/*
	 * The only targets that a holder may order to lead while the store does
	 * not answer.
	 */
	kb_target_names_t standbys;
	/* The holder that wrote it may not know of each order. */
	int orders_unknown;
} kb_lease_record_t;

/* Whether a host is one of the voters. */
int kb_voter_set_contains(const kb_voter_set_t *set, const kb_name_t *host);

/* Returns a record as JSON text, to be freed, or NULL without memory. */
char *kb_lease_record_format(const kb_lease_record_t *record);

/* Parses a record. Returns KB_ERR_PROTOCOL if it is malformed. */
kb_result_t kb_lease_record_parse(kb_lease_record_t *record, kb_str_t text);

KB_END_DECLS

#endif
