#include "daemon_metrics.h"

#include "gate_metrics.h"
#include "metrics_text.h"

#include <event2/buffer.h>

static void write_router(const kb_router_t *router, struct evbuffer *out)
{
	const kb_router_counters_t *c = &router->counters;

	kb_metrics_text_counter(out, "requests_local_total",
				"Requests to gates of this host.", c->local);
	kb_metrics_text_counter(out, "requests_forwarded_total",
				"Requests to other hosts.", c->forwarded);
	kb_metrics_text_counter(out, "retries_total",
				"Requests sent once more.", c->retries);
	kb_metrics_text_counter(out, "reads_replica_total",
				"Reads served by replicas.", c->replica_reads);
	kb_metrics_text_counter(out, "reads_primary_total",
				"Reads served by primaries.", c->primary_reads);
	kb_metrics_text_counter(out, "region_bytes_total",
				"Bytes to and from other regions.",
				c->region_bytes);
	kb_metrics_text_counter(out, "region_waits_total",
				"Waits for the link between regions.",
				c->region_waits);
}

static void write_durations(const kb_class_durations_t *durations,
			    struct evbuffer *out)
{
	const kb_class_duration_t *class = durations->classes;

	kb_metrics_text_family(out, "request_durations_total", "counter",
			       "Requests answered, by traffic class.");
	for (size_t i = 0; i < durations->count; i++)
		kb_metrics_text_value(out, "request_durations_total", "class",
				      class[i].traffic_class.data,
				      (double)class[i].count);
	kb_metrics_text_family(
		out, "request_duration_seconds_total", "counter",
		"Time from arrival to answer, by traffic class.");
	for (size_t i = 0; i < durations->count; i++)
		kb_metrics_text_value(out, "request_duration_seconds_total",
				      "class", class[i].traffic_class.data,
				      kb_metrics_text_seconds(class[i].total));
}

static void write_callers(const kb_caller_api_t *api, struct evbuffer *out)
{
	kb_metrics_text_counter(out, "caller_requests_total",
				"Requests of callers.", api->counters.requests);
	kb_metrics_text_family(out, "results_total", "counter",
			       "Answers by result.");
	for (int i = 0; i < KB_CALLER_API_RESULTS_MAX; i++)
		if (api->counters.results[i])
			kb_metrics_text_value(out, "results_total", "result",
					      kb_result_name((kb_result_t)i),
					      (double)api->counters.results[i]);
	write_durations(&api->durations, out);
}

static void write_server(const kb_rpc_server_counters_t *c,
			 struct evbuffer *out)
{
	kb_metrics_text_counter(out, "host_requests_total",
				"Calls of other hosts.", c->requests);
	kb_metrics_text_counter(out, "host_malformed_total",
				"Messages of other hosts that are malformed.",
				c->malformed);
	kb_metrics_text_counter(out, "host_versions_refused_total",
				"Calls of an unknown version.",
				c->unknown_version);
	kb_metrics_text_counter(out, "host_replies_dropped_total",
				"Replies whose connection had closed.",
				c->dropped_replies);
}

static void write_peers(const kb_hosts_t *hosts, struct evbuffer *out)
{
	kb_rpc_peer_counters_t sum = { 0 };

	for (size_t i = 0; i < hosts->count; i++) {
		const kb_rpc_peer_counters_t *c =
			&hosts->hosts[i]->peer.counters;

		sum.calls += c->calls;
		sum.late_replies += c->late_replies;
		sum.refused += c->refused;
		sum.malformed += c->malformed;
		sum.lost_connections += c->lost_connections;
	}
	kb_metrics_text_counter(out, "peer_calls_total",
				"Calls to other hosts.", sum.calls);
	kb_metrics_text_counter(out, "peer_late_replies_total",
				"Replies to calls that had ended.",
				sum.late_replies);
	kb_metrics_text_counter(out, "peer_refused_total",
				"Calls refused as too many wait.", sum.refused);
	kb_metrics_text_counter(out, "peer_malformed_total",
				"Replies that are malformed.", sum.malformed);
	kb_metrics_text_counter(out, "peer_connections_lost_total",
				"Connections to other hosts lost.",
				sum.lost_connections);
}

void kb_daemon_metrics_write(void *ctx, struct evbuffer *out)
{
	const kb_daemon_t *daemon = ctx;

	write_router(&daemon->router, out);
	write_callers(&daemon->callers, out);
	write_server(&daemon->server.counters, out);
	write_peers(&daemon->hosts, out);
	kb_gate_metrics_write(&daemon->services, out);
}
