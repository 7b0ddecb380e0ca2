#include "retry_pause.h"

enum {
	/* Share of the time waited. */
	PAUSE_DIVISOR = 4,
};

kb_time_t kb_retry_pause(kb_time_t waited)
{
	kb_time_t pause = waited / PAUSE_DIVISOR;

	if (pause < KB_RETRY_PAUSE_MIN_MS * KB_NS_PER_MS)
		return KB_RETRY_PAUSE_MIN_MS * KB_NS_PER_MS;
	if (pause > KB_RETRY_PAUSE_MAX_MS * KB_NS_PER_MS)
		return KB_RETRY_PAUSE_MAX_MS * KB_NS_PER_MS;
	return pause;
}
