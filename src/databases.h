#ifndef KB_DATABASES_H
#define KB_DATABASES_H

#include "teams.h"

KB_BEGIN_DECLS

/* Consistency level of a database's reads. */
typedef enum kb_read_consistency {
	/* Reads see every commit acknowledged before they began. */
	KB_READ_STRONG,
	/* Reads may be stale by up to `max_age`. */
	KB_READ_BOUNDED_STALENESS,
	/* Likewise, but reads see the session's own commits. */
	KB_READ_YOUR_WRITES,
} kb_read_consistency_t;

/* A database that callers connect to: a view of a database group. */
typedef struct kb_database {
	kb_name_t name;
	kb_name_t group;
	kb_read_consistency_t consistency;
	/*
	 * Maximum staleness, for KB_READ_BOUNDED_STALENESS and
	 * KB_READ_YOUR_WRITES.
	 */
	kb_time_t max_age;
	/* Timeout of one statement. */
	kb_time_t timeout;
	/* Latency objective of a statement or a whole transaction. */
	kb_time_t objective;
	/* 0 is the highest priority. */
	unsigned priority;
	/* Callers need no key. */
	int is_public;
} kb_database_t;

/* Configuration of a database group. */
typedef struct kb_group_limits {
	kb_name_t group;
	/* Connections that one target accepts from all hosts together. */
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
	/* A transaction idle for longer than this may be rolled back. */
	kb_time_t txn_idle_timeout;
	kb_teams_t teams;
} kb_databases_t;

void kb_databases_finish(kb_databases_t *databases);

/*
 * Replaces `databases` by `next` if `next` is a later version or `databases` is
 * empty, and otherwise frees `next`. Returns whether `databases` was replaced.
 */
int kb_databases_replace(kb_databases_t *databases, kb_databases_t *next);

/* Return an entry, or NULL. */
const kb_database_t *kb_databases_find(const kb_databases_t *databases,
				       kb_str_t name);
const kb_group_limits_t *kb_databases_group(const kb_databases_t *databases,
					    kb_str_t group);

/* Sorts the databases by name, as kb_databases_find() requires. */
void kb_databases_sort(kb_databases_t *databases);

KB_END_DECLS

#endif
