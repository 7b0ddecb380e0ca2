#include "freshness.h"

void kb_freshness_init(kb_freshness_t *freshness)
{
	memset(freshness, 0, sizeof(*freshness));
}

/* Returns the gap that removing sample `i` leaves, relative to its age. */
static double gap_without(const kb_freshness_t *freshness, size_t i)
{
	const kb_freshness_sample_t *samples = freshness->samples;
	kb_time_t newest = samples[freshness->count - 1].sent;
	kb_time_t gap = samples[i + 1].sent - samples[i - 1].sent;

	return (double)gap / (double)(newest - samples[i - 1].sent);
}

static void thin_out(kb_freshness_t *freshness)
{
	kb_freshness_sample_t *samples = freshness->samples;
	size_t best = 1;

	for (size_t i = 2; i + 1 < freshness->count; i++)
		if (gap_without(freshness, i) < gap_without(freshness, best))
			best = i;
	memmove(&samples[best], &samples[best + 1],
		(freshness->count - best - 1) * sizeof(samples[0]));
	freshness->count--;
}

kb_freshness_outcome_t kb_freshness_add_sample(kb_freshness_t *freshness,
					       kb_time_t sent,
					       const kb_report_t *report,
					       int confirmed)
{
	kb_freshness_sample_t sample = { sent, kb_report_last(report) };
	kb_freshness_sample_t *newest;

	if (!confirmed || report->role != KB_ROLE_PRIMARY)
		return KB_FRESHNESS_UNCONFIRMED;
	if (report->term < freshness->term)
		return KB_FRESHNESS_OLD_TERM;
	if (freshness->count) {
		int order;

		newest = &freshness->samples[freshness->count - 1];
		order = kb_point_compare(sample.point, newest->point);
		if (sent <= newest->sent || order < 0)
			return KB_FRESHNESS_OUT_OF_ORDER;
		/* Of samples with one point only the latest can matter. */
		if (!order)
			freshness->count--;
	}
	freshness->term = report->term;
	if (freshness->count == KB_FRESHNESS_MAX_SAMPLES)
		thin_out(freshness);
	freshness->samples[freshness->count++] = sample;
	return KB_FRESHNESS_ADDED;
}

kb_time_t kb_freshness_as_of(const kb_freshness_t *freshness,
			     const kb_report_t *report)
{
	for (size_t i = freshness->count; i; i--) {
		const kb_freshness_sample_t *sample =
			&freshness->samples[i - 1];

		if (kb_history_contains(&report->history, report->applied,
					sample->point))
			return sample->sent;
	}
	return KB_TIME_NEVER;
}

kb_time_t kb_freshness_age(const kb_freshness_t *freshness,
			   const kb_report_t *report, kb_time_t now)
{
	kb_time_t reached = kb_freshness_as_of(freshness, report);

	return reached == KB_TIME_NEVER ? KB_TIME_NEVER : now - reached;
}

int kb_freshness_accepts(kb_time_t reached, kb_time_t max_age,
			 kb_time_t arrival, kb_time_t now)
{
	if (reached == KB_TIME_NEVER)
		return 0;
	return reached >= arrival || now - reached <= max_age;
}

int kb_freshness_includes(const kb_report_t *report, kb_point_t point)
{
#ifdef KB_BREAK_TOKEN
	(void)report;
	(void)point;
	return 1;
#else
	return kb_history_contains(&report->history, report->applied, point);
#endif
}

kb_time_t kb_freshness_confirmed_at(const kb_freshness_t *freshness)
{
	if (!freshness->count)
		return KB_TIME_NEVER;
	return freshness->samples[freshness->count - 1].sent;
}
