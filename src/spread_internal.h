#ifndef KB_SPREAD_INTERNAL_H
#define KB_SPREAD_INTERNAL_H

#include "spread.h"

KB_BEGIN_DECLS

/* Starts a message of type `type` with the name of this host. */
void kb_spread_begin_message(const kb_spread_t *spread,
			     kb_spread_message_t *message,
			     kb_spread_message_type_t type);

/* Sends `message` to the host with index `to`. */
void kb_spread_send(kb_spread_t *spread, uint32_t to,
		    const kb_spread_message_t *message);

/*
 * Returns a random other host that is thought to run, of this data centre if
 * `nearby` is set and there is one, or KB_MEMBER_NONE.
 */
uint32_t kb_spread_pick(kb_spread_t *spread, bool nearby);

/* Sends this host's complete revision and digest to host `to`. */
void kb_spread_send_digest(kb_spread_t *spread, uint32_t to);

/* Passes on what was learned after revision `after`. */
void kb_spread_push(kb_spread_t *spread, uint64_t after);

/* Asks host `peer` for the changes after the complete revision. */
void kb_spread_request_changes(kb_spread_t *spread, uint32_t peer);

/* Repeats or gives up a transfer whose answer is late. */
void kb_spread_on_pull_timeout(kb_spread_t *spread, kb_time_t now);

/* Handles the messages of a transfer of changes. */
void kb_spread_on_push(kb_spread_t *spread, uint32_t from,
		       const kb_spread_message_t *message, kb_time_t now);
void kb_spread_on_digest(kb_spread_t *spread, uint32_t from,
			 const kb_spread_message_t *message, kb_time_t now);
void kb_spread_on_pull(kb_spread_t *spread, uint32_t from,
		       const kb_spread_message_t *message);
void kb_spread_on_page(kb_spread_t *spread, uint32_t from,
		       const kb_spread_message_t *message, kb_time_t now);

/* The complete revision has risen from `before`. */
void kb_spread_on_advance(kb_spread_t *spread, uint64_t before, bool pass_on,
			  kb_time_t now);

/* Tells the relays which revision is in force here. */
void kb_spread_send_reports(kb_spread_t *spread);

/* Asks a relay of each data centre for its status. */
void kb_spread_request_status(kb_spread_t *spread, kb_time_t now);

/* Handles the messages of the status. */
void kb_spread_on_report(kb_spread_t *spread, uint32_t from,
			 const kb_spread_message_t *message);
void kb_spread_on_status_request(kb_spread_t *spread, uint32_t from);
void kb_spread_on_status(kb_spread_t *spread, uint32_t from,
			 const kb_spread_message_t *message, kb_time_t now);

/* Offers host `index` as a relay; keeps the highest ranked. */
void kb_spread_offer_relay(const kb_member_table_t *table,
			   uint32_t relays[KB_SPREAD_RELAYS], uint32_t index);

KB_END_DECLS

#endif
