#include "order_knowledge.h"

/*
 * Whether the informed voters include one that was told each order. All voters
 * but `count / 2`, the holder among these, are told an order before it is sent;
 * see kb_lease_announce_order(). The holder itself knows its own orders.
 */
static int is_quorum_informed(const kb_order_knowledge_t *knowledge)
{
	const kb_voter_set_t *informed = &knowledge->informed_voters;
	size_t count = knowledge->voters.count;

	return count &&
	       (informed->count >= count / 2 ||
		kb_voter_set_contains(informed, &knowledge->voters.hosts[0]));
}

/* Whether the last host that served has written all orders to the record. */
static int is_record_complete(const kb_lease_record_t *record)
{
	if (record->settled || record->former_unknown)
		return 0;
	return record->released ? !record->orders_unknown
				: !record->former_voters.count;
}

void kb_order_knowledge_begin(kb_order_knowledge_t *knowledge,
			      const kb_lease_record_t *record,
			      const kb_name_t *self)
{
	knowledge->known = 0;
	knowledge->informed_voters.count = 0;
	knowledge->voters =
		record->settled ? record->voters : record->former_voters;
	if (knowledge->informed)
		kb_order_knowledge_on_informed(knowledge, self);
	/* A holder without other voters tells its orders to the store only. */
	if (is_record_complete(record) || is_quorum_informed(knowledge))
		kb_order_knowledge_set_known(knowledge);
}

void kb_order_knowledge_on_informed(kb_order_knowledge_t *knowledge,
				    const kb_name_t *voter)
{
	kb_voter_set_t *informed = &knowledge->informed_voters;

	if (knowledge->known ||
	    !kb_voter_set_contains(&knowledge->voters, voter) ||
	    kb_voter_set_contains(informed, voter))
		return;
	informed->hosts[informed->count++] = *voter;
	if (is_quorum_informed(knowledge))
		kb_order_knowledge_set_known(knowledge);
}

void kb_order_knowledge_set_known(kb_order_knowledge_t *knowledge)
{
	knowledge->known = 1;
	knowledge->informed = 1;
}
