#include "move_time.h"

int kb_move_time_has_come(kb_time_t wanted, unsigned waiting, unsigned slots)
{
	if (wanted < KB_MOVE_TIME_WANTED_S * KB_NS_PER_S)
		return 0;
	return waiting < slots || wanted >= KB_MOVE_TIME_MAX_S * KB_NS_PER_S;
}
