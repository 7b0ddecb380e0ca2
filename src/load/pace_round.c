#include "pace_internal.h"

enum {
	/* Answers that are judged together, at least and per slot. */
	ROUND_ANSWERS_MIN = 16,
	ROUND_ANSWERS_PER_SLOT = 4,
	/* The same per statement of the window, to judge a change of it. */
	CHANGE_ANSWERS_PER_STATEMENT = 4,
	/* Weight of a mean of a round in the average. */
	ROUND_WEIGHT = 4,
	/* Answers queue at the target beyond this part of their usual time. */
	QUEUED_PERCENT = 150,
	PERCENT = 100,
	/* A round with a smaller part of rejections has none to speak of. */
	REJECTED_LOW_DIVISOR = 16,
};

/* Statements in flight with which the window, or all slots, are in use. */
static unsigned full_use(const kb_pace_t *pace)
{
	return pace->window < pace->slots ? pace->window : pace->slots;
}

static unsigned round_length(const kb_pace_t *pace)
{
	unsigned length = ROUND_ANSWERS_PER_SLOT * pace->slots;

	/* One statement that was not rejected shows that there was room. */
	if (pace->trying && !pace->cut_for_delay)
		return 1;
	if (pace->trying || pace->confirming)
		return CHANGE_ANSWERS_PER_STATEMENT * pace->window;
	return length > ROUND_ANSWERS_MIN ? length : ROUND_ANSWERS_MIN;
}

/*
 * Judges a cut for slow answers by its effect. If answers come about as often
 * as before, the statements had queued at the target. Otherwise it is slow by
 * itself and needs all that its slots run.
 */
static void confirm_cut(kb_pace_t *pace, kb_time_t mean, kb_time_t interval,
			kb_time_t now)
{
	/* Expected of a target that runs all that it is sent. */
	kb_time_t longer = pace->held_interval * (pace->slots - pace->window) /
			   pace->window;

	pace->confirming = 0;
	if (interval <= pace->held_interval + longer / 2) {
		pace->held_until = now + pace->hold;
		pace->held_interval = interval;
		kb_pace_begin_round(pace);
		return;
	}
	pace->unqueued = mean;
	pace->hold = 0;
	kb_pace_rise(pace, pace->slots);
}

/*
 * Judges a window that was raised by one. After a cut for slow answers the one
 * more must run and not queue, so that more answers come than before.
 */
static void end_try(kb_pace_t *pace, kb_time_t interval, kb_time_t now)
{
	kb_time_t shorter = pace->held_interval / (kb_time_t)pace->window;

	if (pace->cut_for_delay && pace->round.parallel < pace->window &&
	    interval > pace->held_interval - shorter / 2)
		kb_pace_hold(pace, pace->window - 1, now);
	else
		kb_pace_rise(pace, pace->window);
}

/* Cuts the window if most of its statements only queue at the target. */
static void judge_delay(kb_pace_t *pace, kb_time_t mean, kb_time_t interval,
			kb_time_t now)
{
	unsigned parallel = pace->round.parallel;
	int queues = 2 * parallel <= full_use(pace);

	if (!queues) {
		pace->unqueued += (mean - pace->unqueued) / ROUND_WEIGHT;
		return;
	}
	if (mean < pace->unqueued)
		pace->unqueued = mean;
	if (pace->state != KB_PACE_FULL || parallel + 1 >= pace->slots ||
	    mean * PERCENT <= pace->unqueued * QUEUED_PERCENT)
		return;
	pace->cut_for_delay = 1;
	kb_pace_hold(pace,
		     parallel + 1 > kb_pace_half(pace) ? parallel + 1
						       : kb_pace_half(pace),
		     now);
	pace->held_interval = interval;
	pace->confirming = 1;
}

static void end_round(kb_pace_t *pace, kb_time_t now)
{
	const kb_pace_round_t *round = &pace->round;
	kb_time_t mean = round->total / round->answers;
	uint64_t intervals = pace->answers - round->first_answer;
	kb_time_t interval =
		intervals ? (now - round->first_at) / (kb_time_t)intervals : 0;

	if (round->rejected * REJECTED_LOW_DIVISOR < round->answers)
		pace->regardless = 0;
	if (pace->confirming) {
		confirm_cut(pace, mean, interval, now);
		return;
	}
	if (pace->trying) {
		end_try(pace, interval, now);
		return;
	}
	judge_delay(pace, mean, interval, now);
	if (pace->state == KB_PACE_FULL)
		pace->hold = 0;
	kb_pace_begin_round(pace);
}

void kb_pace_add_to_round(kb_pace_t *pace, const kb_pace_mark_t *mark,
			  kb_time_t took, kb_time_t now)
{
	kb_pace_round_t *round = &pace->round;
	uint64_t overtaken = pace->answers - mark->answers;
	unsigned parallel = 1;

	if (mark->answers < round->began || mark->ahead + 1 < full_use(pace))
		return;
	/*
	 * A target starts statements in their order. So those ahead that have
	 * not been answered run at the same time as this one.
	 */
	if (overtaken <= mark->ahead)
		parallel += mark->ahead - (unsigned)overtaken;
	if (parallel > round->parallel)
		round->parallel = parallel;
	if (!round->answers) {
		round->first_at = now;
		round->first_answer = pace->answers;
	}
	round->total += took;
	if (++round->answers >= round_length(pace))
		end_round(pace, now);
}
