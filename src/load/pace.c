#include "pace_internal.h"

#include <string.h>

enum {
	/* Of a moving average, the newest sample has a weight of 1/8. */
	AVERAGE_WEIGHT = 8,
	/* One rejection counts as much as this many answers. */
	STRIKE = 8,
	STRIKES_MAX = 2 * STRIKE,
	/* Cuts in a row after which rejections do not come from the load. */
	CUTS_MAX = 2,
	/* Cuts are in a row if no more time passes between them. */
	CUTS_GAP_MS = 1000,
	/* After so many rejections in a row the target takes no work. */
	REJECTED_ALL = 24,
	/* The same if the last one was alone in flight. */
	REJECTED_ALONE = 8,
	/* Time until more is tried after a cut; doubled if it fails. */
	HOLD_MIN_MS = 50,
	HOLD_MAX_MS = 200,
	/* Pause between probes that are rejected; doubled for each. */
	PROBE_PAUSE_MS = 5,
	PROBE_DOUBLINGS_MAX = 3,
};

static unsigned lower(unsigned a, unsigned b)
{
	return a < b ? a : b;
}

unsigned kb_pace_half(const kb_pace_t *pace)
{
	return (pace->slots + 1) / 2;
}

void kb_pace_begin_round(kb_pace_t *pace)
{
	pace->round = (kb_pace_round_t){ .began = pace->answers };
}

static void set_state(kb_pace_t *pace, kb_pace_state_t state, unsigned window)
{
	pace->state = state;
	pace->window = window ? window : 1;
	pace->trying = 0;
	pace->confirming = 0;
	kb_pace_begin_round(pace);
}

/* Forgets what was learned about a target that is gone or does not answer. */
static void restart(kb_pace_t *pace, kb_pace_state_t state)
{
	set_state(pace, state, 1);
	pace->changes++;
	pace->strikes = 0;
	pace->useless_cuts = 0;
	pace->regardless = 0;
	pace->hold = 0;
	pace->failures = 0;
	pace->probes = 0;
	pace->probe_at = 0;
}

void kb_pace_init(kb_pace_t *pace, int enabled)
{
	memset(pace, 0, sizeof(*pace));
	pace->enabled = enabled;
	restart(pace, KB_PACE_DOWN);
}

void kb_pace_bind(kb_pace_t *pace, unsigned slots, int moved)
{
	pace->slots = slots ? slots : 1;
	if (moved) {
		restart(pace, KB_PACE_DOWN);
		pace->unqueued = 0;
	} else if (pace->state == KB_PACE_FULL && pace->window < pace->slots) {
		set_state(pace, KB_PACE_RISING, pace->window);
	}
}

unsigned kb_pace_limit(kb_pace_t *pace, unsigned limit, kb_time_t now)
{
	unsigned window = pace->window;

	if (!pace->enabled || pace->state == KB_PACE_FULL)
		return limit;
	if (pace->state == KB_PACE_PROBING && now < pace->probe_at)
		return 0;
	if (pace->state == KB_PACE_HELD && !pace->trying &&
	    now >= pace->held_until && !pace->confirming) {
		pace->trying = 1;
		pace->window++;
		kb_pace_begin_round(pace);
		window = pace->window;
	}
	/* The part that covers the network's latency grows with the window. */
	if (pace->state == KB_PACE_RISING && limit > pace->slots)
		window += (limit - pace->slots) * window / pace->slots;
	return lower(window, limit);
}

kb_time_t kb_pace_next(const kb_pace_t *pace, kb_time_t now)
{
	kb_time_t next = KB_TIME_NEVER;

	if (!pace->enabled)
		return next;
	if (pace->state == KB_PACE_PROBING)
		next = pace->probe_at;
	else if (pace->state == KB_PACE_HELD && !pace->trying)
		next = pace->held_until;
	return next > now ? next : KB_TIME_NEVER;
}

unsigned kb_pace_slots(const kb_pace_t *pace, unsigned reported)
{
	if (!pace->enabled || pace->state != KB_PACE_HELD)
		return reported;
	return lower(pace->window, reported);
}

kb_pace_mark_t kb_pace_on_sent(const kb_pace_t *pace, unsigned ahead)
{
	return (kb_pace_mark_t){ ahead, pace->answers, pace->changes };
}

void kb_pace_on_opened(kb_pace_t *pace)
{
	if (pace->state == KB_PACE_DOWN)
		set_state(pace, KB_PACE_RISING, kb_pace_half(pace));
}

void kb_pace_hold(kb_pace_t *pace, unsigned window, kb_time_t now)
{
	int failed = pace->trying;

	pace->cuts += (uint64_t)!failed;
	pace->changes++;
	set_state(pace, KB_PACE_HELD, window);
	if (!pace->hold)
		pace->hold = HOLD_MIN_MS * KB_NS_PER_MS;
	else if (failed && pace->hold < HOLD_MAX_MS * KB_NS_PER_MS)
		pace->hold *= 2;
	pace->held_until = now + pace->hold;
}

