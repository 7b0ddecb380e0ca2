#ifndef KB_PROXY_H
#define KB_PROXY_H

#include "caller_session.h"
#include "platform_adapter.h"
#include "store.h"

struct event_base;
struct evbuffer;

KB_BEGIN_DECLS

/* What a proxy depends on; all of it must outlive the proxy. */
typedef struct kb_proxy_setup {
	const kb_settings_t *settings;
	kb_clock_t *clock;
	struct event_base *loop;
	kb_store_t *store;
	kb_link_connector_t *connector;
	kb_platform_adapter_t *platform;
} kb_proxy_setup_t;

/* Serves callers' sessions together with the other hosts of the fleet. */
typedef struct kb_proxy kb_proxy_t;

/* A caller's session on this host. */
typedef struct kb_proxy_session kb_proxy_session_t;

/*
 * Creates a proxy that listens for other hosts. Returns KB_OK and sets
 * `*proxy`, to be freed with kb_proxy_free(), or KB_ERR_IO or
 * KB_ERR_NO_MEMORY.
 */
kb_result_t kb_proxy_create(kb_proxy_t **proxy, const kb_proxy_setup_t *setup);
void kb_proxy_free(kb_proxy_t *proxy);

/*
 * Whether kb_proxy_session_open() may be called. After a start callers wait
 * until the configuration is known, for a limited time.
 */
int kb_proxy_takes_sessions(const kb_proxy_t *proxy);

/* Whether this host can serve new callers. */
int kb_proxy_is_ready(const kb_proxy_t *proxy);

/*
 * Whether groups are configured and the holder of none of them has been
 * reached for some time. Another host may then be able to serve callers.
 */
int kb_proxy_is_isolated(const kb_proxy_t *proxy);

/*
 * Starts a planned stop: hands the groups over to other hosts and lets work in
 * flight end.
 */
void kb_proxy_stop(kb_proxy_t *proxy);

/* Whether all work of a planned stop has ended. */
int kb_proxy_is_idle(const kb_proxy_t *proxy);

/* Replaces the seeds by those of reloaded settings. */
void kb_proxy_reload(kb_proxy_t *proxy, const kb_settings_t *settings);

/* Writes the metrics in the Prometheus text format. */
void kb_proxy_write_metrics(kb_proxy_t *proxy, struct evbuffer *out);

/*
 * Receives the answer to a query. Called once for each query, before or after
 * kb_proxy_session_query() returns.
 */
typedef void kb_proxy_answer_fn_t(void *ctx, const kb_query_answer_t *answer);

/*
 * Opens a session for the caller that `key` identifies; it may be empty.
 * Returns KB_OK and sets `*session`, to be closed with
 * kb_proxy_session_close(); KB_ERR_NOT_FOUND if no such database is
 * configured; KB_ERR_UNAUTHENTICATED if the key identifies nobody;
 * KB_ERR_OVERLOADED or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_proxy_session_open(kb_proxy_session_t **session,
				  kb_proxy_t *proxy, kb_str_t database,
				  kb_str_t key, kb_proxy_answer_fn_t *answer,
				  void *ctx);

/* Closes a session. A statement that still runs is not answered. */
void kb_proxy_session_close(kb_proxy_session_t *session);

/* Runs a query; the previous one must have been answered. */
void kb_proxy_session_query(kb_proxy_session_t *session,
			    const kb_query_t *query);

/* Returns the state of the session's transaction. */
kb_txn_state_t kb_proxy_session_state(const kb_proxy_session_t *session);

KB_END_DECLS

#endif
