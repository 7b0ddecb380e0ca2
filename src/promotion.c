#include "promotion.h"

void kb_promotion_params_init(kb_promotion_params_t *params)
{
	params->fence_wait = KB_PROMOTION_FENCE_WAIT_MS * KB_NS_PER_MS;
	params->extra_fences_wait =
		KB_PROMOTION_EXTRA_FENCES_WAIT_MS * KB_NS_PER_MS;
	params->repeat = KB_PROMOTION_REPEAT_MS * KB_NS_PER_MS;
	params->fence_timeout = KB_PROMOTION_FENCE_TIMEOUT_MS * KB_NS_PER_MS;
	params->promote_timeout =
		KB_PROMOTION_PROMOTE_TIMEOUT_MS * KB_NS_PER_MS;
#ifdef KB_DEFECTS
	params->defect = KB_DEFECT_NONE;
#endif
}

void kb_promotion_init(kb_promotion_t *promotion, const kb_promotion_ops_t *ops,
		       const kb_promotion_params_t *params)
{
	memset(promotion, 0, sizeof(*promotion));
	promotion->ops = ops;
	promotion->params = *params;
	promotion->chosen = KB_NO_TARGET;
}

void kb_promotion_finish(kb_promotion_t *promotion)
{
	promotion->state = KB_PROMOTION_IDLE;
}

static void enter(kb_promotion_t *promotion, kb_time_t now,
		  kb_promotion_state_t state)
{
	promotion->state = state;
	promotion->since = now;
}

static void supersede(kb_promotion_t *promotion, kb_time_t now)
{
	promotion->is_superseded = 1;
	enter(promotion, now, KB_PROMOTION_FAILED);
}

void kb_promotion_start(kb_promotion_t *promotion, kb_time_t now,
			const kb_promotion_plan_t *plan)
{
	promotion->plan = *plan;
	promotion->chosen = KB_NO_TARGET;
	promotion->tried = 0;
	promotion->is_superseded = 0;
	memset(promotion->targets, 0, sizeof(promotion->targets));
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		promotion->targets[i].sent_at = KB_TIME_NEVER;
	enter(promotion, now, KB_PROMOTION_FENCING);
}

void kb_promotion_cancel(kb_promotion_t *promotion)
{
	promotion->state = KB_PROMOTION_IDLE;
}

int kb_promotion_is_active(const kb_promotion_t *promotion)
{
	return promotion->state == KB_PROMOTION_FENCING ||
	       promotion->state == KB_PROMOTION_WAITING ||
	       promotion->state == KB_PROMOTION_PROMOTING;
}

size_t kb_promotion_fenced(const kb_promotion_t *promotion)
{
	size_t fenced = 0;

	for (size_t i = 0; i < promotion->plan.target_count; i++)
		fenced += promotion->targets[i].fenced;
	return fenced;
}

static size_t majority_of(const kb_promotion_t *promotion)
{
	if (KB_HAS_DEFECT(&promotion->params, NO_MAJORITY))
		return 1;
	return promotion->plan.target_count / 2 + 1;
}

static int is_in(unsigned set, size_t target)
{
	return set >> target & 1;
}

/* Returns non-zero if `a` is to be chosen over `b`. */
static int is_better(const kb_promotion_t *promotion, size_t a, size_t b)
{
	const kb_promotion_plan_t *plan = &promotion->plan;
	kb_point_t last_a = promotion->targets[a].last;
	kb_point_t last_b = promotion->targets[b].last;
	int command;

	if (KB_HAS_DEFECT(&promotion->params, IGNORE_TERM))
		last_a.term = last_b.term = 0;
	command = kb_point_compare(last_a, last_b);
	if (command)
		return command > 0;
	if (is_in(plan->avoided, a) != is_in(plan->avoided, b))
		return is_in(plan->avoided, b);
	return a == plan->preferred;
}

/*
 * Returns the set to choose from: the fenced targets, without the avoided ones
 * if the others are a majority by themselves.
 */
static unsigned candidates(const kb_promotion_t *promotion)
{
	unsigned fenced = 0, preferred_set = 0;
	size_t count = 0;

	for (size_t i = 0; i < promotion->plan.target_count; i++) {
		if (!promotion->targets[i].fenced)
			continue;
		fenced |= 1u << i;
		if (is_in(promotion->plan.avoided, i))
			continue;
		preferred_set |= 1u << i;
		count++;
	}
	return count >= majority_of(promotion) ? preferred_set : fenced;
}

static size_t choose(const kb_promotion_t *promotion)
{
	unsigned set = candidates(promotion) & ~promotion->tried;
	size_t best = KB_NO_TARGET;

	for (size_t i = 0; i < promotion->plan.target_count; i++) {
		if (!is_in(set, i))
			continue;
		if (best == KB_NO_TARGET || is_better(promotion, i, best))
			best = i;
	}
	return best;
}

static void send_command(kb_promotion_t *promotion, kb_time_t now,
			 kb_command_kind_t kind, size_t target)
{
	kb_command_t command = { kind, target, promotion->plan.term };

	promotion->targets[target].sent_at = now;
	promotion->ops->send(promotion, &command);
}

/* Sends `kind` to `target` if it is due; returns when it is due again. */
static kb_time_t repeat_command(kb_promotion_t *promotion, kb_time_t now,
				kb_command_kind_t kind, size_t target)
{
	kb_time_t last = promotion->targets[target].sent_at;

	if (last == KB_TIME_NEVER || now - last >= promotion->params.repeat) {
		send_command(promotion, now, kind, target);
		last = now;
	}
	return last + promotion->params.repeat;
}

