#ifndef KB_CALLER_API_H
#define KB_CALLER_API_H

#include "account.h"
#include "catalog.h"
#include "class_durations.h"
#include "problem.h"
#include "router.h"
#include "token.h"
#include "trace.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;
struct evbuffer;

KB_BEGIN_DECLS

#define KB_CALLER_API_RESULTS_MAX 512

/* Counters of the caller interface. */
typedef struct kb_caller_api_counters {
	uint64_t requests;
	/* Answers by result code. */
	uint64_t results[KB_CALLER_API_RESULTS_MAX];
} kb_caller_api_counters_t;

/* The HTTP interface for callers. */
typedef struct kb_caller_api {
	struct evhttp *http;
	/* NULL once no connection is accepted any more. */
	struct evhttp_bound_socket *listener;
	/* Port that it listens on. */
	uint16_t port;
	const kb_settings_t *settings;
	kb_clock_t *clock;
	kb_router_t *router;
	const kb_catalog_t *catalog;
	kb_token_keyring_t keys;
	kb_accounts_t accounts;
	/* May be NULL. */
	kb_trace_t *trace;
	/* Requests in flight, in all and for each caller. */
	size_t active;
	size_t caller_active[KB_SETTINGS_CALLERS_MAX];
	/* New work is refused from `refuse_from` on. */
	int draining;
	kb_time_t refuse_from;
	kb_caller_api_counters_t counters;
	kb_class_durations_t durations;
	/* Appends the metrics of the host to `out`. */
	void (*metrics)(void *ctx, struct evbuffer *out);
	void *metrics_ctx;
} kb_caller_api_t;

/* Listens for callers. Returns KB_ERR_IO if the address is not usable. */
kb_result_t kb_caller_api_init(kb_caller_api_t *api, struct event_base *loop,
			       const kb_settings_t *settings, kb_clock_t *clock,
			       kb_router_t *router,
			       const kb_catalog_t *catalog);
void kb_caller_api_finish(kb_caller_api_t *api);

/*
 * Begins or ends a drain. The health check fails and every answer closes its
 * connection at once; new work is refused a little later, when the balancer
 * and the callers had time to go elsewhere. Open transactions go on.
 */
void kb_caller_api_set_draining(kb_caller_api_t *api, int draining);

/*
 * Lets the connection end with the answer that follows while the host drains,
 * so that the caller turns to another host.
 */
void kb_caller_api_close_if_draining(const kb_caller_api_t *api,
				     struct evhttp_request *http);

/* Answers with a problem and counts it. */
void kb_caller_api_problem(kb_caller_api_t *api, struct evhttp_request *http,
			   const kb_problem_t *problem);

/* The same with the standard status of `result`. */
void kb_caller_api_refuse(kb_caller_api_t *api, struct evhttp_request *http,
			  kb_result_t result, const char *detail);

/* Counts out a request of the account `caller`. */
void kb_caller_api_release(kb_caller_api_t *api, size_t caller);

/* Accepts no more connections; those that are open go on. */
void kb_caller_api_close_listener(kb_caller_api_t *api);

KB_END_DECLS

#endif
