#ifndef KB_MEMBER_INTERNAL_H
#define KB_MEMBER_INTERNAL_H

#include "member.h"

KB_BEGIN_DECLS

/* Returns a number below `bound`, which must not be 0. */
uint32_t kb_members_random(kb_members_t *members, uint32_t bound);

/* Whether host `index` is thought to run and is not this one. */
bool kb_members_is_other_live(const kb_members_t *members, uint32_t index);

typedef bool kb_members_filter_fn_t(const kb_members_t *members,
				    uint32_t index);

/* Returns a random host that passes `test`, or KB_MEMBER_NONE. */
uint32_t kb_members_pick(kb_members_t *members, kb_members_filter_fn_t *test);

/*
 * Returns a random other host that is thought to run, mostly one of this
 * region, or KB_MEMBER_NONE.
 */
uint32_t kb_members_pick_live(kb_members_t *members);

/* Starts `members->message` for host `to`. */
void kb_members_begin_message(kb_members_t *members,
			      kb_member_message_type_t type, uint32_t to);

/* Refills the byte budget; to be called first at every event. */
void kb_members_refill(kb_members_t *members, kb_time_t now);

/* Sends `members->message` to host `to` at the expense of the budget. */
void kb_members_send(kb_members_t *members, uint32_t to);

/* Adds rumours to `members->message` and sends it to host `to`. */
void kb_members_send_with_gossip(kb_members_t *members, uint32_t to);

/* Queues the claim about host `index` as a rumour. */
void kb_members_queue_gossip(kb_members_t *members, uint32_t index,
			     kb_time_t now);

/* Adopts `record` if it precedes what is known of its host; returns whether
 * it did. */
bool kb_members_merge(kb_members_t *members, const kb_member_record_t *record,
		      kb_time_t now);

KB_END_DECLS

#endif
