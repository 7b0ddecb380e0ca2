#include "wakeup.h"

#include <event2/event.h>
#include <string.h>

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_wakeup_t *wakeup = arg;

	(void)fd;
	(void)what;
	wakeup->at = KB_TIME_NEVER;
	wakeup->fired(wakeup->ctx, kb_clock_monotonic(wakeup->clock));
}

kb_result_t kb_wakeup_init(kb_wakeup_t *wakeup, struct event_base *loop,
			   kb_clock_t *clock,
			   void (*fired)(void *ctx, kb_time_t now), void *ctx)
{
	memset(wakeup, 0, sizeof(*wakeup));
	wakeup->clock = clock;
	wakeup->at = KB_TIME_NEVER;
	wakeup->fired = fired;
	wakeup->ctx = ctx;
	wakeup->timer = evtimer_new(loop, on_timer, wakeup);
	return wakeup->timer ? KB_OK : KB_ERR_NO_MEMORY;
}

void kb_wakeup_finish(kb_wakeup_t *wakeup)
{
	if (wakeup->timer)
		event_free(wakeup->timer);
	wakeup->timer = NULL;
}

static void arm(kb_wakeup_t *wakeup)
{
	kb_time_t delay = wakeup->at - kb_clock_monotonic(wakeup->clock);
	struct timeval timeout;

	if (delay < 0)
		delay = 0;
	/* Rounded up to a whole microsecond, so that it never fires early. */
	delay += KB_NS_PER_US - 1;
	timeout.tv_sec = delay / KB_NS_PER_S;
	timeout.tv_usec = delay % KB_NS_PER_S / KB_NS_PER_US;
	event_add(wakeup->timer, &timeout);
}

void kb_wakeup_schedule(kb_wakeup_t *wakeup, kb_time_t at)
{
	if (at >= wakeup->at)
		return;
	wakeup->at = at;
	arm(wakeup);
}

void kb_wakeup_reschedule(kb_wakeup_t *wakeup, kb_time_t at)
{
	wakeup->at = at;
	if (at == KB_TIME_NEVER)
		event_del(wakeup->timer);
	else
		arm(wakeup);
}
