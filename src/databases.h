#ifndef KB_DATABASES_H
#define KB_DATABASES_H

#include "str.h"

KB_BEGIN_DECLS

/* Which data a database's reads accept. */
typedef enum kb_read_consistency {
	/* Everything acknowledged before. */
	KB_READ_STRONG,
	/* Data of a stated age. */
	KB_READ_BOUNDED_STALENESS,
	/* Data of a stated age that has the session's own commits. */
	KB_READ_YOUR_WRITES,
} kb_read_consistency_t;

/* A name by which callers reach a database group, and how it is served. */
typedef struct kb_database {
	kb_name_t name;
	kb_name_t group;
	kb_read_consistency_t rule;
	/* Greatest age of the data, for KB_READ_BOUNDED_STALENESS and
	 * KB_READ_YOUR_WRITES. */
	kb_time_t max_age;
	/* Longest time of one statement. */
	kb_time_t timeout;
	/* Time in which callers want a whole operation served. */
	kb_time_t objective;
	/* 0 is served first. */
	unsigned priority;
} kb_database_t;

/* What the configuration says of a database group. */
typedef struct kb_group_limits {
	kb_name_t group;
	/* Connections that a target accepts from all hosts together. */
	unsigned connections;
	/* An acknowledged commit must survive the loss of the primary. */
	int durable;
} kb_group_limits_t;

/* One version of the operators' configuration. */
typedef struct kb_databases {
	uint64_t version;
	kb_database_t *databases;
	size_t database_count;
	kb_group_limits_t *groups;
	size_t group_count;
	/* A transaction that rests for longer may be ended. */
	kb_time_t txn_idle;
} kb_databases_t;

void kb_databases_finish(kb_databases_t *databases);

/*
 * Puts `next` in the place of `databases`, which frees what was there, if it is
 * later or nothing was. Otherwise frees `next`. Returns whether it was taken.
 */
int kb_databases_replace(kb_databases_t *databases, kb_databases_t *next);

/* Return an entry, or NULL. */
const kb_database_t *kb_databases_find(const kb_databases_t *databases,
				       kb_str_t name);
const kb_group_limits_t *kb_databases_group(const kb_databases_t *databases,
					    kb_str_t group);

/* Sorts the databases by name; to be called once they are all there. */
void kb_databases_sort(kb_databases_t *databases);

KB_END_DECLS

#endif
