#ifndef KL_WORKLOAD_H
#define KL_WORKLOAD_H

#include "str.h"

#define KL_OPS_MAX 8

/* What an operation does. */
typedef enum kl_action {
	/* Inserts a row with a unique body. */
	KL_ACTION_INSERT,
	/* Creates a part, which several sessions then try to take. */
	KL_ACTION_CREATE_PART,
	/* Tries to take a part; never drawn from the mix. */
	KL_ACTION_TAKE,
	/* Looks up a recently inserted row. */
	KL_ACTION_LOOK_UP,
	/* Reads many rows. */
	KL_ACTION_BULK,
	/* Looks up the row that the session has just inserted. */
	KL_ACTION_READ_OWN,
} kl_action_t;

/* A read kind and its maximum age. */
typedef struct kl_read_kind {
	const char *name;
	kb_time_t max_age;
} kl_read_kind_t;

/* One kind of request in a workload's mix. */
typedef struct kl_op_spec {
	const char *name;
	kl_action_t action;
	/* Relative frequency outside and inside of bursts. */
	unsigned weight;
	unsigned burst_weight;
	/* Index in the workload's tables. */
	unsigned table;
	/* Traffic class of a write. */
	const char *traffic_class;
	/* The write carries an idempotency key. */
	int keyed;
	/* Kind of a read. */
	const kl_read_kind_t *read_kind;
	/* The read that may follow the write, or NULL. */
	const struct kl_op_spec *follow_up;
} kl_op_spec_t;

/* The mix of requests of a deployment. */
typedef struct kl_workload {
	const char *name;
	const char *const *tables;
	const kl_op_spec_t *ops;
	size_t op_count;
	/* The take that follows KL_ACTION_CREATE_PART, or NULL. */
	const kl_op_spec_t *take;
	/* Factor of the arrival rate during a burst. */
	double burst_factor;
	kb_time_t burst_period;
	kb_time_t burst_length;
} kl_workload_t;

/* Returns the workload `name`, or NULL. */
const kl_workload_t *kl_workload_find(const char *name);

#endif
