#include "proxy_internal.h"

#include "load/start_wait.h"

int kb_proxy_takes_sessions(const kb_proxy_t *proxy)
{
	return !kb_start_wait_holds_sessions(proxy->databases.version != 0,
					     proxy->started_at,
					     kb_clock_monotonic(proxy->clock));
}
