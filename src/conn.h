#ifndef KB_CONN_H
#define KB_CONN_H

#include "kumquatbridge.h"
#include "str.h"

#include <jansson.h>

KB_BEGIN_DECLS

/* A statement with its parameters in text form; NULL data is SQL NULL. */
typedef struct kb_statement {
	kb_str_t sql;
	size_t param_count;
	const kb_str_t *params;
} kb_statement_t;

#define KB_SQLSTATE_BYTES 5

/* The answer to one statement of a batch. */
typedef struct kb_answer {
	/* KB_OK, KB_ERR_STATEMENT, or KB_ERR_TOO_LARGE if rows were dropped. */
	kb_result_t result;
	/* Error code of the target, or empty. */
	char sqlstate[KB_SQLSTATE_BYTES + 1];
	/* Error text of the target, or empty. */
	kb_str_t message;
	/* Array of column names. */
	json_t *columns;
	/* Array of arrays of strings and nulls. */
	json_t *rows;
	/* Rows that the statement changed or returned. */
	uint64_t affected;
} kb_answer_t;

typedef struct kb_conn kb_conn_t;

/* Events that a connection reports to its owner. */
typedef struct kb_conn_events {
	/*
	 * The connection is open, or failed to open and is to be closed:
	 * KB_ERR_UNREACHABLE if nothing listens there, KB_ERR_OVERLOADED if
	 * the target was reached and refused it.
	 */
	void (*on_open)(kb_conn_t *conn, kb_result_t result);
	/* Statement `index` was answered; `answer` is valid until return. */
	void (*on_answer)(kb_conn_t *conn, size_t index,
			  const kb_answer_t *answer);
	/*
	 * Every statement of the batch is answered or was skipped after an
	 * error. `in_transaction` is set if a transaction is open.
	 */
	void (*on_batch_end)(kb_conn_t *conn, int in_transaction);
	/* The connection was lost; no further answers follow. */
	void (*on_lost)(kb_conn_t *conn);
} kb_conn_events_t;

/* Operations of a connection. */
typedef struct kb_conn_ops {
	/*
	 * Sends statements as one batch, which stops at the first error.
	 * Returns KB_ERR_UNREACHABLE if nothing was sent, and KB_ERR_CLOSED
	 * if the connection was lost and part of it may have been sent.
	 */
	kb_result_t (*send)(kb_conn_t *conn, const kb_statement_t *statements,
			    size_t count);
	/* Closes and frees the connection; no event follows. */
	void (*close)(kb_conn_t *conn);
} kb_conn_ops_t;

/* A connection to a target; the first member of an implementation. */
struct kb_conn {
	const kb_conn_ops_t *ops;
	const kb_conn_events_t *events;
	void *owner;
};

/* Address of a target's database, and the limit of its answers. */
typedef struct kb_conn_address {
	kb_name_t address;
	uint16_t port;
	kb_name_t database;
	/* Bytes of rows that one answer may hold. */
	size_t answer_limit_bytes;
} kb_conn_address_t;

typedef struct kb_connector kb_connector_t;

/* Operations of a connector. */
typedef struct kb_connector_ops {
	/*
	 * Starts to open a connection and sets `*conn`; on_open follows.
	 * Returns KB_ERR_NO_MEMORY or KB_ERR_UNREACHABLE.
	 */
	kb_result_t (*open)(kb_connector_t *connector,
			    const kb_conn_address_t *address,
			    const kb_conn_events_t *events, void *owner,
			    kb_conn_t **conn);
} kb_connector_ops_t;

/* Opens connections; the first member of an implementation. */
struct kb_connector {
	const kb_connector_ops_t *ops;
};

KB_END_DECLS

#endif
