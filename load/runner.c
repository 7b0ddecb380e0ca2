#include "runner.h"

#include "op.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
	REQUEST_QUEUE_MAX = 65536,
	ARRIVALS_MAX = 2000000,
};

static kb_time_t now(const kl_runner_t *runner)
{
	return kb_clock_monotonic(runner->clock);
}

static void pop_idle(kl_runner_t *runner)
{
	runner->idle = runner->idle->next_idle;
	if (!runner->idle)
		runner->last_idle = &runner->idle;
}

static void add_idle(kl_runner_t *runner, kl_session_t *session)
{
	session->next_idle = NULL;
	*runner->last_idle = session;
	runner->last_idle = &session->next_idle;
}

static void start_queued(kl_runner_t *runner)
{
	while (runner->idle && runner->waiting_count) {
		kl_session_t *session = runner->idle;
		kl_queued_request_t waiting =
			runner->waiting[runner->waiting_first];

		pop_idle(runner);
		runner->waiting_first =
			(runner->waiting_first + 1) % REQUEST_QUEUE_MAX;
		runner->waiting_count--;
		runner->in_flight++;
		kl_op_start(runner, session, &waiting);
	}
}

static void enqueue(kl_runner_t *runner, const kl_queued_request_t *waiting)
{
	if (runner->waiting_count == REQUEST_QUEUE_MAX) {
		runner->stats->overrun++;
		return;
	}
	runner->waiting[(runner->waiting_first + runner->waiting_count++) %
			REQUEST_QUEUE_MAX] = *waiting;
}

static void check_done(kl_runner_t *runner)
{
	if (!runner->ended || runner->in_flight || runner->waiting_count)
		return;
	evtimer_del(runner->progress_timer);
	if (runner->stats->last_write < runner->ended_at)
		kl_stats_write(runner->stats, runner->ended_at);
	runner->done(runner->ctx);
}

void kl_runner_end(kl_runner_t *runner)
{
	if (runner->ended)
		return;
	runner->ended = 1;
	runner->ended_at = now(runner);
	evtimer_del(runner->arrival_timer);
	check_done(runner);
}

static void set_arrival_timer(kl_runner_t *runner)
{
	kb_time_t left = runner->started + runner->arrivals.next - now(runner);
	struct timeval delay;

	if (left < 0)
		left = 0;
	delay.tv_sec = left / KB_NS_PER_S;
	delay.tv_usec = left % KB_NS_PER_S / KB_NS_PER_US;
	evtimer_add(runner->arrival_timer, &delay);
}

static void on_arrival(evutil_socket_t fd, short what, void *ctx)
{
	kl_runner_t *runner = ctx;
	kb_time_t elapsed = now(runner) - runner->started;
	kb_time_t length = runner->options->seconds * KB_NS_PER_S;

	(void)fd;
	(void)what;
	while (runner->arrivals.next <= elapsed &&
	       runner->arrivals.next < length) {
		kl_queued_request_t waiting = {
			.spec = kl_arrivals_draw(&runner->arrivals),
			.arrived = runner->started + runner->arrivals.next
		};

		enqueue(runner, &waiting);
		runner->arrived++;
		kl_arrivals_advance(&runner->arrivals);
	}
	start_queued(runner);
	if (runner->arrivals.next >= length ||
	    runner->arrived >= ARRIVALS_MAX || runner->failed)
		kl_runner_end(runner);
	else
		set_arrival_timer(runner);
}

static void on_progress(evutil_socket_t fd, short what, void *ctx)
{
	const kl_runner_t *runner = ctx;
	const kl_stats_t *stats = runner->stats;
	uint64_t succeeded = 0;

	(void)fd;
	(void)what;
	for (size_t i = 0; i < stats->op_count; i++)
		succeeded += stats->ops[i].succeeded;
	fprintf(stderr,
		"\r%3lld s: %llu arrived, %llu succeeded, %zu in flight, "
		"%zu waiting, %llu retries, longest write gap %lld ms   ",
		(long long)((now(runner) - runner->started) / KB_NS_PER_S),
		(unsigned long long)runner->arrived,
		(unsigned long long)succeeded, runner->in_flight,
		runner->waiting_count, (unsigned long long)stats->retries,
		(long long)(stats->write_gap / KB_NS_PER_MS));
}

void kl_runner_enqueue_take(kl_runner_t *runner, size_t part)
{
	kl_queued_request_t waiting = { .spec = runner->options->workload->take,
					.arrived = now(runner),
					.part = part };

	enqueue(runner, &waiting);
}

void kl_runner_add_recent(kl_runner_t *runner, unsigned table, size_t write)
{
	kl_recent_t *recent = &runner->recent[table];

	recent->writes[recent->count++ % KL_RECENT_MAX] = write;
}

void kl_runner_release(kl_runner_t *runner, kl_session_t *session)
{
	add_idle(runner, session);
	runner->in_flight--;
	if (runner->failed)
		runner->waiting_count = 0;
	start_queued(runner);
	check_done(runner);
}

static kb_result_t init_timers(kl_runner_t *runner)
{
	runner->arrival_timer = evtimer_new(runner->base, on_arrival, runner);
	runner->progress_timer =
		event_new(runner->base, -1, EV_PERSIST, on_progress, runner);
	if (!runner->arrival_timer || !runner->progress_timer)
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

kb_result_t kl_runner_init(kl_runner_t *runner, struct event_base *base,
			   const kl_options_t *options, kb_clock_t *clock,
			   kl_client_t *client, kl_history_t *history,
			   kl_stats_t *stats)
{
	memset(runner, 0, sizeof(*runner));
	runner->last_idle = &runner->idle;
	runner->base = base;
	runner->options = options;
	runner->clock = clock;
	runner->client = client;
	runner->history = history;
	runner->stats = stats;
	runner->sessions = calloc(options->sessions, sizeof(kl_session_t));
	runner->waiting =
		calloc(REQUEST_QUEUE_MAX, sizeof(kl_queued_request_t));
	if (!runner->sessions || !runner->waiting || init_timers(runner) ||
	    kl_arrivals_init(&runner->arrivals, options->workload,
			     options->rate, options->seed))
		return KB_ERR_NO_MEMORY;
	for (size_t i = 0; i < options->sessions; i++) {
		runner->sessions[i].host = i % options->host_count;
		add_idle(runner, &runner->sessions[i]);
	}
	return KB_OK;
}

void kl_runner_finish(kl_runner_t *runner)
{
	for (size_t i = 0; runner->sessions && i < runner->options->sessions;
	     i++)
		free(runner->sessions[i].token);
	free(runner->sessions);
	free(runner->waiting);
	kl_arrivals_finish(&runner->arrivals);
	if (runner->arrival_timer)
		event_free(runner->arrival_timer);
	if (runner->progress_timer)
		event_free(runner->progress_timer);
}

void kl_runner_start(kl_runner_t *runner, void (*done)(void *ctx), void *ctx)
{
	static const struct timeval second = { 1, 0 };

	runner->done = done;
	runner->ctx = ctx;
	runner->started = now(runner);
	if (isatty(STDERR_FILENO))
		event_add(runner->progress_timer, &second);
	kl_arrivals_advance(&runner->arrivals);
	set_arrival_timer(runner);
}