void kb_pace_rise(kb_pace_t *pace, unsigned window)
{
	if (window >= pace->slots)
		set_state(pace, KB_PACE_FULL, pace->slots);
	else
		set_state(pace, KB_PACE_RISING, window);
}

static void add_to_average(kb_pace_t *pace, kb_time_t took)
{
	if (pace->unqueued)
		pace->unqueued += (took - pace->unqueued) / AVERAGE_WEIGHT;
	else
		pace->unqueued = took;
}

/* One statement was in flight and has succeeded. */
static void end_probing(kb_pace_t *pace)
{
	pace->probe_at = 0;
	pace->strikes = 0;
	kb_pace_rise(pace, kb_pace_half(pace));
}

void kb_pace_on_answered(kb_pace_t *pace, const kb_pace_mark_t *mark,
			 kb_time_t took, kb_result_t result, kb_time_t now)
{
	if (!pace->enabled)
		return;
	if (!result && 2 * mark->ahead < pace->slots)
		add_to_average(pace, took);
	if (!result)
		kb_pace_add_to_round(pace, mark, took, now);
	pace->answers++;
	if (result)
		return;
	pace->failures = 0;
	if (pace->strikes)
		pace->strikes--;
	if (pace->state == KB_PACE_PROBING || pace->state == KB_PACE_DOWN)
		end_probing(pace);
	else if (pace->state == KB_PACE_RISING && ++pace->window >= pace->slots)
		kb_pace_rise(pace, pace->window);
}

static void probe_later(kb_pace_t *pace, kb_time_t now)
{
	pace->probe_at = now + (PROBE_PAUSE_MS * KB_NS_PER_MS
				<< lower(pace->probes, PROBE_DOUBLINGS_MAX));
	pace->probes++;
}

static void begin_probing(kb_pace_t *pace, kb_time_t now)
{
	pace->cuts++;
	pace->changes++;
	pace->hold = 0;
	set_state(pace, KB_PACE_PROBING, 1);
	probe_later(pace, now);
}

/*
 * Whether cuts do not help against rejections: a target that rejects a part of
 * all statements would get less and less work without any use.
 */
static int is_useless(kb_pace_t *pace, kb_time_t now)
{
	if (now - pace->cut_at > CUTS_GAP_MS * KB_NS_PER_MS)
		pace->useless_cuts = 0;
	pace->cut_at = now;
	if (pace->useless_cuts++ < CUTS_MAX)
		return 0;
	pace->regardless = 1;
	pace->useless_cuts = 0;
	kb_pace_rise(pace, pace->slots);
	return 1;
}

/* Cuts the window to what was in flight before a rejected statement. */
static void cut(kb_pace_t *pace, unsigned room, kb_time_t now)
{
	pace->cut_for_delay = 0;
	if ((room || pace->failures < REJECTED_ALONE) && !pace->trying &&
	    is_useless(pace, now))
		return;
	if (!room) {
		begin_probing(pace, now);
		return;
	}
	if (pace->state != KB_PACE_FULL && room >= pace->window)
		room = pace->window - 1;
	pace->strikes = STRIKE;
	kb_pace_hold(pace, room, now);
}

void kb_pace_on_rejected(kb_pace_t *pace, const kb_pace_mark_t *mark,
			 kb_time_t now)
{
	if (!pace->enabled)
		return;
	pace->round.rejected++;
	pace->failures++;
	if (pace->state == KB_PACE_PROBING) {
		probe_later(pace, now);
		return;
	}
	if (pace->failures >= REJECTED_ALL) {
		begin_probing(pace, now);
		return;
	}
	if (mark->change != pace->changes) {
		/* Sent before the cut, it only shows how far that must go. */
		if (pace->state == KB_PACE_HELD && mark->ahead < pace->window)
			pace->window = mark->ahead ? mark->ahead : 1;
		return;
	}
	if (pace->regardless)
		return;
	pace->strikes += STRIKE;
	if (pace->strikes < STRIKES_MAX && !pace->trying)
		return;
	cut(pace, mark->ahead, now);
}

void kb_pace_on_silent(kb_pace_t *pace, const kb_pace_mark_t *mark)
{
	/* If others were answered meanwhile, only this answer is missing. */
	if (pace->enabled && pace->answers == mark->answers)
		restart(pace, KB_PACE_PROBING);
}

void kb_pace_on_lost(kb_pace_t *pace, unsigned established)
{
	if (pace->enabled && !established)
		restart(pace, KB_PACE_DOWN);
}

const char *kb_pace_state_name(kb_pace_state_t state)
{
	static const char *const names[] = { "down", "probing", "rising",
					     "full", "held" };

	return names[state];
}
