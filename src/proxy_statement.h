#ifndef KB_PROXY_STATEMENT_H
#define KB_PROXY_STATEMENT_H

#include "replica_selector.h"

KB_BEGIN_DECLS

struct kb_proxy_session {
	kb_proxy_t *proxy;
	kb_proxy_session_t *next;
	kb_proxy_session_t *prev;
	kb_caller_session_t caller;
	kb_proxy_answer_fn_t *answer;
	void *ctx;
	/* Attempts in flight, of this statement and of earlier ones. */
	unsigned outstanding;
	int closed;
	/* Host and target at which the open transaction runs. */
	kb_name_t gate;
	kb_name_t target;
	/* The current statement. */
	uint64_t number;
	kb_time_t began_at;
	kb_time_t deadline;
	/* Time that the transaction has spent in statements. */
	kb_time_t spent;
	/* When to try again, or 0; sessions that will are in a list. */
	kb_time_t retry_at;
	LIST_ENTRY(kb_proxy_session) retry;
	kb_replica_selector_t selector;
	kb_proxy_path_t path;
	unsigned attempts;
	kb_result_t last_result;
	/* Replica that answered the read with an error, or empty. */
	kb_name_t failed_replica;
	/* Holder named by a host that does not hold the group, or empty. */
	kb_name_t holder_hint;
	/* The last attempt was sent to that host. */
	int followed_hint;
	/* The team for whose loan the session waits, or NULL. */
	kb_proxy_team_t *loan_team;
	kb_proxy_session_t *loan_next;
	kb_proxy_session_t *loan_prev;
	/* The wait ends then. */
	kb_time_t loan_until;
	/* The operation that the statement uses. */
	kb_allowance_ticket_t ticket;
};

/* Starts the current statement, which the limit of its team allows. */
void kb_proxy_session_start(kb_proxy_session_t *session);

/* Sets the time of the next attempt; 0 for none. */
void kb_proxy_session_set_retry(kb_proxy_session_t *session, kb_time_t at);

/* Starts the next attempt at the current statement. */
void kb_proxy_statement_try(kb_proxy_session_t *session);

/* Ends the statement; `res` may be NULL if no gate answered. */
void kb_proxy_statement_finish(kb_proxy_session_t *session,
			       const kbs_run_res *res, kb_result_t result,
			       const char *message);

/* Returns the statement's result if the call to the gate failed. */
kb_result_t kb_proxy_statement_call_result(const kb_proxy_session_t *session,
					   kb_result_t result);

/*
 * Whether no holder of the group has been reachable for longer than a change of
 * the holder and a promotion take. Another host may reach one.
 */
int kb_proxy_statement_is_unservable(const kb_proxy_session_t *session,
				     kb_time_t now);

/*
 * Handles the end of an attempt: answers the caller, or starts or schedules
 * another attempt. `res` is NULL if no gate answered.
 */
void kb_proxy_statement_on_result(kb_proxy_session_t *session,
				  const kbs_run_res *res, kb_result_t result);

/* Returns the group of the current statement, or NULL. */
kb_proxy_group_t *kb_proxy_session_group(const kb_proxy_session_t *session);

/* Asks a gate to roll a transaction back; the reply is ignored. */
void kb_proxy_roll_back_at(kb_proxy_t *proxy, const kb_name_t *group,
			   const kb_name_t *gate, const kb_name_t *target,
			   uint64_t transaction);

/* Frees a session that is closed and has no attempt in flight. */
void kb_proxy_session_free(kb_proxy_session_t *session);

KB_END_DECLS

#endif
