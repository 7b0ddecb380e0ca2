#ifndef KB_CONFIG_GOSSIP_INTERNAL_H
#define KB_CONFIG_GOSSIP_INTERNAL_H

#include "config_gossip.h"

KB_BEGIN_DECLS

/* Initializes a message with the name and the revision of this host. */
void kb_config_gossip_begin_message(const kb_config_gossip_t *gossip,
				    kb_config_gossip_message_t *message,
				    kb_config_gossip_message_type_t type);

/* Sends `message` to the host with index `to`. */
void kb_config_gossip_send(kb_config_gossip_t *gossip, uint32_t to,
			   const kb_config_gossip_message_t *message);

/*
 * Returns a random live host other than this one, or KB_MEMBER_NONE. If
 * `nearby` is set, prefers hosts of the same data centre.
 */
uint32_t kb_config_gossip_pick_peer(kb_config_gossip_t *gossip, bool nearby);

/* Sends this host's complete revision and digest to host `to`. */
void kb_config_gossip_send_digest(kb_config_gossip_t *gossip, uint32_t to);

/* Sends the changes after revision `after` to some other hosts. */
void kb_config_gossip_push(kb_config_gossip_t *gossip, uint64_t after);

/* Requests the changes after the complete revision from host `peer`. */
void kb_config_gossip_request_changes(kb_config_gossip_t *gossip,
				      uint32_t peer);

/* Retries or abandons a transfer whose answer has timed out. */
void kb_config_gossip_on_pull_timeout(kb_config_gossip_t *gossip,
				      kb_time_t now);

/* Handle the messages that transfer changes. */
void kb_config_gossip_on_push(kb_config_gossip_t *gossip, uint32_t from,
			      const kb_config_gossip_message_t *message,
			      kb_time_t now);
void kb_config_gossip_on_digest(kb_config_gossip_t *gossip, uint32_t from,
				const kb_config_gossip_message_t *message,
				kb_time_t now);
void kb_config_gossip_on_pull(kb_config_gossip_t *gossip, uint32_t from,
			      const kb_config_gossip_message_t *message);
void kb_config_gossip_on_page(kb_config_gossip_t *gossip, uint32_t from,
			      const kb_config_gossip_message_t *message,
			      kb_time_t now);

/* Schedules a report after the complete revision has risen from `before`, and
 * pushes the new changes if `push` is set. */
void kb_config_gossip_on_advance(kb_config_gossip_t *gossip, uint64_t before,
				 bool push, kb_time_t now);

/* Reports the revision in force on this host to the relays. */
void kb_config_gossip_send_reports(kb_config_gossip_t *gossip);

/* Requests the status of each data centre from one of its relays. */
void kb_config_gossip_request_status(kb_config_gossip_t *gossip, kb_time_t now);

/* Handle the messages of the status. */
void kb_config_gossip_on_report(kb_config_gossip_t *gossip, uint32_t from,
				const kb_config_gossip_message_t *message);
void kb_config_gossip_on_status_request(kb_config_gossip_t *gossip,
					uint32_t from);
void kb_config_gossip_on_status(kb_config_gossip_t *gossip, uint32_t from,
				const kb_config_gossip_message_t *message,
				kb_time_t now);

/* Adds host `index` to the candidates for relays; keeps the highest ranked. */
void kb_config_gossip_add_relay_candidate(
	const kb_member_table_t *table,
	uint32_t relays[KB_CONFIG_GOSSIP_RELAYS], uint32_t index);

KB_END_DECLS

#endif
