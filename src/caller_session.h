#ifndef KB_CALLER_SESSION_H
#define KB_CALLER_SESSION_H

#include "databases.h"
#include "link.h"
#include "session_values.h"

KB_BEGIN_DECLS

/* What a caller asks of its session. */
typedef enum kb_query_verb {
	KB_QUERY_BEGIN,
	KB_QUERY_BEGIN_READ_ONLY,
	KB_QUERY_COMMIT,
	KB_QUERY_ROLLBACK,
	KB_QUERY_READ,
	KB_QUERY_WRITE,
	KB_QUERY_SET,
	KB_QUERY_PREPARE_READ,
	KB_QUERY_PREPARE_WRITE,
	/* Runs the statement prepared as `name`. */
	KB_QUERY_EXECUTE,
	/* Forgets the statement prepared as `name`. */
	KB_QUERY_CLOSE_STATEMENT,
	/* Cannot be understood. */
	KB_QUERY_MALFORMED,
} kb_query_verb_t;

/* Data lives until the return of kb_caller_session_query(). */
typedef struct kb_query {
	kb_query_verb_t verb;
	kb_str_t id;
	kb_str_t name;
	/* Rest of a statement, value or shape. */
	kb_str_t body;
} kb_query_t;

/* What a caller is told. Data lives until the return. */
typedef struct kb_query_answer {
	kb_result_t result;
	kb_str_t message;
	/* Time until a retry may succeed, or 0. */
	kb_time_t retry;
	/* This host reaches no holder of the group; another host may. */
	int elsewhere;
	size_t row_count;
	const kbs_text *rows;
	/* The target's mark, or empty if no target was asked. */
	kb_str_t signature;
	kb_txn_state_t state;
	kb_point_t point;
} kb_query_answer_t;

typedef struct kb_caller_session kb_caller_session_t;

typedef struct kb_caller_session_ops {
	/*
	 * Runs a statement for the session's database; one at a time.
	 * kb_caller_session_on_result() follows, perhaps before the return.
	 */
	void (*run)(void *ctx, kb_caller_session_t *session);
	/* Rolls back the open transaction; no answer is waited for. */
	void (*roll_back)(void *ctx, kb_caller_session_t *session);
	/* Returns the database as configured now, or NULL. */
	const kb_database_t *(*find)(void *ctx, kb_str_t name);
	/* Answers the query. */
	void (*answer)(void *ctx, const kb_query_answer_t *answer);
} kb_caller_session_ops_t;

/*
 * A caller's session: its values, its prepared statements and its
 * transaction. It decides what is answered here and what a target is asked.
 */
struct kb_caller_session {
	const kb_caller_session_ops_t *ops;
	void *ctx;
	kb_name_t name;
	/* As configured when the statement or its transaction began. */
	kb_database_t database;
	kb_session_values_t values;
	/* Name to kind and shape: "r" or "w" and the shape. */
	kb_session_values_t prepared;
	kb_txn_state_t state;
	int read_only;
	/* The transaction wrote something. */
	int wrote;
	/* Transaction at its gate, or 0 if no target has been asked. */
	uint64_t transaction;
	/* Newest commit of this session that wrote. */
	kb_point_t committed;
	/* The statement that runs. */
	int running;
	kbs_run_args args;
	kbs_text id;
	kbs_text shape;
	kbs_text body;
	kb_time_t txn_idle;
};

/* Returns KB_ERR_NOT_FOUND if no such database is configured. */
kb_result_t kb_caller_session_init(kb_caller_session_t *session,
				   const kb_caller_session_ops_t *ops,
				   void *ctx, kb_str_t database);

/* Rolls back what is open. No statement may run. */
void kb_caller_session_finish(kb_caller_session_t *session);

/* Takes a query; the one before must have been answered. */
void kb_caller_session_query(kb_caller_session_t *session,
			     const kb_query_t *query);

/* The statement that ran ended with `res`. */
void kb_caller_session_on_result(kb_caller_session_t *session,
				 const kbs_run_res *res);

/* Whether the statement must go to the primary. */
int kb_caller_session_needs_primary(const kb_caller_session_t *session);

KB_END_DECLS

#endif
