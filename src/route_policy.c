#include "route_policy.h"

enum {
	/* Service time that is assumed before the first measurement. */
	DEFAULT_SERVICE_US = 2000,
	/* Weight of a new sample in the mean service time, as a divisor. */
	SERVICE_MEAN_DIVISOR = 16,
	/*
	 * Weight, as a divisor, of another target's mean in the mean of a
	 * target that gets no statements.
	 */
	IDLE_MEAN_DIVISOR = 512,
};

static kb_time_t per_slot(kb_time_t work, const kb_route_load_t *load)
{
	return load->slots ? work / load->slots : KB_TIME_NEVER / 2;
}

static kb_time_t least_outstanding_delay(const kb_route_policy_t *policy,
					 const kb_route_load_t *load,
					 size_t class_index)
{
	const kb_least_outstanding_t *self =
		(const kb_least_outstanding_t *)policy;
	unsigned count = self->outstanding[load->target];

	(void)class_index;
	if (count < load->waiting)
		count = load->waiting;
	return per_slot((count + 1) * DEFAULT_SERVICE_US * KB_NS_PER_US, load);
}

static void least_outstanding_started(kb_route_policy_t *policy, size_t target,
				      size_t class_index)
{
	(void)class_index;
	((kb_least_outstanding_t *)policy)->outstanding[target]++;
}

static void least_outstanding_ended(kb_route_policy_t *policy, size_t target,
				    size_t class_index, kb_time_t service)
{
	(void)class_index;
	(void)service;
	((kb_least_outstanding_t *)policy)->outstanding[target]--;
}

void kb_least_outstanding_init(kb_least_outstanding_t *policy)
{
	static const kb_route_policy_ops_t ops = {
		.delay = least_outstanding_delay,
		.started = least_outstanding_started,
		.ended = least_outstanding_ended,
	};

	memset(policy, 0, sizeof(*policy));
	policy->policy.ops = &ops;
}

static kb_time_t service_of(const kb_least_work_t *self, size_t target,
			    size_t class_index)
{
	kb_time_t service = self->service[target][class_index];

	return service ? service : DEFAULT_SERVICE_US * KB_NS_PER_US;
}

static kb_time_t least_work_delay(const kb_route_policy_t *policy,
				  const kb_route_load_t *load,
				  size_t class_index)
{
	const kb_least_work_t *self = (const kb_least_work_t *)policy;
	kb_time_t own = service_of(self, load->target, class_index);
	kb_time_t work = 0, mean;
	unsigned count = 0;

	for (size_t i = 0; i < KB_ROUTE_MAX_CLASSES; i++) {
		unsigned outstanding = self->outstanding[load->target][i];

		work += outstanding * service_of(self, load->target, i);
		count += outstanding;
	}
	/* Other hosts' statements count with the mean of this host's. */
	mean = count ? work / count : own;
	if (count < load->waiting)
		work = load->waiting * mean;
	return per_slot(work, load) + own;
}

static void least_work_started(kb_route_policy_t *policy, size_t target,
			       size_t class_index)
{
	((kb_least_work_t *)policy)->outstanding[target][class_index]++;
}

/*
 * A slow target gets no statements of a class and therefore no measurements.
 * Its mean approaches the one just measured, so that the target is tried again.
 */
static void decay_idle(kb_least_work_t *self, size_t class_index,
		       kb_time_t measured)
{
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++) {
		kb_time_t *mean = &self->service[i][class_index];

		if (*mean > measured && !self->outstanding[i][class_index])
			*mean -= (*mean - measured) / IDLE_MEAN_DIVISOR;
	}
}

static void least_work_ended(kb_route_policy_t *policy, size_t target,
			     size_t class_index, kb_time_t service)
{
	kb_least_work_t *self = (kb_least_work_t *)policy;
	kb_time_t *mean = &self->service[target][class_index];

	self->outstanding[target][class_index]--;
	if (service < 0)
		return;
	if (*mean)
		*mean += (service - *mean) / SERVICE_MEAN_DIVISOR;
	else
		*mean = service;
	decay_idle(self, class_index, *mean);
}

void kb_least_work_init(kb_least_work_t *policy)
{
	static const kb_route_policy_ops_t ops = {
		.delay = least_work_delay,
		.started = least_work_started,
		.ended = least_work_ended,
	};

	memset(policy, 0, sizeof(*policy));
	policy->policy.ops = &ops;
}
