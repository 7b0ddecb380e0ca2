#ifndef KB_GROUP_H
#define KB_GROUP_H

#include "str.h"

KB_BEGIN_DECLS

#define KB_GROUP_MAX_TARGETS 7

/* Whether a host or target is to take part in the service. */
typedef enum kb_admin_state {
	KB_ADMIN_STATE_ACTIVE,
	/* It gets no new work and finishes what it has. */
	KB_ADMIN_STATE_LEAVING,
} kb_admin_state_t;

/* A target of a database group, as declared by the operators. */
typedef struct kb_target_spec {
	kb_name_t name;
	/* IP number in text form. */
	kb_name_t address;
	uint16_t port;
	kb_name_t data_centre;
	kb_name_t region;
	/* Statements that it executes at the same time. */
	unsigned slots;
	/* Connections that it accepts, those for control included. */
	unsigned connections;
	kb_admin_state_t state;
} kb_target_spec_t;

/* A database group, as declared by the operators. */
typedef struct kb_group_spec {
	kb_name_t name;
	kb_name_t database;
	size_t target_count;
	kb_target_spec_t targets[KB_GROUP_MAX_TARGETS];
} kb_group_spec_t;

/* Returns the index of target `name`, or `target_count` if there is none. */
size_t kb_group_find_target(const kb_group_spec_t *group, kb_str_t name);

/* Returns non-zero if both declare the same. */
int kb_target_spec_equal(const kb_target_spec_t *a, const kb_target_spec_t *b);
int kb_group_spec_equal(const kb_group_spec_t *a, const kb_group_spec_t *b);

/* Returns how many targets are a majority of the group. */
static inline size_t kb_group_majority(const kb_group_spec_t *group)
{
	return group->target_count / 2 + 1;
}

/* What a kind of read accepts. */
typedef struct kb_read_kind {
	kb_name_t name;
	/* Greatest age of the data; 0 asks for data as of the request. */
	kb_time_t max_age;
	/* Name of the traffic class that carries it. */
	kb_name_t traffic_class;
} kb_read_kind_t;

/* How a class of requests is queued. */
typedef struct kb_traffic_class {
	kb_name_t name;
	/* Share of slots relative to other classes while all have work. */
	unsigned weight;
	/* Requests that may wait for one target. */
	unsigned queue_limit;
	/* Time from arrival in which a request must be answered. */
	kb_time_t deadline;
	/* Waits for byte budget on the link between regions if set. */
	int bulk;
} kb_traffic_class_t;

KB_END_DECLS

#endif
