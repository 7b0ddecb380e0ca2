#ifndef KB_POOL_CONN_INTERNAL_H
#define KB_POOL_CONN_INTERNAL_H

#include "pool_conn.h"

KB_BEGIN_DECLS

/* What a connection's life and the answers on it share. */

/* What the target answers and when the connection ends. */
extern const kb_link_events_t kb_pool_conn_events;

/* Whether an order of this kind is a statement's own text or its COMMIT. */
int kb_pool_command_is_statement(kb_link_command_kind_t kind);

/* Puts a connection that is not closed into a state. */
void kb_pool_conn_set_state(kb_pool_conn_t *conn, kb_pool_conn_state_t state);

/* Sends the order that the connection's job needs next. */
void kb_pool_conn_send_next(kb_pool_conn_t *conn);

/* Result of a statement whose answer will not come. */
kb_result_t kb_pool_conn_lost_result(const kb_pool_job_t *job);

/* Ends the job of a connection that was lost, or lets it wait again. */
void kb_pool_conn_retry_or_fail(kb_pool_conn_t *conn, const char *message);

KB_END_DECLS

#endif
