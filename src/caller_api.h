#ifndef KB_CALLER_API_H
#define KB_CALLER_API_H

#include "account.h"
#include "catalog.h"
#include "class_durations.h"
#include "http_connections.h"
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
	/* Responses by result code. */
	uint64_t results[KB_CALLER_API_RESULTS_MAX];
} kb_caller_api_counters_t;

/* The HTTP interface for callers. */
typedef struct kb_caller_api {
	struct evhttp *http;
	/* NULL once new connections are no longer accepted. */
	struct evhttp_bound_socket *listener;
	/* The port that `listener` is bound to. */
	uint16_t port;
	kb_http_connections_t connections;
	const kb_settings_t *settings;
	kb_clock_t *clock;
	kb_router_t *router;
	const kb_catalog_t *catalog;
	kb_token_keyring_t keys;
	kb_accounts_t accounts;
	/* May be NULL. */
	kb_trace_t *trace;
	/* Requests in flight, in total and by caller. */
	size_t active;
	size_t caller_active[KB_SETTINGS_CALLERS_MAX];
	/* While draining, new work is refused from `refuse_from` on. */
	int draining;
	kb_time_t refuse_from;
	kb_caller_api_counters_t counters;
	kb_class_durations_t durations;
	/* Appends the metrics of the host to `out`. */
	void (*metrics)(void *ctx, struct evbuffer *out);
	void *metrics_ctx;
} kb_caller_api_t;

/*
 * Starts to listen for callers. Returns KB_ERR_IO if the address cannot be
 * used.
 */
kb_result_t kb_caller_api_init(kb_caller_api_t *api, struct event_base *loop,
			       const kb_settings_t *settings, kb_clock_t *clock,
			       kb_router_t *router,
			       const kb_catalog_t *catalog);

/* Ends all connections, each with a last response, and frees the server. */
void kb_caller_api_finish(kb_caller_api_t *api);

/*
 * Starts or stops draining. While the host drains, the health check fails and
 * every response closes its connection. New work is refused only after a delay,
 * in which the load balancer and the callers can move to other hosts. Open
 * transactions continue.
 */
void kb_caller_api_set_draining(kb_caller_api_t *api, int draining);

/*
 * Makes the response close its connection if the host drains, so that the
 * caller connects to another host.
 */
void kb_caller_api_close_if_draining(const kb_caller_api_t *api,
				     struct evhttp_request *http);

/* Responds with a problem document and counts the result. */
void kb_caller_api_problem(kb_caller_api_t *api, struct evhttp_request *http,
			   const kb_problem_t *problem);

/* Responds with a problem that has the default status of `result`. */
void kb_caller_api_refuse(kb_caller_api_t *api, struct evhttp_request *http,
			  kb_result_t result, const char *detail);

/* Ends the count of a request in flight of the account `caller`. */
void kb_caller_api_release(kb_caller_api_t *api, size_t caller);

/* Stops accepting connections. Open connections are kept. */
void kb_caller_api_close_listener(kb_caller_api_t *api);

KB_END_DECLS

#endif
