#include "kumquatbridge.h"

#include <time.h>

static kb_time_t read_clock(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return now.tv_sec * KB_NS_PER_S + now.tv_nsec;
}

static kb_time_t system_monotonic(kb_clock_t *clock)
{
	(void)clock;
	return read_clock(CLOCK_MONOTONIC);
}

static kb_time_t system_wall(kb_clock_t *clock)
{
	(void)clock;
	return read_clock(CLOCK_REALTIME);
}

static kb_time_t suspendable_monotonic(kb_clock_t *clock)
{
	(void)clock;
	return read_clock(CLOCK_BOOTTIME);
}

static const kb_clock_ops_t suspendable_ops = {
	.monotonic = suspendable_monotonic,
	.wall = system_wall,
};

static const kb_clock_ops_t system_ops = {
	.monotonic = system_monotonic,
	.wall = system_wall,
};

void kb_clock_init_system(kb_clock_t *clock)
{
	clock->ops = &system_ops;
}

void kb_clock_init_suspendable(kb_clock_t *clock)
{
	clock->ops = &suspendable_ops;
}

kb_time_t kb_clock_monotonic(kb_clock_t *clock)
{
	return clock->ops->monotonic(clock);
}

kb_time_t kb_clock_wall(kb_clock_t *clock)
{
	return clock->ops->wall(clock);
}
