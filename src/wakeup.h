#ifndef KB_WAKEUP_H
#define KB_WAKEUP_H

#include "kumquatbridge.h"

struct event;
struct event_base;

KB_BEGIN_DECLS

/* A one-shot timer that fires at the earliest of the scheduled times. */
typedef struct kb_wakeup {
	struct event *timer;
	kb_clock_t *clock;
	/* Time at which it fires, or KB_TIME_NEVER. */
	kb_time_t at;
	void (*fired)(void *ctx, kb_time_t now);
	void *ctx;
} kb_wakeup_t;

/* Initializes `wakeup`, which does not fire before it is scheduled. */
kb_result_t kb_wakeup_init(kb_wakeup_t *wakeup, struct event_base *loop,
			   kb_clock_t *clock,
			   void (*fired)(void *ctx, kb_time_t now), void *ctx);

/* Frees the timer; allowed on zeroed memory. */
void kb_wakeup_finish(kb_wakeup_t *wakeup);

/* Schedules the timer at `at` unless it is due earlier already. */
void kb_wakeup_schedule(kb_wakeup_t *wakeup, kb_time_t at);

/* Schedules the timer at `at`, which replaces an earlier schedule. */
void kb_wakeup_reschedule(kb_wakeup_t *wakeup, kb_time_t at);

KB_END_DECLS

#endif
