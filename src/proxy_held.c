#include "proxy_internal.h"

#include "load/backlog_order.h"
#include "load/start_wait.h"

#include <stdlib.h>

static void refuse(kb_proxy_group_t *group, kb_held_run_t *held)
{
	kbs_run_res res = {
		.result = KB_ERR_NOT_GATE,
		.holder =
			kb_text_view(kb_name_str(&group->lease.record.holder)),
	};

	held->done(held->ctx, &res);
	free(held);
}

int kb_proxy_group_hold_run(kb_proxy_group_t *group, kbs_run_args *args,
			    kb_run_done_fn_t *done, void *ctx)
{
	kb_proxy_t *proxy = group->proxy;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_time_t time = kb_start_wait_for_lease(
		kb_name_is(&group->lease.record.holder,
			   kb_name_str(&proxy->self.name)),
		group->held_count, args->time_left_us * KB_NS_PER_US);
	kb_held_run_t *held = NULL;

	if (time > 0 && !proxy->stopping && !args->transaction &&
	    args->kind != KBS_ROLLBACK)
		held = calloc(1, sizeof(*held));
	if (!held)
		return 0;
	held->args = args;
	held->done = done;
	held->ctx = ctx;
	held->received_at = now;
	held->until = now + time;
	held->next = group->held;
	group->held = held;
	group->held_count++;
	return 1;
}

static kb_backlog_entry_t entry_of(const kb_held_run_t *held)
{
	return (kb_backlog_entry_t){
		.priority = held->args->priority,
		.objective = held->received_at +
			     held->args->objective_left_us * KB_NS_PER_US,
	};
}

static int compare(const void *a, const void *b, void *now)
{
	kb_backlog_entry_t x = entry_of(*(kb_held_run_t *const *)a);
	kb_backlog_entry_t y = entry_of(*(kb_held_run_t *const *)b);

	return kb_backlog_order_compare(&x, &y, *(kb_time_t *)now);
}

/* Puts the statements into the order in which they are taken up. */
static kb_held_run_t *sort(kb_held_run_t *held, size_t count, kb_time_t now)
{
	kb_held_run_t **all = calloc(count + 1, sizeof(*all));
	kb_held_run_t *first;

	if (!all)
		return held;
	for (size_t i = 0; held; held = held->next)
		all[i++] = held;
	qsort_r(all, count, sizeof(*all), compare, &now);
	for (size_t i = 0; i < count; i++)
		all[i]->next = all[i + 1];
	first = all[0];
	free(all);
	return first;
}

/* Queues a statement with the time that it has left. */
static void run(kb_proxy_group_t *group, kb_held_run_t *held, kb_time_t now)
{
	kb_time_t waited = (now - held->received_at) / KB_NS_PER_US;

	held->args->time_left_us -= waited;
	held->args->objective_left_us -= waited;
	kb_proxy_primary_run(group, held->args, held->done, held->ctx);
	free(held);
}

void kb_proxy_group_held_tick(kb_proxy_group_t *group, kb_time_t now)
{
	int is_serving = group->lease.role == KB_LEASE_SERVING;
	int is_holder = kb_name_is(&group->lease.record.holder,
				   kb_name_str(&group->proxy->self.name));
	kb_held_run_t *held = group->held;

	if (is_serving && held)
		held = sort(held, group->held_count, now);
	/* Callbacks may add others. */
	group->held = NULL;
	group->held_count = 0;
	while (held) {
		kb_held_run_t *next = held->next;

		if (is_serving) {
			run(group, held, now);
		} else if (!is_holder || now >= held->until) {
			refuse(group, held);
		} else {
			held->next = group->held;
			group->held = held;
			group->held_count++;
		}
		held = next;
	}
}

void kb_proxy_group_refuse_held(kb_proxy_group_t *group)
{
	while (group->held) {
		kb_held_run_t *held = group->held;

		group->held = held->next;
		refuse(group, held);
	}
	group->held_count = 0;
}
