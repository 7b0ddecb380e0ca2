#include "proxy_confirm.h"

#include "proxy_internal.h"

#include <rpc/xdr.h>
#include <stdlib.h>

/* A commit whose success is not reported yet. */
struct kb_commit_wait {
	kb_commit_wait_t *next;
	kb_proxy_group_t *group;
	kb_run_done_fn_t *done;
	void *ctx;
	kb_time_t deadline;
	/* Set once the primary has answered. */
	uint64_t term;
	kb_time_t committed_at;
	kbs_run_res res;
};

static int commits(const kbs_run_args *args)
{
	return args->kind == KBS_COMMIT ||
	       (args->kind == KBS_WRITE && !args->transactional);
}

/* Whether it opens a transaction that may write. */
static int opens_transaction(const kbs_run_args *args)
{
	return args->transactional && !args->read_only && !args->transaction;
}

static void report(kb_commit_wait_t *wait, const kbs_run_res *res)
{
	wait->done(wait->ctx, res);
	xdr_free((xdrproc_t)xdr_kbs_run_res, (char *)&wait->res);
	free(wait);
}

static void report_unknown(kb_commit_wait_t *wait)
{
	kbs_run_res res = {
		.result = KB_ERR_UNKNOWN,
		.message = kb_text_view(
			KB_STR("the primary may have been replaced meanwhile")),
		.offered = TRUE,
	};

	report(wait, &res);
}

/* Returns 0 without memory. */
static int copy_result(kbs_run_res *copy, const kbs_run_res *res)
{
	u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_kbs_run_res, (void *)res);
	char *data = malloc(size);
	XDR xdr;
	int copied = 0;

	memset(copy, 0, sizeof(*copy));
	if (!data)
		return 0;
	xdrmem_create(&xdr, data, size, XDR_ENCODE);
	if (xdr_kbs_run_res(&xdr, (kbs_run_res *)res)) {
		xdrmem_create(&xdr, data, size, XDR_DECODE);
		copied = xdr_kbs_run_res(&xdr, copy);
	}
	free(data);
	return copied;
}

static void on_ran(void *ctx, const kbs_run_res *res)
{
	kb_commit_wait_t *wait = ctx;
	kb_proxy_group_t *group = wait->group;

	if (res->result) {
		report(wait, res);
		return;
	}
	wait->committed_at = kb_clock_monotonic(group->proxy->clock);
	wait->term = group->monitor.term;
	if (!copy_result(&wait->res, res)) {
		report_unknown(wait);
		return;
	}
	wait->next = group->commit_waits;
	group->commit_waits = wait;
}

void kb_proxy_primary_run(kb_proxy_group_t *group, const kbs_run_args *args,
			  kb_run_done_fn_t *done, void *ctx)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	kb_commit_wait_t *wait;

	if (!kb_monitor_is_watching(&group->monitor) ||
	    (!commits(args) && !opens_transaction(args))) {
		kb_link_pool_run(&group->pool, args, done, ctx);
		return;
	}
	wait = commits(args) ? calloc(1, sizeof(*wait)) : NULL;
	if ((kb_monitor_is_unconfirmed(&group->monitor, now) &&
	     !args->transaction) ||
	    (commits(args) && !wait)) {
		kbs_run_res res = {
			.result = args->transaction ? KB_ERR_ROLLED_BACK
						    : KB_ERR_NO_PRIMARY,
			.message = kb_text_view(KB_STR(
				"another target may become the primary")),
		};

		free(wait);
		done(ctx, &res);
		return;
	}
	if (!wait) {
		kb_link_pool_run(&group->pool, args, done, ctx);
		return;
	}
	wait->group = group;
	wait->done = done;
	wait->ctx = ctx;
	wait->deadline = now + args->time_left_us * KB_NS_PER_US;
	kb_link_pool_run(&group->pool, args, on_ran, wait);
}

void kb_proxy_confirm_tick(kb_proxy_group_t *group, kb_time_t now)
{
	kb_commit_wait_t *wait = group->commit_waits;
	int may_serve = wait && kb_lease_may_serve(&group->lease, now);

	/* Callbacks may add others. */
	group->commit_waits = NULL;
	while (wait) {
		kb_commit_wait_t *next = wait->next;

		if (!may_serve || !group->monitor.has_primary ||
		    wait->term != group->monitor.term ||
		    now >= wait->deadline) {
			report_unknown(wait);
		} else if (kb_monitor_confirms(
				   &group->monitor, wait->committed_at,
				   kb_point_from(wait->res.point))) {
			report(wait, &wait->res);
		} else {
			wait->next = group->commit_waits;
			group->commit_waits = wait;
		}
		wait = next;
	}
}

void kb_proxy_confirm_end_all(kb_proxy_group_t *group)
{
	while (group->commit_waits) {
		kb_commit_wait_t *wait = group->commit_waits;

		group->commit_waits = wait->next;
		report_unknown(wait);
	}
}
