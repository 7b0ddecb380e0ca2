#ifndef KB_POOL_CONN_INTERNAL_H
#define KB_POOL_CONN_INTERNAL_H

#include "pool_conn.h"

KB_BEGIN_DECLS

/* Shared by pool_conn.c and pool_conn_answer.c. */

/* Handlers of a connection's events. */
extern const kb_link_events_t kb_pool_conn_events;

/* Whether `kind` is a caller's statement or COMMIT, not a preparation. */
int kb_pool_command_is_statement(kb_link_command_kind_t kind);

/* Changes the state of a connection unless it is closed. */
void kb_pool_conn_set_state(kb_pool_conn_t *conn, kb_pool_conn_state_t state);

/* Sets the open transaction that holds a connection, or 0. */
void kb_pool_conn_set_transaction(kb_pool_conn_t *conn, uint64_t id);

/* Sends the next command of the connection's job. */
void kb_pool_conn_send_next(kb_pool_conn_t *conn);

/* Returns the result of a job that ends without an answer. */
kb_result_t kb_pool_conn_lost_result(const kb_pool_job_t *job);

/* Queues the job of a lost connection again if it has not run, or ends it. */
void kb_pool_conn_retry_or_fail(kb_pool_conn_t *conn, const char *message);

KB_END_DECLS

#endif
