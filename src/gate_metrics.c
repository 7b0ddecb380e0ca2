#include "gate_metrics.h"

#include "metrics_text.h"

/* A metric family with one value per gate. */
typedef struct gate_family {
	const char *name;
	const char *type;
	const char *help;
	double (*value)(const kb_target_gate_t *gate);
} gate_family_t;

static double executed(const kb_target_gate_t *gate)
{
	return (double)gate->counters.executed;
}

static double refused(const kb_target_gate_t *gate)
{
	return (double)gate->counters.refused;
}

static double unknown(const kb_target_gate_t *gate)
{
	return (double)gate->counters.unknown;
}

static double replayed(const kb_target_gate_t *gate)
{
	return (double)gate->counters.replayed;
}

static double active(const kb_target_gate_t *gate)
{
	return (double)gate->active;
}

static double connections(const kb_target_gate_t *gate)
{
	return kb_pool_open_count(&gate->pool);
}

static double queue_waits(const kb_target_gate_t *gate)
{
	return (double)gate->counters.queue_waits;
}

static double queue_wait(const kb_target_gate_t *gate)
{
	return kb_metrics_text_seconds(gate->counters.queue_wait);
}

static double confirm_waits(const kb_target_gate_t *gate)
{
	return (double)gate->counters.confirm_waits;
}

static double confirm_wait(const kb_target_gate_t *gate)
{
	return kb_metrics_text_seconds(gate->counters.confirm_wait);
}

static const gate_family_t families[] = {
	{ "gate_executed_total", "counter", "Requests executed.", executed },
	{ "gate_refused_total", "counter", "Requests refused, not run.",
	  refused },
	{ "gate_unknown_total", "counter", "Requests whose outcome is unknown.",
	  unknown },
	{ "gate_replayed_total", "counter", "Requests given a stored answer.",
	  replayed },
	{ "gate_active", "gauge", "Requests in flight.", active },
	{ "gate_connections", "gauge", "Connections to the target.",
	  connections },
	{ "gate_queue_waits_total", "counter", "Waits for a slot.",
	  queue_waits },
	{ "gate_queue_wait_seconds_total", "counter",
	  "Time spent waiting for a slot.", queue_wait },
	{ "gate_confirmation_waits_total", "counter",
	  "Waits for confirmation by a majority.", confirm_waits },
	{ "gate_confirmation_wait_seconds_total", "counter",
	  "Time spent waiting for confirmation.", confirm_wait },
};

static void write_family(const kb_group_services_t *services,
			 const gate_family_t *family, struct evbuffer *out)
{
	kb_metrics_text_family(out, family->name, family->type, family->help);
	for (const kb_group_service_t *service = services->first; service;
	     service = service->next) {
		for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++) {
			const kb_target_gate_t *gate = service->gates[i];

			if (gate)
				kb_metrics_text_value(out, family->name,
						      "target",
						      gate->spec.name.data,
						      family->value(gate));
		}
	}
}

void kb_gate_metrics_write(const kb_group_services_t *services,
			   struct evbuffer *out)
{
	const kb_group_service_t *service;

	kb_metrics_text_family(out, "group_term", "gauge",
			       "Term of the group as known here.");
	for (service = services->first; service; service = service->next)
		kb_metrics_text_value(
			out, "group_term", "group", service->spec.name.data,
			(double)kb_failover_term(&service->agent.failover));
	kb_metrics_text_family(out, "probes_total", "counter",
			       "Probes sent to targets.");
	for (service = services->first; service; service = service->next)
		kb_metrics_text_value(out, "probes_total", "group",
				      service->spec.name.data,
				      (double)service->agent.probes);
	for (size_t i = 0; i < sizeof(families) / sizeof(families[0]); i++)
		write_family(services, &families[i], out);
}
