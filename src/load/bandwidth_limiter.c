#include "bandwidth_limiter.h"

void kb_bandwidth_limiter_init(kb_bandwidth_limiter_t *limiter,
			       const kb_bandwidth_limiter_settings_t *settings,
			       kb_time_t now)
{
	limiter->settings = *settings;
	limiter->bytes = (int64_t)settings->burst_bytes;
	limiter->filled_at = now;
}

static void refill(kb_bandwidth_limiter_t *limiter, kb_time_t now)
{
	double seconds =
		(double)(now - limiter->filled_at) / (double)KB_NS_PER_S;
	double gained = seconds * (double)limiter->settings.bytes_per_s;
	double room =
		(double)limiter->settings.burst_bytes - (double)limiter->bytes;

	/* Time worth less than a byte is carried over to the next call. */
	if (gained < 1)
		return;
	limiter->bytes += (int64_t)(gained < room ? gained : room);
	limiter->filled_at = now;
}

kb_time_t kb_bandwidth_limiter_wait(kb_bandwidth_limiter_t *limiter, int bulk,
				    kb_time_t now)
{
	const kb_bandwidth_limiter_settings_t *settings = &limiter->settings;
	int64_t floor = bulk ? (int64_t)settings->reserve_bytes : 0;
	int64_t missing;

	refill(limiter, now);
	if (limiter->bytes > floor)
		return 0;
	if (!settings->bytes_per_s || floor >= (int64_t)settings->burst_bytes)
		return KB_TIME_NEVER;
	missing = floor + 1 - limiter->bytes;
	return (kb_time_t)((double)missing * (double)KB_NS_PER_S /
			   (double)settings->bytes_per_s) +
	       1;
}

void kb_bandwidth_limiter_charge(kb_bandwidth_limiter_t *limiter,
				 uint64_t bytes, kb_time_t now)
{
	refill(limiter, now);
	limiter->bytes -= (int64_t)bytes;
}
