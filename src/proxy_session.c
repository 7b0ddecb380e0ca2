#include "proxy_statement.h"

#include "log.h"
#include "proxy_keys.h"

#include <inttypes.h>
#include <stdlib.h>

enum {
	SESSIONS_MAX = 100000,
};

void kb_proxy_session_set_retry(kb_proxy_session_t *session, kb_time_t at)
{
	if (at && !session->retry_at)
		LIST_INSERT_HEAD(&session->proxy->retries, session, retry);
	else if (!at && session->retry_at)
		LIST_REMOVE(session, retry);
	session->retry_at = at;
}

void kb_proxy_session_free(kb_proxy_session_t *session)
{
	kb_proxy_t *proxy = session->proxy;

	kb_proxy_session_set_retry(session, 0);
	if (session->next)
		session->next->prev = session->prev;
	if (session->prev)
		session->prev->next = session->next;
	else
		proxy->sessions = session->next;
	proxy->session_count--;
	kb_caller_session_finish(&session->caller);
	free(session);
}

static void session_roll_back(void *ctx, kb_caller_session_t *caller)
{
	kb_proxy_session_t *session = ctx;

	kb_proxy_roll_back_at(session->proxy, &caller->database.group,
			      &session->gate, &session->target,
			      caller->transaction);
}

static const kb_database_t *session_find(void *ctx, kb_str_t name)
{
	kb_proxy_session_t *session = ctx;

	return kb_databases_find(&session->proxy->databases, name);
}

static kb_result_t session_authenticate(void *ctx, kb_caller_session_t *caller,
					kb_str_t id)
{
	kb_proxy_session_t *session = ctx;

	return kb_proxy_keys_authenticate(session->proxy, caller, id);
}

/* Whether another host may reach a holder: the group is not known vacant. */
static int may_succeed_elsewhere(const kb_proxy_session_t *session)
{
	const kb_proxy_group_t *group = kb_proxy_session_group(session);

	return group &&
	       !kb_proxy_group_is_vacant(
		       group, kb_clock_monotonic(session->proxy->clock));
}

static void session_answer(void *ctx, const kb_query_answer_t *answer)
{
	kb_proxy_session_t *session = ctx;
	kb_query_answer_t copy = *answer;

	if (answer->state == KB_TXN_NONE)
		session->spent = 0;
	copy.try_other_host = answer->result == KB_ERR_NO_PRIMARY &&
			      may_succeed_elsewhere(session);
	if (!session->closed)
		session->answer(session->ctx, &copy);
}

void kb_proxy_session_start(kb_proxy_session_t *session)
{
	const kb_caller_session_t *caller = &session->caller;

	kb_replica_selector_init(&session->selector, &caller->database,
				 caller->committed,
				 kb_clock_monotonic(session->proxy->clock));
	kb_name_set(&session->selector.team, kb_text_str(caller->args.team));
	kb_proxy_statement_try(session);
}

static void session_run(void *ctx, kb_caller_session_t *caller)
{
	kb_proxy_session_t *session = ctx;
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	kb_proxy_group_t *group = kb_proxy_session_group(session);

	session->number++;
	session->began_at = now;
	session->deadline = now + caller->database.timeout;
	kb_proxy_session_set_retry(session, 0);
	session->attempts = 0;
	session->last_result = KB_OK;
	session->holder_hint.len = 0;
	session->followed_hint = 0;
	session->failed_replica.len = 0;
	if (group)
		kb_proxy_group_mark_used(group, now);
	if (caller->args.transaction)
		kb_proxy_statement_try(session);
	else if (kb_proxy_loans_admit(session))
		kb_proxy_session_start(session);
}

static const kb_caller_session_ops_t session_ops = {
	.run = session_run,
	.roll_back = session_roll_back,
	.find = session_find,
	.authenticate = session_authenticate,
	.answer = session_answer,
};

kb_result_t kb_proxy_session_open(kb_proxy_session_t **out, kb_proxy_t *proxy,
				  kb_str_t database, kb_str_t key,
				  kb_proxy_answer_fn_t *answer, void *ctx)
{
	kb_proxy_session_t *session;
	kb_result_t result;

	if (!proxy->databases.version || proxy->session_count >= SESSIONS_MAX) {
		proxy->stats.sessions_refused++;
		return KB_ERR_OVERLOADED;
	}
	session = calloc(1, sizeof(*session));
	if (!session)
		return KB_ERR_NO_MEMORY;
	session->proxy = proxy;
	session->answer = answer;
	session->ctx = ctx;
	result = kb_caller_session_init(&session->caller, &session_ops, session,
					database, key);
	if (result) {
		proxy->stats.sessions_refused++;
		if (result == KB_ERR_NOT_FOUND)
			kb_log(KB_EVENT_SESSION_REFUSED,
			       "database=%.*s version=%" PRIu64,
			       KB_STR_ARG(database), proxy->databases.version);
		free(session);
		return result;
	}
	session->next = proxy->sessions;
	if (proxy->sessions)
		proxy->sessions->prev = session;
	proxy->sessions = session;
	proxy->session_count++;
	proxy->stats.sessions++;
	*out = session;
	return KB_OK;
}

void kb_proxy_session_close(kb_proxy_session_t *session)
{
	session->closed = 1;
	kb_proxy_session_set_retry(session, 0);
	kb_proxy_loans_leave(session);
	if (!session->outstanding)
		kb_proxy_session_free(session);
}

void kb_proxy_session_query(kb_proxy_session_t *session,
			    const kb_query_t *query)
{
	kb_caller_session_query(&session->caller, query);
}

kb_txn_state_t kb_proxy_session_state(const kb_proxy_session_t *session)
{
	return session->caller.state;
}

void kb_proxy_sessions_tick(kb_proxy_t *proxy, kb_time_t now)
{
	struct kb_proxy_retries due = LIST_HEAD_INITIALIZER(due);
	kb_proxy_session_t *session = LIST_FIRST(&proxy->retries);

	while (session) {
		kb_proxy_session_t *next = LIST_NEXT(session, retry);

		if (now >= session->retry_at) {
			LIST_REMOVE(session, retry);
			LIST_INSERT_HEAD(&due, session, retry);
		}
		session = next;
	}
	/* An attempt may close sessions or schedule them again. */
	while ((session = LIST_FIRST(&due))) {
		kb_proxy_session_set_retry(session, 0);
		if (session->selector.exhausted)
			kb_replica_selector_reset(&session->selector);
		kb_proxy_statement_try(session);
	}
}
