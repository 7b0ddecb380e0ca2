#include "proxy_statement.h"

#include "load/retry_pause.h"
#include "log.h"

#include <inttypes.h>

enum {
	/* Statements with less time left than this are not retried. */
	RETRY_TIME_LEFT_MIN_MS = 20,
	/* Callers are told to retry after this time if no target answered. */
	NO_ANSWER_RETRY_AFTER_MS = 500,
	/* A group has a holder again by then unless this host is isolated. */
	NO_HOLDER_TIMEOUT_MS = 2500,
};

void kb_proxy_statement_finish(kb_proxy_session_t *session,
			       const kbs_run_res *res, kb_result_t result,
			       const char *message)
{
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	kbs_run_res none = { .result = (int)result,
			     .message = kb_text_view(kb_str_from(message)) };

	session->number++;
	kb_proxy_session_set_retry(session, 0);
	session->spent += now - session->began_at;
	if (!res) {
		none.retry_us = NO_ANSWER_RETRY_AFTER_MS * 1000;
		res = &none;
	}
	kb_proxy_loans_end(session, res);
	kb_proxy_stats_add(&session->proxy->stats, session->path,
			   (kb_result_t)res->result, now - session->began_at);
	if (res->result)
		kb_log(KB_EVENT_REQUEST_FAILED,
		       "id=%.*s group=%.*s kind=%d txn=%" PRIu64
		       " result=%s last=%s attempts=%u target=%s gate=%s"
		       " ms=%" PRId64 " timeout_ms=%" PRId64 " include=%" PRIu64
		       ".%" PRIu64 " stamp_age_ms=%" PRId64 " offered=%d",
		       KB_STR_ARG(kb_text_str(session->caller.args.id)),
		       KB_STR_ARG(kb_text_str(session->caller.args.group)),
		       (int)session->caller.args.kind,
		       (uint64_t)session->caller.args.transaction,
		       kb_result_name((kb_result_t)res->result),
		       kb_result_name(session->last_result), session->attempts,
		       session->target.data, session->gate.data,
		       (now - session->began_at) / KB_NS_PER_MS,
		       session->caller.database.timeout / KB_NS_PER_MS,
		       session->selector.include.term,
		       session->selector.include.position,
		       session->selector.watermark_age / KB_NS_PER_MS,
		       res->offered);
	kb_caller_session_on_result(&session->caller, res);
}

/* Whether the statement had no effect and may be sent again. */
static int may_retry(const kb_proxy_session_t *session, kb_result_t result)
{
	const kbs_run_args *args = &session->caller.args;

	if (args->transaction)
		return 0;
	switch (result) {
	case KB_ERR_NOT_GATE:
	case KB_ERR_UNREACHABLE:
	case KB_ERR_NO_PRIMARY:
	case KB_ERR_READ_ONLY:
	case KB_ERR_DRAINING:
	case KB_ERR_WRONG_TARGET:
	case KB_ERR_NOT_FRESH:
		return 1;
	case KB_ERR_OVERLOADED:
	case KB_ERR_DEADLINE:
		return session->path == KB_PROXY_PATH_REPLICA;
	case KB_ERR_CLOSED:
	case KB_ERR_TIMEOUT:
	case KB_ERR_PROTOCOL:
	case KB_ERR_ROLLED_BACK:
		/* A transaction's first statement has no effect on its own. */
		return args->kind == KBS_READ ||
		       (args->transactional && args->kind != KBS_COMMIT);
	case KB_ERR_STATEMENT:
		/* The fault may be the replica's: try another one once. */
		return session->path == KB_PROXY_PATH_REPLICA &&
		       args->kind == KBS_READ && !args->transactional &&
		       !session->failed_replica.len;
	default:
		return 0;
	}
}

/* Time of the next attempt; the last one is made shortly before the deadline.
 */
