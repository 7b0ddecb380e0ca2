#ifndef KB_POOL_TEAM_H
#define KB_POOL_TEAM_H

#include "link_pool.h"

#include <uthash.h>

KB_BEGIN_DECLS

/* Kinds of queued statements, by what they need to be sent. */
typedef enum kb_pool_job_kind {
	/* Any idle connection of the team. */
	KB_POOL_JOB_STATEMENT,
	/* The same, and room for another transaction. */
	KB_POOL_JOB_BEGIN,
	/* The connection of its transaction. */
	KB_POOL_JOB_IN_TRANSACTION,
	KB_POOL_JOB_KINDS,
} kb_pool_job_kind_t;

/* Queued statements, in order of objective and then of arrival. */
typedef struct kb_pool_list {
	kb_pool_job_t *first;
	kb_pool_job_t *last;
	unsigned count;
} kb_pool_list_t;

/* Queued statements of one class of a team. */
typedef struct kb_pool_class {
	kb_pool_list_t on_time[KB_POOL_JOB_KINDS];
	/* Those whose objective has passed. */
	kb_pool_list_t late[KB_POOL_JOB_KINDS];
} kb_pool_class_t;

/* What a pool knows of a team. */
struct kb_pool_team {
	/* The first member, by which the team's share is decided. */
	kb_team_use_t use;
	UT_hash_handle hh;
	kb_name_t name;
	kb_stride_t stride;
	unsigned queued;
	kb_pool_class_t classes[KB_POOL_CLASSES];
};

/*
 * Returns the entry of a team, which may be the empty name. Returns NULL if
 * the name is invalid or memory is short.
 */
kb_pool_team_t *kb_pool_team_get(kb_link_pool_t *pool, kb_str_t name);

/* Frees the teams that have nothing in the pool and were not used lately. */
void kb_pool_teams_prune(kb_link_pool_t *pool, kb_time_t now);

/* Frees every team. */
void kb_pool_teams_finish(kb_link_pool_t *pool);

KB_END_DECLS

#endif
