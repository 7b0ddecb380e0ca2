#include "proxy_statement.h"

#include "log.h"

#include <inttypes.h>

enum {
	/* Pause before a statement that found no primary is tried again. */
	RETRY_PAUSE_MS = 30,
	/* A retry that would begin later than this before the end is none. */
	RETRY_MIN_MS = 20,
	/* Callers are asked to come back after this time without a primary. */
	NO_PRIMARY_RETRY_MS = 500,
	/* A group is held again by then unless this host is cut off. */
	NO_HOLDER_MS = 2500,
};

void kb_proxy_statement_finish(kb_proxy_session_t *session,
			       const kbs_run_res *res, kb_result_t result,
			       const char *message)
{
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	kbs_run_res none = { .result = (int)result,
			     .message = kb_text_view(kb_str_from(message)) };

	session->number++;
	session->retry_at = 0;
	session->spent += now - session->began_at;
	if (!res) {
		none.retry_us = NO_PRIMARY_RETRY_MS * 1000;
		res = &none;
	}
	kb_proxy_stats_add(&session->proxy->stats, session->path,
			   (kb_result_t)res->result, now - session->began_at);
	if (res->result)
		kb_log(KB_EVENT_REQUEST_FAILED,
		       "id=%.*s group=%.*s kind=%d txn=%" PRIu64
		       " result=%s last=%s attempts=%u target=%s gate=%s"
		       " ms=%" PRId64 " timeout_ms=%" PRId64 " include=%" PRIu64
		       ".%" PRIu64 " stamp_age_ms=%" PRId64 " offered=%d",
		       KB_STR_ARG(kb_text_str(session->session.args.id)),
		       KB_STR_ARG(kb_text_str(session->session.args.group)),
		       (int)session->session.args.kind,
		       (uint64_t)session->session.args.transaction,
		       kb_result_name((kb_result_t)res->result),
		       kb_result_name(session->last), session->attempts,
		       session->target.data, session->gate.data,
		       (now - session->began_at) / KB_NS_PER_MS,
		       session->session.database.timeout / KB_NS_PER_MS,
		       session->choice.include.term,
		       session->choice.include.position,
		       session->choice.stamp_age / KB_NS_PER_MS, res->offered);
	kb_caller_session_on_result(&session->session, res);
}

/* Whether the statement may go elsewhere after `result`: it left nothing. */
static int may_retry(const kb_proxy_session_t *session, kb_result_t result)
{
	const kbs_run_args *args = &session->session.args;

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
		/* A first statement of a transaction leaves nothing either. */
		return args->kind == KBS_READ ||
		       (args->transactional && args->kind != KBS_COMMIT);
	case KB_ERR_STATEMENT:
		/* The replica may be at fault rather than the read. */
		return session->path == KB_PROXY_PATH_REPLICA &&
		       args->kind == KBS_READ && !args->transactional &&
		       !session->failed.len;
	default:
		return 0;
	}
}

/* Another target served what a replica answered with an error. */
static void blame_failed(kb_proxy_session_t *session, kb_time_t now)
{
	kb_proxy_load_t *load = kb_proxy_load_get(
		session->proxy, kb_name_str(&session->failed));

	if (load)
		load->failed_at = now;
}

kb_result_t kb_proxy_statement_call_result(const kb_proxy_session_t *session,
					   kb_result_t result)
{
	const kbs_run_args *args = &session->session.args;
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
				NO_HOLDER_MS * KB_NS_PER_MS;
}

void kb_proxy_statement_on_result(kb_proxy_session_t *session,
				  const kbs_run_res *res, kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	int replica = session->path == KB_PROXY_PATH_REPLICA;

	session->last = result;
	session->hint.len = 0;
	if (result == KB_ERR_NOT_GATE && res && res->holder.kbs_text_len &&
	    !kb_name_is(&session->gate, kb_text_str(res->holder)) &&
	    !session->hinted) {
		session->hinted = 1;
		kb_name_set(&session->hint, kb_text_str(res->holder));
		kb_proxy_statement_try(session);
		return;
	}
	session->hinted = 0;
	if (!result && session->failed.len)
		blame_failed(session, now);
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
		       KB_STR_ARG(kb_text_str(session->session.args.id)),
		       kb_result_name(result), session->target.data,
		       session->gate.data,
		       (now - session->began_at) / KB_NS_PER_MS);
	if (result == KB_ERR_STATEMENT)
		session->failed = session->target;
	if (replica)
		kb_replica_selector_exclude(&session->choice, &session->target);
	if (!replica && kb_proxy_statement_is_unservable(session, now)) {
		kb_proxy_statement_finish(
			session, NULL, KB_ERR_NO_PRIMARY,
			"no host that holds the group is reached");
		return;
	}
	session->retry_at = now;
	if (!replica || session->choice.exhausted)
		session->retry_at += RETRY_PAUSE_MS * KB_NS_PER_MS;
	if (session->retry_at + RETRY_MIN_MS * KB_NS_PER_MS >
	    session->deadline) {
		kb_proxy_statement_finish(
			session, res && result != KB_ERR_CLOSED ? res : NULL,
			result, "no target could serve it in time");
		return;
	}
	if (session->retry_at <= now) {
		session->retry_at = 0;
		kb_proxy_statement_try(session);
	}
}
