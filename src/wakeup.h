#ifndef KB_WAKEUP_H
#define KB_WAKEUP_H

#include "kumquatbridge.h"

struct event;
struct event_base;

KB_BEGIN_DECLS

/* A timer of the loop that fires once at the earliest time asked for. */
typedef struct kb_wakeup {
	struct event *timer;
	kb_clock_t *clock;
	/* When it fires, or KB_TIME_NEVER. */
	kb_time_t at;
	void (*fired)(void *ctx, kb_time_t now);
	void *ctx;
} kb_wakeup_t;

/* Initializes `wakeup`, which does not fire before it is scheduled. */
kb_result_t kb_wakeup_init(kb_wakeup_t *wakeup, struct event_base *loop,
			   kb_clock_t *clock,
			   void (*fired)(void *ctx, kb_time_t now), void *ctx);

/* Ends `wakeup`; harmless on zeroed memory. */
void kb_wakeup_finish(kb_wakeup_t *wakeup);

/* Lets it fire at `at`, or earlier if that was asked for before. */
void kb_wakeup_schedule(kb_wakeup_t *wakeup, kb_time_t at);

/* Lets it fire at `at` whatever was asked for before. */
void kb_wakeup_reschedule(kb_wakeup_t *wakeup, kb_time_t at);

KB_END_DECLS

#endif