static kb_time_t repeat_fences(kb_promotion_t *promotion, kb_time_t now)
{
	kb_time_t wake = KB_TIME_NEVER;

	for (size_t i = 0; i < promotion->plan.target_count; i++) {
		kb_time_t due;

		if (promotion->targets[i].fenced)
			continue;
		due = repeat_command(promotion, now, KB_COMMAND_FENCE, i);
		if (due < wake)
			wake = due;
	}
	return wake;
}

static kb_time_t wait_time(const kb_promotion_t *promotion)
{
	const kb_promotion_params_t *params = &promotion->params;

	for (size_t i = 0; i < promotion->plan.target_count; i++)
		if (is_in(promotion->plan.reachable, i) &&
		    !promotion->targets[i].fenced)
			return params->fence_wait > params->extra_fences_wait
				       ? params->fence_wait
				       : params->extra_fences_wait;
	return params->fence_wait;
}

static void start_promoting(kb_promotion_t *promotion, kb_time_t now)
{
	promotion->chosen = choose(promotion);
	if (promotion->chosen == KB_NO_TARGET) {
		enter(promotion, now, KB_PROMOTION_FAILED);
		return;
	}
	promotion->targets[promotion->chosen].sent_at = KB_TIME_NEVER;
	enter(promotion, now, KB_PROMOTION_PROMOTING);
}

static void choose_other_target(kb_promotion_t *promotion, kb_time_t now)
{
	size_t last = promotion->chosen, next;
	kb_time_t sent_at;

	if (last == KB_NO_TARGET)
		return;
	sent_at = promotion->targets[last].sent_at;
	if (sent_at == KB_TIME_NEVER ||
	    now - sent_at < promotion->params.repeat)
		return;
	promotion->tried |= 1u << last;
	next = choose(promotion);
	if (next == KB_NO_TARGET)
		return;
	promotion->chosen = next;
	promotion->targets[next].sent_at = KB_TIME_NEVER;
}

static kb_time_t earlier(kb_time_t a, kb_time_t b)
{
	return a < b ? a : b;
}

kb_time_t kb_promotion_on_timer(kb_promotion_t *promotion, kb_time_t now)
{
	const kb_promotion_params_t *params = &promotion->params;
	kb_time_t end;

	if (promotion->state == KB_PROMOTION_FENCING) {
		end = promotion->since + params->fence_timeout;
		if (now < end)
			return earlier(end, repeat_fences(promotion, now));
		enter(promotion, now, KB_PROMOTION_FAILED);
	}
	if (promotion->state == KB_PROMOTION_WAITING) {
		end = promotion->since + wait_time(promotion);
		if (now < end)
			return earlier(end, repeat_fences(promotion, now));
		start_promoting(promotion, now);
	}
	if (promotion->state == KB_PROMOTION_PROMOTING) {
		end = promotion->since + params->promote_timeout;
		if (KB_HAS_DEFECT(params, SECOND_CANDIDATE))
			choose_other_target(promotion, now);
		if (now < end)
			return earlier(end, repeat_command(promotion, now,
							   KB_COMMAND_PROMOTE,
							   promotion->chosen));
		enter(promotion, now, KB_PROMOTION_FAILED);
	}
	return KB_TIME_NEVER;
}

static void on_fence(kb_promotion_t *promotion, kb_time_t now, size_t index,
		     int granted, const kb_report_t *report)
{
	kb_promotion_target_t *target = &promotion->targets[index];

	if (promotion->state == KB_PROMOTION_PROMOTING || target->fenced)
		return;
	if (!granted) {
		if (report->term >= promotion->plan.term)
			supersede(promotion, now);
		return;
	}
	target->fenced = 1;
	target->last = kb_report_last(report);
	if (promotion->state == KB_PROMOTION_FENCING &&
	    kb_promotion_fenced(promotion) >= majority_of(promotion))
		enter(promotion, now, KB_PROMOTION_WAITING);
}

void kb_promotion_on_answer(kb_promotion_t *promotion, kb_time_t now,
			    const kb_command_t *command, int granted,
			    const kb_report_t *report)
{
	if (!kb_promotion_is_active(promotion) || !report ||
	    command->term != promotion->plan.term ||
	    command->target >= promotion->plan.target_count)
		return;
	if (command->kind == KB_COMMAND_FENCE) {
		on_fence(promotion, now, command->target, granted, report);
		return;
	}
	if (command->kind != KB_COMMAND_PROMOTE ||
	    promotion->state != KB_PROMOTION_PROMOTING)
		return;
	if (!granted) {
		supersede(promotion, now);
		return;
	}
	promotion->chosen = command->target;
	enter(promotion, now, KB_PROMOTION_DONE);
}

void kb_promotion_on_report(kb_promotion_t *promotion, kb_time_t now,
			    size_t target, const kb_report_t *report)
{
	if (!kb_promotion_is_active(promotion) ||
	    report->term < promotion->plan.term)
		return;
	if (report->term > promotion->plan.term) {
		supersede(promotion, now);
		return;
	}
	if (report->role != KB_ROLE_PRIMARY)
		return;
	if (promotion->state == KB_PROMOTION_PROMOTING &&
	    target == promotion->chosen)
		enter(promotion, now, KB_PROMOTION_DONE);
	else
		supersede(promotion, now);
}
