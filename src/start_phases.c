#include "start_phases.h"

#include "log.h"
#include "metrics_text.h"

#include <inttypes.h>
#include <string.h>

static const char *const names[] = {
	[KB_START_HOST_LIST] = "host-list",
	[KB_START_STORE_COPY] = "store-copy",
	[KB_START_CONFIGURATION] = "configuration",
	[KB_START_READY] = "ready",
	[KB_START_FIRST_SERVED] = "first-served",
};

static const char *const group_names[] = {
	[KB_START_GROUP_LEASE] = "lease",
	[KB_START_GROUP_PRIMARY] = "primary",
	[KB_START_GROUP_FIRST_SERVED] = "first-served",
};

void kb_start_phases_init(kb_start_phases_t *phases, kb_time_t now)
{
	memset(phases, 0, sizeof(*phases));
	phases->started_at = now;
}

/* Returns whether the phase is reached for the first time. */
static int reach(kb_time_t *took, kb_time_t started_at, kb_time_t now)
{
	if (*took)
		return 0;
	*took = now > started_at ? now - started_at : 1;
	return 1;
}

void kb_start_phases_reach(kb_start_phases_t *phases, kb_start_phase_t phase,
			   kb_time_t now)
{
	if (reach(&phases->took[phase], phases->started_at, now))
		kb_log(KB_EVENT_START_PHASE, "phase=%s ms=%" PRId64,
		       names[phase], phases->took[phase] / KB_NS_PER_MS);
}

void kb_start_phases_reach_group(const kb_start_phases_t *phases,
				 kb_start_group_phases_t *group,
				 const kb_name_t *name,
				 kb_start_group_phase_t phase, kb_time_t now)
{
	if (now - phases->started_at <= KB_START_GROUP_MAX_S * KB_NS_PER_S &&
	    reach(&group->took[phase], phases->started_at, now))
		kb_log(KB_EVENT_START_PHASE, "phase=%s group=%s ms=%" PRId64,
		       group_names[phase], name->data,
		       group->took[phase] / KB_NS_PER_MS);
}

void kb_start_phases_write(const kb_start_phases_t *phases,
			   struct evbuffer *out)
{
	kb_metrics_text_family(out, "start_phase_seconds", "gauge",
			       "Time from the start of the process until a "
			       "phase was reached.");
	for (int i = 0; i < KB_START_PHASE_COUNT; i++)
		if (phases->took[i])
			kb_metrics_text_value(
				out, "start_phase_seconds", "phase", names[i],
				(double)phases->took[i] / (double)KB_NS_PER_S);
}
