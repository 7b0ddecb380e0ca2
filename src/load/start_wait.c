#include "start_wait.h"

int kb_start_wait_holds_sessions(int is_configured, kb_time_t started_at,
				 kb_time_t now)
{
	return !is_configured &&
	       now - started_at < KB_START_WAIT_SESSIONS_MS * KB_NS_PER_MS;
}

kb_time_t kb_start_wait_for_lease(int is_holder, size_t waiting,
				  kb_time_t time_left)
{
	kb_time_t most = KB_START_WAIT_LEASE_MS * KB_NS_PER_MS;

	if (!is_holder || waiting >= KB_START_WAIT_LEASE_MAX)
		return 0;
	return time_left < most ? time_left : most;
}

int kb_start_wait_holds_read(kb_time_t newest_watermark, kb_time_t began_at,
			     kb_time_t time, kb_time_t now)
{
	return !newest_watermark &&
	       now - began_at < time * KB_START_WAIT_READ_PERCENT / 100;
}
