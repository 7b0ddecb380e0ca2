#include "daemon_metrics.h"

#include <event2/buffer.h>
#include <inttypes.h>

static void counter(struct evbuffer *out, const char *name, const char *help,
		    uint64_t value)
{
	evbuffer_add_printf(out,
			    "# HELP kumquatbridge_%s %s\n"
			    "# TYPE kumquatbridge_%s counter\n"
			    "kumquatbridge_%s %" PRIu64 "\n",
			    name, help, name, name, value);
}

static void write_router(const kb_router_t *router, struct evbuffer *out)
{
	const kb_router_counters_t *c = &router->counters;

	counter(out, "requests_local_total", "Requests to gates of this host.",
		c->local);
	counter(out, "requests_forwarded_total", "Requests to other hosts.",
		c->forwarded);
	counter(out, "retries_total", "Requests sent once more.", c->retries);
	counter(out, "reads_replica_total", "Reads served by replicas.",
		c->replica_reads);
	counter(out, "reads_primary_total", "Reads served by primaries.",
		c->primary_reads);
}

static void write_results(const kb_caller_api_t *api, struct evbuffer *out)
{
	counter(out, "caller_requests_total", "Requests of callers.",
		api->counters.requests);
	evbuffer_add_printf(
		out, "# HELP kumquatbridge_results_total Answers by result.\n"
		     "# TYPE kumquatbridge_results_total counter\n");
	for (int i = 0; i < KB_CALLER_API_RESULTS_MAX; i++)
		if (api->counters.results[i])
			evbuffer_add_printf(
				out,
				"kumquatbridge_results_total{result=\"%s\"} "
				"%" PRIu64 "\n",
				kb_result_name((kb_result_t)i),
				api->counters.results[i]);
}

static void write_gate(const kb_target_gate_t *gate, struct evbuffer *out)
{
	const char *target = gate->spec.name.data;

	evbuffer_add_printf(
		out,
		"kumquatbridge_gate_executed_total{target=\"%s\"} %" PRIu64 "\n"
		"kumquatbridge_gate_refused_total{target=\"%s\"} %" PRIu64 "\n"
		"kumquatbridge_gate_unknown_total{target=\"%s\"} %" PRIu64 "\n"
		"kumquatbridge_gate_replayed_total{target=\"%s\"} %" PRIu64 "\n"
		"kumquatbridge_gate_active{target=\"%s\"} %zu\n"
		"kumquatbridge_gate_connections{target=\"%s\"} %u\n"
		"kumquatbridge_gate_confirm_waits_total{target=\"%s\"} "
		"%" PRIu64 "\n"
		"kumquatbridge_gate_confirm_wait_us_total{target=\"%s\"} "
		"%" PRIu64 "\n",
		target, gate->counters.executed, target, gate->counters.refused,
		target, gate->counters.unknown, target, gate->counters.replayed,
		target, gate->active, target, kb_pool_open_count(&gate->pool),
		target, gate->counters.confirm_waits, target,
		(uint64_t)(gate->counters.confirm_wait / KB_NS_PER_US));
}

static void write_services(const kb_group_services_t *services,
			   struct evbuffer *out)
{
	for (const kb_group_service_t *service = services->first; service;
	     service = service->next) {
		evbuffer_add_printf(
			out,
			"kumquatbridge_group_term{group=\"%s\"} %" PRIu64 "\n"
			"kumquatbridge_probes_total{group=\"%s\"} %" PRIu64
			"\n",
			service->spec.name.data,
			kb_failover_term(&service->agent.failover),
			service->spec.name.data, service->agent.probes);
		for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
			if (service->gates[i])
				write_gate(service->gates[i], out);
	}
}

void kb_daemon_metrics_write(void *ctx, struct evbuffer *out)
{
	const kb_daemon_t *daemon = ctx;

	write_router(&daemon->router, out);
	write_results(&daemon->callers, out);
	write_services(&daemon->services, out);
}
