#include "return_pace.h"

kb_time_t kb_return_pace_next(kb_return_pace_t *pace, kb_time_t queue_time,
			      kb_time_t interval, kb_time_t now)
{
	kb_time_t last = now + KB_RETURN_PACE_MAX_MS * KB_NS_PER_MS;
	kb_time_t turn = now + queue_time;

	if (pace->last_turn > turn)
		turn = pace->last_turn;
	turn += interval;
	if (turn > last)
		turn = last;
	pace->last_turn = turn;
	return turn - now;
}
