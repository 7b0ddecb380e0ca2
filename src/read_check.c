#include "read_check.h"

#define WAIT (KB_READ_CHECK_WAIT_MS * KB_NS_PER_MS)
#define PRIMARY_WAIT (KB_READ_CHECK_PRIMARY_WAIT_MS * KB_NS_PER_MS)

static int is_primary(const kb_read_state_t *state)
{
	return state->report->role == KB_ROLE_PRIMARY;
}

static int can_serve(const kb_read_check_t *check, const kb_read_state_t *state,
		     kb_time_t now)
{
	return kb_freshness_includes(state->report, check->point) &&
	       kb_freshness_accepts(state->as_of, check->max_age,
				    check->arrival, now);
}

/*
 * Returns by how much the data exceeds its maximum age, or KB_TIME_NEVER if its
 * age is not known.
 */
static kb_time_t excess_age(const kb_read_check_t *check,
			    const kb_read_state_t *state, kb_time_t now)
{
	if (state->as_of == KB_TIME_NEVER)
		return KB_TIME_NEVER;
	return now - state->as_of - check->max_age;
}

/* Returns non-zero if a new report may show that the read can be served. */
static int refresh_may_help(const kb_read_check_t *check,
			    const kb_read_state_t *state)
{
	if (state->reported_at >= check->arrival)
		return 0;
	return is_primary(state) ||
	       excess_age(check, state, state->reported_at) <= WAIT;
}

/* Returns non-zero if the target may become fresh enough in time. */
static int may_catch_up(const kb_read_check_t *check,
			const kb_read_state_t *state, kb_time_t now)
{
	if (is_primary(state))
		return 1;
	if (excess_age(check, state, now) > WAIT)
		return 0;
	return kb_freshness_includes(state->report, check->point) ||
	       now - state->as_of <= WAIT;
}

kb_read_verdict_t kb_read_check(kb_read_check_t *check,
				const kb_read_state_t *state, kb_time_t now)
{
	kb_time_t end =
		check->arrival + (is_primary(state) ? PRIMARY_WAIT : WAIT);

	if (end > check->deadline)
		end = check->deadline;
	if (can_serve(check, state, now))
		return KB_READ_SERVE;
	if (now >= end)
		return KB_READ_REFUSE;
	if (refresh_may_help(check, state))
		return KB_READ_REFRESH;
	if (!may_catch_up(check, state, now))
		return KB_READ_REFUSE;
	check->wait_until = end;
	return KB_READ_WAIT;
}
