#include "slots.h"

#include "delay_queue.h"

#include <string.h>

enum { STALL_POLL_MS = 10 };

void st_slots_init(st_slots_t *slots, struct event_base *base, unsigned limit)
{
	memset(slots, 0, sizeof(*slots));
	slots->base = base;
	slots->limit = limit;
	slots->last = &slots->first;
}

static void set_timer(st_job_t *job, unsigned ms)
{
	struct timeval delay = st_timeval_from_ms(ms);

	evtimer_add(job->timer, &delay);
}

static void start(st_job_t *job)
{
	job->state = ST_JOB_RUNNING;
	job->slots->busy++;
	set_timer(job, job->service_ms);
}

static void start_next(st_slots_t *slots)
{
	st_job_t *job = slots->first;

	if (!job || (slots->limit && slots->busy >= slots->limit))
		return;
	slots->first = job->next;
	if (!slots->first)
		slots->last = &slots->first;
	start(job);
}

static void release(st_job_t *job)
{
	job->state = ST_JOB_IDLE;
	job->slots->busy--;
	start_next(job->slots);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	st_job_t *job = ctx;

	(void)fd;
	(void)what;
	if (job->slots->stalled) {
		set_timer(job, STALL_POLL_MS);
		return;
	}
	release(job);
	job->done(job->ctx);
}

kb_result_t st_job_init(st_job_t *job, st_slots_t *slots,
			void (*done)(void *ctx), void *ctx)
{
	memset(job, 0, sizeof(*job));
	job->slots = slots;
	job->done = done;
	job->ctx = ctx;
	job->timer = evtimer_new(slots->base, on_timer, job);
	return job->timer ? KB_OK : KB_ERR_NO_MEMORY;
}

static void leave_queue(st_job_t *job)
{
	st_slots_t *slots = job->slots;
	st_job_t **link = &slots->first;

	while (*link != job)
		link = &(*link)->next;
	*link = job->next;
	if (!*link)
		slots->last = link;
	job->state = ST_JOB_IDLE;
}

void st_job_finish(st_job_t *job)
{
	if (job->state == ST_JOB_WAITING)
		leave_queue(job);
	if (job->state == ST_JOB_RUNNING)
		release(job);
	if (job->timer)
		event_free(job->timer);
	job->timer = NULL;
}

void st_job_submit(st_job_t *job, unsigned service_ms)
{
	st_slots_t *slots = job->slots;

	job->service_ms = service_ms;
	job->next = NULL;
	if (!slots->limit || slots->busy < slots->limit) {
		start(job);
		return;
	}
	job->state = ST_JOB_WAITING;
	*slots->last = job;
	slots->last = &job->next;
}
