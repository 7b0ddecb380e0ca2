#ifndef KB_PROXY_START_H
#define KB_PROXY_START_H

#include "load/link_pool.h"
#include "rpc_server.h"
#include "start_phases.h"

KB_BEGIN_DECLS

/* What waits on a host that has started until it can be served. */

struct kb_proxy;
struct kb_proxy_group;

/* A call for a watermark that waits for the first one since the start. */
typedef struct kb_watermark_waiter {
	struct kb_watermark_waiter *next;
	kb_rpc_request_t *request;
	kb_time_t answer_at;
} kb_watermark_waiter_t;

/* A statement that waits until this host, its group's next holder, serves. */
typedef struct kb_held_run {
	struct kb_held_run *next;
	kbs_run_args *args;
	kb_run_done_fn_t *done;
	void *ctx;
	kb_time_t received_at;
	kb_time_t until;
} kb_held_run_t;

/* proxy_watermark.c */
/* Answers a call for a watermark; without any since the start it waits. */
void kb_proxy_group_serve_watermark(struct kb_proxy_group *group,
				    kb_rpc_request_t *request, kb_time_t now);
/* Answers the waiting calls for which a watermark has come, or late ones. */
void kb_proxy_group_watermark_tick(struct kb_proxy_group *group, kb_time_t now);
/* Answers all waiting calls. */
void kb_proxy_group_end_watermark_calls(struct kb_proxy_group *group);

/* proxy_held.c */
/*
 * Takes a statement for a group that this host does not serve yet. Returns 0
 * if it is not to wait here.
 */
int kb_proxy_group_hold_run(struct kb_proxy_group *group, kbs_run_args *args,
			    kb_run_done_fn_t *done, void *ctx);
/* Queues the statements once the group is served; refuses others in time. */
void kb_proxy_group_held_tick(struct kb_proxy_group *group, kb_time_t now);
void kb_proxy_group_refuse_held(struct kb_proxy_group *group);

/* proxy_start.c */
/* Records the phases of the start that have been reached. */
void kb_proxy_start_tick(struct kb_proxy *proxy, kb_time_t now);
void kb_proxy_start_group_tick(struct kb_proxy_group *group, kb_time_t now);

KB_END_DECLS

#endif
