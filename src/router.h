#ifndef KB_ROUTER_H
#define KB_ROUTER_H

#include "call.h"
#include "group_hint.h"
#include "hosts.h"
#include "load/bandwidth_limiter.h"
#include "load/retry_budget.h"
#include "trace.h"

struct event_base;

KB_BEGIN_DECLS

typedef struct kb_router kb_router_t;

/* Called with the answer to a request that was executed at a gate. */
typedef void kb_gate_done_fn_t(void *ctx, const kbx_execute_res *res);

/* Callbacks of a router to its host. */
typedef struct kb_router_ops {
	/* Returns the host that is the gate of target `index`, or NULL. */
	kb_host_t *(*gate_host)(kb_router_t *router,
				const kb_group_spec_t *group, size_t index);
	/*
	 * Executes a request at this host's own gate. `done` is called once,
	 * possibly before this returns. `args` stays valid until then.
	 */
	void (*execute)(kb_router_t *router, const kbx_execute_args *args,
			kb_gate_done_fn_t *done, void *ctx);
	/* A call to `host` failed. */
	void (*call_failed)(kb_router_t *router, kb_host_t *host);
} kb_router_ops_t;

/* Counters of a router. */
typedef struct kb_router_counters {
	uint64_t local;
	uint64_t forwarded;
	uint64_t retries;
	/* Bytes of requests and answers to and from other regions. */
	uint64_t region_bytes;
	uint64_t region_waits;
	uint64_t replica_reads;
	uint64_t primary_reads;
} kb_router_counters_t;

/*
 * Sends each request of a caller to the gate of a suitable target, and retries
 * it at the same or another target if it did not run or is safe to repeat.
 */
struct kb_router {
	const kb_router_ops_t *ops;
	struct event_base *loop;
	kb_clock_t *clock;
	kb_hosts_t *hosts;
	const kb_catalog_t *catalog;
	kb_hint_table_t hints;
	kb_retry_budget_t budget;
	kb_bandwidth_limiter_t link;
	kb_router_counters_t counters;
	size_t active;
	/* Calls in progress. */
	struct kb_router_job *jobs;
	/* May be NULL. */
	kb_trace_t *trace;
};

void kb_router_init(kb_router_t *router, const kb_router_ops_t *ops,
		    struct event_base *loop, kb_clock_t *clock,
		    kb_hosts_t *hosts, const kb_catalog_t *catalog,
		    uint64_t link_bytes_per_s);

/*
 * Ends the calls that wait to be sent. No call may be at a gate or at another
 * host.
 */
void kb_router_finish(kb_router_t *router);

/* Routes a call. Its `done` is called once, possibly before this returns. */
void kb_router_submit(kb_router_t *router, kb_call_t *call);

KB_END_DECLS

#endif
