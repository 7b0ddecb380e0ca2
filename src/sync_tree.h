#ifndef KB_SYNC_TREE_H
#define KB_SYNC_TREE_H

#include "hosts.h"

KB_BEGIN_DECLS

enum {
	/* Hosts that feed a host; either can replace the other. */
	KB_SYNC_TREE_PARENTS = 2,
	/* Hosts of its data centre that a pair of hosts feeds. */
	KB_SYNC_TREE_FAN_OUT = 16,
};

/*
 * Place of this host in the tree along which changes of the store spread. Two
 * hosts of the fleet read the store. They feed two of each region, these two of
 * each data centre of the region, and these the other hosts of the data centre,
 * by further levels of pairs if there are many. So the load of a host does not
 * grow with the fleet, and a change crosses a link between regions twice.
 *
 * The tree is a function of the membership, alike on all hosts that know the
 * same one. Hosts with a fast link come first, and a host skips those that have
 * failed.
 */
typedef struct kb_sync_tree {
	/* Generation of the hosts that the tree was made for. */
	uint64_t generation;
	/* This host reads the store. */
	int is_reader;
	/* Number of hosts from the store to this one. */
	unsigned depth;
	/* Hosts to ask; of a reader, the other one. */
	size_t parent_count;
	kb_host_t *parents[KB_SYNC_TREE_PARENTS];
} kb_sync_tree_t;

/* Brings the tree up to date. Without memory the former one is kept. */
void kb_sync_tree_update(kb_sync_tree_t *tree, const kb_hosts_t *hosts);

KB_END_DECLS

#endif
