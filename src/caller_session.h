#ifndef KB_CALLER_SESSION_H
#define KB_CALLER_SESSION_H

#include "databases.h"
#include "link.h"
#include "session_values.h"

KB_BEGIN_DECLS

/* Kinds of requests that a caller sends to its session. */
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
	/* Deallocates the statement prepared as `name`. */
	KB_QUERY_CLOSE_STATEMENT,
	/* Could not be parsed. */
	KB_QUERY_MALFORMED,
} kb_query_verb_t;

/*
 * A request of a caller. Its strings are valid until kb_caller_session_query()
 * returns.
 */
typedef struct kb_query {
	kb_query_verb_t verb;
	kb_str_t id;
	kb_str_t name;
	/* Statement, value, or shape (the template of a statement). */
	kb_str_t body;
} kb_query_t;

/* The answer to a query. Its data is valid during the callback only. */
typedef struct kb_query_answer {
	kb_result_t result;
	kb_str_t message;
	/* Time until a retry may succeed, or 0. */
	kb_time_t retry;
	/*
	 * This host does not reach the holder of the group's lease; another
	 * host may.
	 */
	int try_other_host;
	size_t row_count;
	const kbs_text *rows;
	/* Signature of the target, or empty if no target was involved. */
	kb_str_t signature;
	kb_txn_state_t state;
	kb_point_t point;
} kb_query_answer_t;

typedef struct kb_caller_session kb_caller_session_t;

typedef struct kb_caller_session_ops {
	/*
	 * Runs the session's current statement; there is one at a time.
	 * kb_caller_session_on_result() must be called with its result,
	 * possibly before this returns.
	 */
	void (*run)(void *ctx, kb_caller_session_t *session);
	/* Rolls back the open transaction without waiting for a reply. */
	void (*roll_back)(void *ctx, kb_caller_session_t *session);
	/* Returns the current configuration of a database, or NULL. */
	const kb_database_t *(*find)(void *ctx, kb_str_t name);
	/*
	 * Sets the session's team to the one that its key identifies, or to
	 * none if no teams are configured. Returns KB_ERR_UNAUTHENTICATED if
	 * the key identifies nobody. `id` is the request's id, or empty.
	 */
	kb_result_t (*authenticate)(void *ctx, kb_caller_session_t *session,
				    kb_str_t id);
	/* Answers the query. */
	void (*answer)(void *ctx, const kb_query_answer_t *answer);
} kb_caller_session_ops_t;

/*
 * A caller's session: its values, its prepared statements and its
 * transaction. It answers a query itself or has a statement run on a target.
 */
struct kb_caller_session {
	const kb_caller_session_ops_t *ops;
	void *ctx;
	kb_name_t name;
	kb_key_digest_t key;
	/* Team when the statement or its transaction began, or empty. */
	kb_name_t team;
	/* Configuration when the statement or its transaction began. */
	kb_database_t database;
	kb_session_values_t values;
	/* Prepared statements by name: "r" or "w" and the shape. */
	kb_session_values_t prepared;
	kb_txn_state_t state;
	int read_only;
	/* The transaction has written. */
	int wrote;
	/* Id of the transaction at its gate, or 0 if none is open there. */
	uint64_t transaction;
	/* Point of the newest write that this session committed. */
	kb_point_t committed;
	/* The running statement. */
	int running;
	kbs_run_args args;
	kbs_text id;
	kbs_text shape;
	kbs_text body;
	kb_time_t txn_idle;
};

/*
 * Keeps the digest of `key`, not the key. Returns KB_ERR_NOT_FOUND if no such
 * database is configured, KB_ERR_UNAUTHENTICATED if the key identifies nobody.
 */
kb_result_t kb_caller_session_init(kb_caller_session_t *session,
				   const kb_caller_session_ops_t *ops,
				   void *ctx, kb_str_t database, kb_str_t key);

/*
 * Rolls back an open transaction and frees the session's data. No statement may
 * be running.
 */
void kb_caller_session_finish(kb_caller_session_t *session);

/* Handles a query. The previous one must have been answered. */
void kb_caller_session_query(kb_caller_session_t *session,
			     const kb_query_t *query);

/* Handles the result of the running statement. */
void kb_caller_session_on_result(kb_caller_session_t *session,
				 const kbs_run_res *res);

/* Returns non-zero if the statement must run on the primary. */
int kb_caller_session_needs_primary(const kb_caller_session_t *session);

KB_END_DECLS

#endif
