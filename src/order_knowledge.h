#ifndef KB_ORDER_KNOWLEDGE_H
#define KB_ORDER_KNOWLEDGE_H

#include "lease_record.h"

KB_BEGIN_DECLS

/*
 * Whether a host knows of each order to promote that may still take effect. A
 * holder that does not reach the store tells an order only to its voters, so
 * that the order is lost with their processes. A process is *informed* if it
 * has heard so from a holder that knows of each order: it has kept all that it
 * was told since. Each order is known to so many voters that enough informed
 * ones include one that was told.
 */
typedef struct kb_order_knowledge {
	/* This process is informed. */
	int informed;
	/* This host, the holder, knows of each order. */
	int known;
	/* Voters of the host that served last, beginning with that host. */
	kb_voter_set_t voters;
	/* Those of them that are informed, as far as the holder has heard. */
	kb_voter_set_t informed_voters;
} kb_order_knowledge_t;

/* The group's record names host `self`, which begins to wait or to serve. */
void kb_order_knowledge_begin(kb_order_knowledge_t *knowledge,
			      const kb_lease_record_t *record,
			      const kb_name_t *self);

/* A voter that grants the holder's renewals is informed. */
void kb_order_knowledge_on_informed(kb_order_knowledge_t *knowledge,
				    const kb_name_t *voter);

/* The holder knows of each order now. */
void kb_order_knowledge_set_known(kb_order_knowledge_t *knowledge);

KB_END_DECLS

#endif
