#include "change_runner.h"

static kb_time_t now_of(const kb_change_runner_t *runner)
{
	return kb_clock_monotonic(runner->clock);
}

static void set_timer(kb_change_runner_t *runner, kb_time_t delay)
{
	struct timeval wait = { delay / KB_NS_PER_S,
				delay % KB_NS_PER_S / KB_NS_PER_US };

	event_add(runner->timer, &wait);
}

/*
 * Reports from the event loop that a store call could not be started, because
 * an operation must not call back into the change.
 */
static void fail_later(kb_change_runner_t *runner, kb_result_t result)
{
	runner->start_error = result;
	set_timer(runner, 0);
}

static void on_read(void *ctx, kb_result_t result,
		    const kb_store_range_t *range)
{
	kb_change_runner_t *runner = ctx;

	kb_change_on_read(&runner->change, result, range, now_of(runner));
}

static void on_written(void *ctx, kb_result_t result,
		       const kb_store_written_t *written)
{
	kb_change_runner_t *runner = ctx;

	kb_change_on_written(&runner->change, result, written, now_of(runner));
}

static void op_read(void *ctx, kb_str_t key)
{
	kb_change_runner_t *runner = ctx;
	kb_store_keys_t keys = { .key = key };
	kb_result_t result =
		runner->store->ops->get(runner->store, &keys, on_read, runner);

	if (result != KB_OK)
		fail_later(runner, KB_ERR_OVERLOADED);
}

static void op_put(void *ctx, const kb_store_write_t *write)
{
	kb_change_runner_t *runner = ctx;
	kb_result_t result = runner->store->ops->put(runner->store, write,
						     on_written, runner);

	if (result != KB_OK)
		fail_later(runner, KB_ERR_OVERLOADED);
}

static void op_remove(void *ctx, const kb_store_write_t *write)
{
	kb_change_runner_t *runner = ctx;
	kb_result_t result = runner->store->ops->remove(runner->store, write,
							on_written, runner);

	if (result != KB_OK)
		fail_later(runner, KB_ERR_OVERLOADED);
}

static void op_wait(void *ctx, kb_time_t delay)
{
	set_timer(ctx, delay);
}

static void op_done(void *ctx, const kb_change_outcome_t *outcome)
{
	kb_change_runner_t *runner = ctx;

	runner->is_done = 1;
	runner->done(runner->ctx, outcome);
}

static const kb_change_ops_t runner_ops = {
	.read = op_read,
	.put = op_put,
	.remove = op_remove,
	.wait = op_wait,
	.done = op_done,
};

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	kb_change_runner_t *runner = ctx;
	kb_result_t start_error = runner->start_error;

	(void)fd;
	(void)what;
	runner->start_error = KB_OK;
	if (start_error == KB_OK)
		kb_change_on_timer(&runner->change);
	else if (runner->change.step == KB_CHANGE_WRITE)
		kb_change_on_written(&runner->change, start_error, NULL,
				     now_of(runner));
	else
		kb_change_on_read(&runner->change, start_error, NULL,
				  now_of(runner));
}

kb_result_t kb_change_runner_init(kb_change_runner_t *runner,
				  struct event_base *base, kb_store_t *store,
				  kb_clock_t *clock,
				  const kb_change_request_t *request,
				  kb_change_runner_done_fn_t *done, void *ctx)
{
	kb_result_t result;

	memset(runner, 0, sizeof(*runner));
	runner->store = store;
	runner->clock = clock;
	runner->done = done;
	runner->ctx = ctx;
	result = kb_change_init(&runner->change, &runner_ops, runner, request);
	if (result != KB_OK)
		return result;
	runner->timer = event_new(base, -1, 0, on_timer, runner);
	if (runner->timer)
		return KB_OK;
	kb_change_finish(&runner->change);
	return KB_ERR_NO_MEMORY;
}

void kb_change_runner_finish(kb_change_runner_t *runner)
{
	if (!runner->is_done)
		runner->store->ops->cancel(runner->store, runner);
	event_free(runner->timer);
	kb_change_finish(&runner->change);
}

void kb_change_runner_start(kb_change_runner_t *runner)
{
	kb_change_start(&runner->change);
}
