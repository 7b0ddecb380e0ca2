#include "freshness_sampler.h"

void kb_freshness_sampler_init(kb_freshness_sampler_t *sampler,
			       size_t target_count)
{
	memset(sampler, 0, sizeof(*sampler));
	kb_freshness_init(&sampler->freshness);
	sampler->target_count = target_count;
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		sampler->seen[i].sent = KB_TIME_NEVER;
}

/* Returns non-zero if a majority showed `term` to probes since `sent`. */
static int is_confirmed(const kb_freshness_sampler_t *sampler, uint64_t term,
			kb_time_t sent)
{
	size_t count = 0;

	for (size_t i = 0; i < sampler->target_count; i++) {
		const kb_freshness_sampler_target_t *seen = &sampler->seen[i];

		if (seen->sent != KB_TIME_NEVER && seen->sent >= sent &&
		    seen->term == term)
			count++;
	}
	return count > sampler->target_count / 2;
}

static void remove_pending(kb_freshness_sampler_t *sampler, size_t i)
{
	sampler->pending_count--;
	memmove(&sampler->pending[i], &sampler->pending[i + 1],
		(sampler->pending_count - i) * sizeof(sampler->pending[0]));
}

/* Keeps the order by time of sending; the oldest gives way if full. */
static void add_pending(kb_freshness_sampler_t *sampler, kb_time_t sent,
			const kb_report_t *report)
{
	size_t i;

	if (sampler->pending_count == KB_FRESHNESS_SAMPLER_MAX_PENDING)
		remove_pending(sampler, 0);
	i = sampler->pending_count++;
	for (; i && sampler->pending[i - 1].sent > sent; i--)
		sampler->pending[i] = sampler->pending[i - 1];
	sampler->pending[i].sent = sent;
	sampler->pending[i].report = *report;
}

static size_t take_confirmed(kb_freshness_sampler_t *sampler)
{
	size_t taken = 0;
	size_t i = 0;

	while (i < sampler->pending_count) {
		const kb_freshness_sampler_pending_t *pending =
			&sampler->pending[i];

		if (!is_confirmed(sampler, pending->report.term,
				  pending->sent)) {
			i++;
			continue;
		}
		taken += kb_freshness_add_sample(
				 &sampler->freshness, pending->sent,
				 &pending->report, 1) == KB_FRESHNESS_ADDED;
		remove_pending(sampler, i);
	}
	return taken;
}

size_t kb_freshness_sampler_on_reply(kb_freshness_sampler_t *sampler,
				     size_t target, kb_time_t sent,
				     const kb_report_t *report)
{
	kb_freshness_sampler_target_t *seen;

	if (target >= sampler->target_count)
		return 0;
	seen = &sampler->seen[target];
	if (seen->sent == KB_TIME_NEVER || sent > seen->sent) {
		seen->sent = sent;
		seen->term = report->term;
	}
	if (report->role == KB_ROLE_PRIMARY)
		add_pending(sampler, sent, report);
	return take_confirmed(sampler);
}
