#ifndef KB_ROUTE_POLICY_H
#define KB_ROUTE_POLICY_H

#include "group.h"

KB_BEGIN_DECLS

/*
 * Estimates how long a statement would take at each target of one group, from
 * the statements that this host has sent there and the load that the gates
 * report.
 */

#define KB_ROUTE_MAX_CLASSES 16

typedef struct kb_route_policy kb_route_policy_t;

/* Load of a target, as input of a policy. */
typedef struct kb_route_load {
	/* Index of the target in its group. */
	size_t target;
	unsigned slots;
	/* Statements at its gate, as last reported. */
	unsigned waiting;
} kb_route_load_t;

typedef struct kb_route_policy_ops {
	/* Returns the expected time until the target has answered. */
	kb_time_t (*delay)(const kb_route_policy_t *policy,
			   const kb_route_load_t *load, size_t class_index);
	/* A statement was sent to a target. */
	void (*started)(kb_route_policy_t *policy, size_t target,
			size_t class_index);
	/*
	 * The statement was answered. `service` is its service time, or -1 if
	 * it did not run.
	 */
	void (*ended)(kb_route_policy_t *policy, size_t target,
		      size_t class_index, kb_time_t service);
} kb_route_policy_ops_t;

struct kb_route_policy {
	const kb_route_policy_ops_t *ops;
};

/* Prefers the target with the fewest statements for each slot. */
typedef struct kb_least_outstanding {
	kb_route_policy_t policy;
	unsigned outstanding[KB_GROUP_MAX_TARGETS];
} kb_least_outstanding_t;

void kb_least_outstanding_init(kb_least_outstanding_t *policy);

/*
 * Prefers the target with the least expected work, in which each statement
 * counts with the mean service time of its class at that target. This is the
 * default. It is derived from the virtual workloads of G. Michailidis, "Optimal
 * Allocation in a Queuing System with Shared Resources".
 */
typedef struct kb_least_work {
	kb_route_policy_t policy;
	unsigned outstanding[KB_GROUP_MAX_TARGETS][KB_ROUTE_MAX_CLASSES];
	/* Moving means, 0 before the first measurement. */
	kb_time_t service[KB_GROUP_MAX_TARGETS][KB_ROUTE_MAX_CLASSES];
} kb_least_work_t;

void kb_least_work_init(kb_least_work_t *policy);

KB_END_DECLS

#endif
