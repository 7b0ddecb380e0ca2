#include "closed_loop.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { MAX_RUN_S = 120, PERCENT = 100, TAIL_PERCENT = 99 };

kb_time_t closed_loop_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * KB_NS_PER_S + now.tv_nsec;
}

kb_result_t closed_loop_init(closed_loop_t *loop, size_t total)
{
	memset(loop, 0, sizeof(*loop));
	loop->total = total;
	loop->latencies = calloc(total, sizeof(*loop->latencies));
	if (!loop->latencies)
		return KB_ERR_NO_MEMORY;
	loop->base = event_base_new();
	return loop->base ? KB_OK : KB_ERR_NO_MEMORY;
}

void closed_loop_finish(closed_loop_t *loop)
{
	if (loop->base)
		event_base_free(loop->base);
	free(loop->latencies);
}

int closed_loop_claim_request(closed_loop_t *loop)
{
	if (loop->sent == loop->total)
		return 0;
	loop->sent++;
	return 1;
}

void closed_loop_on_reply(closed_loop_t *loop, kb_time_t sent, int failed)
{
	loop->failed += failed != 0;
	loop->latencies[loop->answered++] = closed_loop_now() - sent;
	if (loop->answered == loop->total)
		event_base_loopbreak(loop->base);
}

static int compare(const void *a, const void *b)
{
	kb_time_t left = *(const kb_time_t *)a, right = *(const kb_time_t *)b;

	return (left > right) - (left < right);
}

static double to_us(kb_time_t time)
{
	return (double)time / (double)KB_NS_PER_US;
}

void closed_loop_run(closed_loop_t *loop, closed_loop_result_t *result)
{
	static const struct timeval limit = { MAX_RUN_S, 0 };
	kb_time_t begin = closed_loop_now();
	double seconds;
	size_t n, tail;

	event_base_loopexit(loop->base, &limit);
	event_base_dispatch(loop->base);
	seconds = (double)(closed_loop_now() - begin) / (double)KB_NS_PER_S;
	n = loop->answered;
	memset(result, 0, sizeof(*result));
	result->failed = loop->failed + loop->total - n;
	if (!n)
		return;
	qsort(loop->latencies, n, sizeof(*loop->latencies), compare);
	result->per_s = (double)n / seconds;
	result->median_us = to_us(loop->latencies[n / 2]);
	tail = n * TAIL_PERCENT / PERCENT;
	result->p99_us = to_us(loop->latencies[tail]);
}
