#ifndef KB_START_PHASES_H
#define KB_START_PHASES_H

#include "str.h"

struct evbuffer;

KB_BEGIN_DECLS

enum {
	/* A group that a host takes over later does not belong to its start. */
	KB_START_GROUP_MAX_S = 60,
};

/* What a host reaches after its start, in the usual order. */
typedef enum kb_start_phase {
	/* The list of the data centre's hosts. */
	KB_START_HOST_LIST,
	/* A copy of the store. */
	KB_START_STORE_COPY,
	/* A configuration in force. */
	KB_START_CONFIGURATION,
	/* New callers are accepted. */
	KB_START_READY,
	/* The first statement that succeeded. */
	KB_START_FIRST_SERVED,
	KB_START_PHASE_COUNT,
} kb_start_phase_t;

/* The same for a group that this host holds. */
typedef enum kb_start_group_phase {
	KB_START_GROUP_LEASE,
	KB_START_GROUP_PRIMARY,
	KB_START_GROUP_FIRST_SERVED,
	KB_START_GROUP_PHASE_COUNT,
} kb_start_group_phase_t;

/*
 * Times from the start of a process to what it has to reach before it serves;
 * each is logged once. A time is 0 as long as it is not reached.
 */
typedef struct kb_start_phases {
	kb_time_t started_at;
	kb_time_t took[KB_START_PHASE_COUNT];
} kb_start_phases_t;

typedef struct kb_start_group_phases {
	kb_time_t took[KB_START_GROUP_PHASE_COUNT];
} kb_start_group_phases_t;

void kb_start_phases_init(kb_start_phases_t *phases, kb_time_t now);

/* Records that a phase has been reached at `now`, unless it was before. */
void kb_start_phases_reach(kb_start_phases_t *phases, kb_start_phase_t phase,
			   kb_time_t now);

/*
 * The same for a group; `phases` is that of the host. Ignored later than
 * KB_START_GROUP_MAX_S after the start.
 */
void kb_start_phases_reach_group(const kb_start_phases_t *phases,
				 kb_start_group_phases_t *group,
				 const kb_name_t *name,
				 kb_start_group_phase_t phase, kb_time_t now);

/* Writes the times of the host in the Prometheus text format. */
void kb_start_phases_write(const kb_start_phases_t *phases,
			   struct evbuffer *out);

KB_END_DECLS

#endif
