#ifndef KB_PROXY_STATEMENT_H
#define KB_PROXY_STATEMENT_H

#include "replica_selector.h"

KB_BEGIN_DECLS

struct kb_proxy_session {
	kb_proxy_t *proxy;
	kb_proxy_session_t *next;
	kb_proxy_session_t *prev;
	kb_caller_session_t session;
	kb_proxy_answer_fn_t *answer;
	void *ctx;
	/* Attempts that have not ended, of this statement or of earlier. */
	unsigned outstanding;
	int closed;
	/* Host and target at which the open transaction runs. */
	kb_name_t gate;
	kb_name_t target;
	/* The statement that runs. */
	uint64_t number;
	kb_time_t began_at;
	kb_time_t deadline;
	/* Time that the transaction has spent in statements. */
	kb_time_t spent;
	/* When to try again, or 0. */
	kb_time_t retry_at;
	kb_replica_selector_t choice;
	kb_proxy_path_t path;
	unsigned attempts;
	kb_result_t last;
	/* Replica that answered the read with an error, or empty. */
	kb_name_t failed;
	/* Holder of the group as a host said that is not, or empty. */
	kb_name_t hint;
	/* The last attempt followed it. */
	int hinted;
};

/* Makes the next attempt at the statement that runs. */
void kb_proxy_statement_try(kb_proxy_session_t *session);

/* Ends the statement; `res` may be NULL if no gate answered. */
void kb_proxy_statement_finish(kb_proxy_session_t *session,
			       const kbs_run_res *res, kb_result_t result,
			       const char *message);

/* Result if the call to the gate failed. */
kb_result_t kb_proxy_statement_call_result(const kb_proxy_session_t *session,
					   kb_result_t result);

/*
 * Whether the group has had no holder for longer than a change of the holder
 * and a promotion take. Callers may reach one from another host.
 */
int kb_proxy_statement_is_unservable(const kb_proxy_session_t *session,
				     kb_time_t now);

/*
 * Decides what follows an attempt that ended with `result`: its answer, another
 * attempt now or later, or a refusal. `res` is NULL if no gate answered.
 */
void kb_proxy_statement_on_result(kb_proxy_session_t *session,
				  const kbs_run_res *res, kb_result_t result);

/* Returns the group that the statement concerns, or NULL. */
kb_proxy_group_t *kb_proxy_session_group(const kb_proxy_session_t *session);

/* Tells a gate to roll a transaction back; nothing waits for its answer. */
void kb_proxy_roll_back_at(kb_proxy_t *proxy, const kb_name_t *group,
			   const kb_name_t *gate, const kb_name_t *target,
			   uint64_t transaction);

/* Frees a session that was closed and has no attempt left. */
void kb_proxy_session_free(kb_proxy_session_t *session);

KB_END_DECLS

#endif
