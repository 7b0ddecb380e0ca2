#include "loop.h"

#include <event2/event.h>

void kb_loop_free(struct event_base *loop)
{
	if (!loop)
		return;
	event_base_loop(loop, EVLOOP_NONBLOCK);
	event_base_free(loop);
}
