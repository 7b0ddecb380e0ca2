#include "backlog_order.h"

static int compare_times(kb_time_t a, kb_time_t b)
{
	return (a > b) - (a < b);
}

int kb_backlog_order_compare(const kb_backlog_entry_t *a,
			     const kb_backlog_entry_t *b, kb_time_t now)
{
	int a_late = a->objective < now;
	int b_late = b->objective < now;

	if (a_late != b_late)
		return a_late - b_late;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return a_late ? compare_times(b->objective, a->objective)
		      : compare_times(a->objective, b->objective);
}
