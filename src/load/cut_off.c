#include "cut_off.h"

int kb_cut_off_decide(const kb_cut_off_view_t *view)
{
	unsigned majority = view->voters / 2 + 1;

	return view->voters && view->silent >= majority &&
	       view->unserved >= KB_CUT_OFF_UNSERVED_MIN_MS * KB_NS_PER_MS;
}

int kb_cut_off_should_hold(int holder_is_silent, kb_time_t unserved)
{
	return holder_is_silent &&
	       unserved >= KB_CUT_OFF_DOUBT_MS * KB_NS_PER_MS;
}
