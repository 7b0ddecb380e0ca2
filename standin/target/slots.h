#ifndef ST_SLOTS_H
#define ST_SLOTS_H

#include "kumquatbridge.h"

#include <event2/event.h>

typedef struct st_job st_job_t;

/* Limits concurrent statements; further ones are queued in order. */
typedef struct st_slots {
	struct event_base *base;
	/* 0 means no limit. */
	unsigned limit;
	unsigned busy;
	/* While set, no statement ends. */
	int stalled;
	st_job_t *first;
	st_job_t **last;
} st_slots_t;

/* A statement that is queued for a slot or occupies one. */
struct st_job {
	st_slots_t *slots;
	struct event *timer;
	void (*done)(void *ctx);
	void *ctx;
	unsigned service_ms;
	enum { ST_JOB_IDLE, ST_JOB_WAITING, ST_JOB_RUNNING } state;
	st_job_t *next;
};

void st_slots_init(st_slots_t *slots, struct event_base *base, unsigned limit);

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_job_init(st_job_t *job, st_slots_t *slots,
			void (*done)(void *ctx), void *ctx);

/* Cancels `job` if it is queued or running. */
void st_job_finish(st_job_t *job);

/* Queues `job`; calls `done` when it has occupied a slot for `service_ms`. */
void st_job_submit(st_job_t *job, unsigned service_ms);

#endif
