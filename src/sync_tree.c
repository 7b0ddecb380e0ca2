#include "sync_tree.h"

#include "rendezvous.h"

#include <stdlib.h>

typedef struct ranked {
	kb_host_t *host;
	uint64_t score;
} ranked_t;

/* The hosts in the order in which they feed others. */
typedef struct order {
	size_t count;
	ranked_t *ranked;
} order_t;

static int compare(const void *a, const void *b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;

	if (!x->host->unlisted_at != !y->host->unlisted_at)
		return x->host->unlisted_at ? 1 : -1;
	if (x->host->link_mbps != y->host->link_mbps)
		return x->host->link_mbps < y->host->link_mbps ? 1 : -1;
	if (x->host->processor_share != y->host->processor_share)
		return x->host->processor_share < y->host->processor_share ? 1
									   : -1;
	return x->score < y->score ? 1 : x->score > y->score ? -1 : 0;
}

static int sort_hosts(order_t *order, const kb_hosts_t *hosts)
{
	order->count = 0;
	order->ranked = calloc(hosts->count + 1, sizeof(*order->ranked));
	if (!order->ranked)
		return 0;
	for (size_t i = 0; i < hosts->count; i++) {
		kb_host_t *host = hosts->hosts[i];
		ranked_t *entry = &order->ranked[order->count];

		if (!host->self &&
		    (!host->live || host->leaving || host->failed))
			continue;
		entry->host = host;
		entry->score = kb_rendezvous_score(kb_name_str(&host->name),
						   KB_STR("store reader"));
		order->count++;
	}
	qsort(order->ranked, order->count, sizeof(*order->ranked), compare);
	return 1;
}

/* Hosts of a part of the fleet; the first of them are its feeders. */
typedef enum scope {
	SCOPE_FLEET,
	SCOPE_REGION,
	SCOPE_DATA_CENTRE,
} scope_t;

static int in_scope(const kb_host_t *host, const kb_host_t *self, scope_t scope)
{
	switch (scope) {
	case SCOPE_REGION:
		return kb_name_is(&host->region, kb_name_str(&self->region));
	case SCOPE_DATA_CENTRE:
		return kb_name_is(&host->data_centre,
				  kb_name_str(&self->data_centre));
	default:
		return 1;
	}
}

/* Returns the host at `index` of the scope, or NULL. */
static kb_host_t *host_at(const order_t *order, const kb_host_t *self,
			  scope_t scope, size_t index)
{
	for (size_t i = 0; i < order->count; i++) {
		kb_host_t *host = order->ranked[i].host;

		if (in_scope(host, self, scope) && !index--)
			return host;
	}
	return NULL;
}

static size_t index_of(const order_t *order, const kb_host_t *self,
		       scope_t scope)
{
	size_t index = 0;

	for (size_t i = 0; i < order->count; i++) {
		const kb_host_t *host = order->ranked[i].host;

		if (host == self)
			break;
		index += (size_t)in_scope(host, self, scope);
	}
	return index;
}

static void add_parents(kb_sync_tree_t *tree, const order_t *order,
			const kb_host_t *self, scope_t scope, size_t first)
{
	tree->parent_count = 0;
	for (size_t i = 0; i < KB_SYNC_TREE_PARENTS; i++) {
		kb_host_t *host = host_at(order, self, scope, first + i);

		if (host && host != self)
			tree->parents[tree->parent_count++] = host;
	}
}

/* Returns the distance from the store of the first hosts of the data centre. */
static unsigned relay_depth(const order_t *order, const kb_host_t *self)
{
	const kb_host_t *relay = host_at(order, self, SCOPE_DATA_CENTRE, 0);
	const kb_host_t *head = host_at(order, self, SCOPE_REGION, 0);

	if (index_of(order, relay, SCOPE_FLEET) < KB_SYNC_TREE_PARENTS)
		return 0;
	if (index_of(order, relay, SCOPE_REGION) < KB_SYNC_TREE_PARENTS ||
	    index_of(order, head, SCOPE_FLEET) < KB_SYNC_TREE_PARENTS)
		return 1;
	return 2;
}

static void place_self(kb_sync_tree_t *tree, const order_t *order,
		       const kb_host_t *self)
{
	size_t pair = KB_SYNC_TREE_PARENTS;
	size_t index = index_of(order, self, SCOPE_DATA_CENTRE);

	tree->is_reader = 0;
	tree->depth = relay_depth(order, self);
	if (index >= pair) {
		size_t parents = (index - pair) / KB_SYNC_TREE_FAN_OUT * pair;

		add_parents(tree, order, self, SCOPE_DATA_CENTRE, parents);
		tree->depth++;
		for (; parents >= pair; tree->depth++)
			parents =
				(parents - pair) / KB_SYNC_TREE_FAN_OUT * pair;
	} else if (index_of(order, self, SCOPE_REGION) >= pair) {
		add_parents(tree, order, self, SCOPE_REGION, 0);
		/* Its neighbour may be nearer to the store. */
		if (!tree->depth)
			tree->depth = 1;
	} else {
		add_parents(tree, order, self, SCOPE_FLEET, 0);
		tree->is_reader = index_of(order, self, SCOPE_FLEET) < pair;
		tree->depth = tree->is_reader ? 0 : 1;
	}
}

void kb_sync_tree_update(kb_sync_tree_t *tree, const kb_hosts_t *hosts)
{
	order_t order;

	if (tree->generation == hosts->generation || !sort_hosts(&order, hosts))
		return;
	place_self(tree, &order, hosts->self);
	tree->generation = hosts->generation;
	free(order.ranked);
}
