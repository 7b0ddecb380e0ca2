#include "stride.h"

void kb_stride_join(kb_stride_t *party, const kb_stride_clock_t *clock,
		    kb_time_t credit)
{
	kb_time_t least = clock->virtual_time - credit;

	if (party->virtual_time < least)
		party->virtual_time = least;
}

void kb_stride_advance(kb_stride_clock_t *clock, const kb_stride_t *party)
{
	if (clock->virtual_time < party->virtual_time)
		clock->virtual_time = party->virtual_time;
}

void kb_stride_charge(kb_stride_t *party, kb_time_t service, unsigned weight)
{
	party->virtual_time += service / (kb_time_t)weight;
}

kb_time_t kb_stride_lead(const kb_stride_t *party,
			 const kb_stride_clock_t *clock)
{
	return party->virtual_time - clock->virtual_time;
}

int kb_stride_before(const kb_stride_t *a, const kb_stride_t *b)
{
	return a->virtual_time < b->virtual_time;
}

kb_time_t kb_stride_expected(kb_time_t own, kb_time_t total, unsigned weight,
			     unsigned weights)
{
	kb_time_t expected = own * (kb_time_t)weights / (kb_time_t)weight;

	return expected < total ? expected : total;
}
