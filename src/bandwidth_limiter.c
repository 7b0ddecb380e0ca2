#include "bandwidth_limiter.h"

void kb_bandwidth_limiter_init(kb_bandwidth_limiter_t *budget,
			       const kb_bandwidth_limiter_settings_t *settings,
			       kb_time_t now)
{
	budget->settings = *settings;
	budget->bytes = (int64_t)settings->burst_bytes;
	budget->filled_at = now;
}

static void fill(kb_bandwidth_limiter_t *budget, kb_time_t now)
{
	double seconds =
		(double)(now - budget->filled_at) / (double)KB_NS_PER_S;
	double gained = seconds * (double)budget->settings.bytes_per_s;
	double room =
		(double)budget->settings.burst_bytes - (double)budget->bytes;

	/* Time that gave less than a byte is kept for the next call. */
	if (gained < 1)
		return;
	budget->bytes += (int64_t)(gained < room ? gained : room);
	budget->filled_at = now;
}

kb_time_t kb_bandwidth_limiter_wait(kb_bandwidth_limiter_t *budget, int bulk,
				    kb_time_t now)
{
	const kb_bandwidth_limiter_settings_t *settings = &budget->settings;
	int64_t floor = bulk ? (int64_t)settings->reserve_bytes : 0;
	int64_t missing;

	fill(budget, now);
	if (budget->bytes > floor)
		return 0;
	if (!settings->bytes_per_s || floor >= (int64_t)settings->burst_bytes)
		return KB_TIME_NEVER;
	missing = floor + 1 - budget->bytes;
	return (kb_time_t)((double)missing * (double)KB_NS_PER_S /
			   (double)settings->bytes_per_s) +
	       1;
}

void kb_bandwidth_limiter_charge(kb_bandwidth_limiter_t *budget, uint64_t bytes,
				 kb_time_t now)
{
	fill(budget, now);
	budget->bytes -= (int64_t)bytes;
}
