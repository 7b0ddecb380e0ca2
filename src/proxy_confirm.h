#ifndef KB_PROXY_CONFIRM_H
#define KB_PROXY_CONFIRM_H

#include "load/link_pool.h"

KB_BEGIN_DECLS

struct kb_proxy_group;

typedef struct kb_commit_wait kb_commit_wait_t;

/*
 * Runs a statement on the group's primary, which this host serves. While an
 * order to promote another target is open, success of a commit is reported once
 * the monitor has confirmed it, and as KB_ERR_UNKNOWN if that does not happen
 * in the statement's time. If nothing can be confirmed, statements that would
 * need it are refused with KB_ERR_NO_PRIMARY before they run.
 */
void kb_proxy_primary_run(struct kb_proxy_group *group,
			  const kbs_run_args *args, kb_run_done_fn_t *done,
			  void *ctx);

/* Reports the commits that are confirmed, or can't be any more. */
void kb_proxy_confirm_tick(struct kb_proxy_group *group, kb_time_t now);

/* Ends all waits with KB_ERR_UNKNOWN. */
void kb_proxy_confirm_end_all(struct kb_proxy_group *group);

KB_END_DECLS

#endif
