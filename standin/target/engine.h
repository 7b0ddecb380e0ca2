#ifndef ST_ENGINE_H
#define ST_ENGINE_H

#include "entry_log.h"
#include "table.h"

#include "report.h"

KB_BEGIN_DECLS

/* Why a statement failed, as the wire protocol reports it. */
typedef struct st_error {
	const char *sqlstate;
	const char *message;
} st_error_t;

extern const st_error_t st_error_no_memory;
extern const st_error_t st_error_read_only;
extern const st_error_t st_error_conflict;
extern const st_error_t st_error_duplicate;

/* Hears of changes in an engine. */
typedef struct st_engine_listener st_engine_listener_t;

typedef struct st_engine_listener_ops {
	/* Entries were committed here. */
	void (*appended)(st_engine_listener_t *listener);
	/* Term, role or the primary to follow changed. */
	void (*role_changed)(st_engine_listener_t *listener);
} st_engine_listener_ops_t;

struct st_engine_listener {
	const st_engine_listener_ops_t *ops;
};

typedef struct st_txn st_txn_t;

/* The data, log, term and role of one target. */
typedef struct st_engine {
	st_log_t log;
	uint64_t applied;
	uint64_t term;
	kb_role_t role;
	/* Who fenced the target at `term`; empty if nobody did. */
	kb_name_t promoter;
	/* The primary to follow; port 0 means nobody. */
	kb_name_t primary_address;
	uint16_t primary_port;
	void *tables;
	/* Uncommitted changes by table and id; a change is its row's lock. */
	void *locks;
	st_txn_t *transactions;
	uint64_t next_id;
	st_engine_listener_t *listener;
} st_engine_t;

/* Initializes an empty replica of term 0 that follows nobody. */
void st_engine_init(st_engine_t *engine);

/* Frees everything; no transaction may be open. */
void st_engine_finish(st_engine_t *engine);

/* Returns the table `name`, or NULL if no row was ever written to it. */
const st_table_t *st_engine_table(const st_engine_t *engine, kb_str_t name);

/* Reports term, role and positions. */
void st_engine_report(const st_engine_t *engine, kb_report_t *report);

/* The orders of docs/TARGETS.md; non-zero if granted. */
int st_engine_fence(st_engine_t *engine, uint64_t term, kb_str_t promoter);
int st_engine_promote(st_engine_t *engine, uint64_t term, kb_str_t promoter);
int st_engine_follow(st_engine_t *engine, uint64_t term, kb_str_t address,
		     uint16_t port);

/* Adopts the higher term of the primary that the target follows. */
void st_engine_adopt_term(st_engine_t *engine, uint64_t term);

/* Appends an entry received from the primary; owns it if KB_OK is returned. */
kb_result_t st_engine_receive(st_engine_t *engine, st_entry_t *entry);

/* Makes entries up to `position` visible. */
kb_result_t st_engine_apply(st_engine_t *engine, uint64_t position);

/* Undoes and drops all entries after `position`. */
kb_result_t st_engine_rewind(st_engine_t *engine, uint64_t position);

/* Appends and applies an entry of this primary, which the engine then owns. */
kb_result_t st_engine_commit(st_engine_t *engine, st_entry_t *entry);

KB_END_DECLS

#endif