static kb_time_t next_attempt_at(const kb_proxy_session_t *session,
				 kb_time_t now)
{
	kb_time_t at = now + kb_retry_pause(now - session->began_at);
	kb_time_t last =
		session->deadline - RETRY_TIME_LEFT_MIN_MS * KB_NS_PER_MS;

	return at > last && now + KB_RETRY_PAUSE_MIN_MS * KB_NS_PER_MS <= last
		       ? last
		       : at;
}

/* Marks a replica as failed that rejected what another target served. */
static void mark_failed(kb_proxy_session_t *session, kb_time_t now)
{
	kb_proxy_load_t *load = kb_proxy_load_get(
		session->proxy, kb_name_str(&session->failed_replica));

	if (load)
		load->failed_at = now;
}

kb_result_t kb_proxy_statement_call_result(const kb_proxy_session_t *session,
					   kb_result_t result)
{
	const kbs_run_args *args = &session->caller.args;
	int sent = result == KB_ERR_CLOSED || result == KB_ERR_TIMEOUT ||
		   result == KB_ERR_PROTOCOL;

	if (!sent)
		return args->transaction ? KB_ERR_ROLLED_BACK
					 : KB_ERR_UNREACHABLE;
	if (args->kind == KBS_COMMIT ||
	    (args->kind == KBS_WRITE && !args->transactional))
		return KB_ERR_UNKNOWN;
	return args->transaction ? KB_ERR_ROLLED_BACK : KB_ERR_CLOSED;
}

int kb_proxy_statement_is_unservable(const kb_proxy_session_t *session,
				     kb_time_t now)
{
	const kb_proxy_group_t *group = kb_proxy_session_group(session);

	return group && kb_proxy_group_unserved_time(group, now) >
				NO_HOLDER_TIMEOUT_MS * KB_NS_PER_MS;
}

void kb_proxy_statement_on_result(kb_proxy_session_t *session,
				  const kbs_run_res *res, kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	int replica = session->path == KB_PROXY_PATH_REPLICA;
	kb_time_t retry_at = now;

	session->last_result = result;
	session->holder_hint.len = 0;
	if (result == KB_ERR_NOT_GATE && res && res->holder.kbs_text_len &&
	    !kb_name_is(&session->gate, kb_text_str(res->holder)) &&
	    !session->followed_hint) {
		session->followed_hint = 1;
		kb_name_set(&session->holder_hint, kb_text_str(res->holder));
		kb_proxy_statement_try(session);
		return;
	}
	session->followed_hint = 0;
	if (!result && session->failed_replica.len)
		mark_failed(session, now);
	if (!result || !may_retry(session, result)) {
		kb_proxy_statement_finish(session, res, result,
					  "the host that serves the "
					  "target did not answer");
		return;
	}
	session->proxy->stats.retries++;
	if (session->attempts == 1)
		kb_log(KB_EVENT_REQUEST_RETRIED,
		       "id=%.*s result=%s target=%s gate=%s ms=%" PRId64,
		       KB_STR_ARG(kb_text_str(session->caller.args.id)),
		       kb_result_name(result), session->target.data,
		       session->gate.data,
		       (now - session->began_at) / KB_NS_PER_MS);
	if (result == KB_ERR_STATEMENT)
		session->failed_replica = session->target;
	if (replica)
		kb_replica_selector_exclude(&session->selector,
					    &session->target);
	if (!replica && kb_proxy_statement_is_unservable(session, now)) {
		kb_proxy_statement_finish(
			session, NULL, KB_ERR_NO_PRIMARY,
			"no host that holds the group is reached");
		return;
	}
	if (!replica || session->selector.exhausted)
		retry_at = next_attempt_at(session, now);
	if (retry_at + RETRY_TIME_LEFT_MIN_MS * KB_NS_PER_MS >
	    session->deadline) {
		kb_proxy_statement_finish(
			session, res && result != KB_ERR_CLOSED ? res : NULL,
			result, "no target could serve it in time");
		return;
	}
	if (retry_at > now)
		kb_proxy_session_set_retry(session, retry_at);
	else
		kb_proxy_statement_try(session);
}
