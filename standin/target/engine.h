#ifndef ST_ENGINE_H
#define ST_ENGINE_H

#include "entry_log.h"
#include "table.h"

#include "report.h"

KB_BEGIN_DECLS

/* SQLSTATE and message of a failed statement. */
typedef struct st_error {
	const char *sqlstate;
	const char *message;
} st_error_t;

extern const st_error_t st_error_no_memory;
extern const st_error_t st_error_read_only;
extern const st_error_t st_error_conflict;
extern const st_error_t st_error_duplicate;

/* Receives notifications of changes in an engine. */
typedef struct st_engine_listener st_engine_listener_t;

typedef struct st_engine_listener_ops {
	/* Entries were committed on this primary. */
	void (*appended)(st_engine_listener_t *listener);
	/* The term, the role or the primary to follow has changed. */
	void (*role_changed)(st_engine_listener_t *listener);
} st_engine_listener_ops_t;

struct st_engine_listener {
	const st_engine_listener_ops_t *ops;
};

typedef struct st_txn st_txn_t;

/* The data, log, term and role of one target. */
typedef struct st_engine {
	st_log_t log;
	/* Position of the last entry that is visible to reads. */
	uint64_t applied;
	uint64_t term;
	kb_role_t role;
	/* Name that the fence of `term` carried; empty if there was none. */
	kb_name_t promoter;
	/* The primary to follow; port 0 means none. */
	kb_name_t primary_address;
	uint16_t primary_port;
	/* Search tree of st_table_t by name. */
	void *tables;
	/* Uncommitted changes by table and id; each locks its row. */
	void *locks;
	/* Open transactions. */
	st_txn_t *transactions;
	/* Number of the last generated row id of this term. */
	uint64_t next_id;
	st_engine_listener_t *listener;
} st_engine_t;

/* Initializes an empty replica of term 0 that follows no primary. */
void st_engine_init(st_engine_t *engine);

/* Frees everything; no transaction may be open. */
void st_engine_finish(st_engine_t *engine);

/* Returns the table `name`, or NULL if no row was ever written to it. */
const st_table_t *st_engine_table(const st_engine_t *engine, kb_str_t name);

/* Fills `report` with the term, the role and the positions. */
void st_engine_report(const st_engine_t *engine, kb_report_t *report);

/* The commands of docs/TARGETS.md. Return non-zero if granted. */
int st_engine_fence(st_engine_t *engine, uint64_t term, kb_str_t promoter);
int st_engine_promote(st_engine_t *engine, uint64_t term, kb_str_t promoter);
int st_engine_follow(st_engine_t *engine, uint64_t term, kb_str_t address,
		     uint16_t port);

/* Adopts the higher term of the primary that the target follows. */
void st_engine_adopt_term(st_engine_t *engine, uint64_t term);

/* Appends an entry received from the primary; owns it if KB_OK is returned. */
kb_result_t st_engine_receive(st_engine_t *engine, st_entry_t *entry);

/* Makes the entries up to `position` visible to reads. */
kb_result_t st_engine_apply(st_engine_t *engine, uint64_t position);

/* Undoes and removes all entries after `position`. */
kb_result_t st_engine_rewind(st_engine_t *engine, uint64_t position);

/* Appends and applies an entry on the primary; the engine takes ownership. */
kb_result_t st_engine_commit(st_engine_t *engine, st_entry_t *entry);

KB_END_DECLS

#endif
