#include "proxy_stats.h"

#include "metrics_text.h"

#include <event2/buffer.h>
#include <string.h>

/* Bounds of the latency buckets in seconds; the last one has the rest. */
static const double bounds[] = { 0,    0.001, 0.002, 0.005, 0.01, 0.02,
				 0.05, 0.1,   0.2,   0.3,   0.5,  0.8,
				 1,    2,     5,     1e6 };

#define BUCKETS (sizeof(bounds) / sizeof(bounds[0]) - 1)

static const char *const path_names[] = {
	[KB_PROXY_PATH_PRIMARY] = "primary",
	[KB_PROXY_PATH_REPLICA] = "replica",
};

kb_result_t kb_proxy_stats_init(kb_proxy_stats_t *stats)
{
	memset(stats, 0, sizeof(*stats));
	for (int i = 0; i < KB_PROXY_PATH_COUNT; i++) {
		stats->latency[i] = gsl_histogram_alloc(BUCKETS);
		if (!stats->latency[i])
			return KB_ERR_NO_MEMORY;
		gsl_histogram_set_ranges(stats->latency[i], bounds,
					 BUCKETS + 1);
	}
	return KB_OK;
}

void kb_proxy_stats_finish(kb_proxy_stats_t *stats)
{
	for (int i = 0; i < KB_PROXY_PATH_COUNT; i++)
		gsl_histogram_free(stats->latency[i]);
	memset(stats, 0, sizeof(*stats));
}

void kb_proxy_stats_add(kb_proxy_stats_t *stats, kb_proxy_path_t path,
			kb_result_t result, kb_time_t took)
{
	if ((size_t)result < KB_PROXY_STATS_RESULTS_MAX)
		stats->results[result]++;
	if (!result)
		gsl_histogram_increment(stats->latency[path],
					(double)took / (double)KB_NS_PER_S);
}

static void write_latency(const kb_proxy_stats_t *stats, struct evbuffer *out)
{
	static const char name[] = "kumquatbridge_statement_seconds";

	evbuffer_add_printf(out,
			    "# HELP %s Latency of statements that succeeded.\n"
			    "# TYPE %s histogram\n",
			    name, name);
	for (int path = 0; path < KB_PROXY_PATH_COUNT; path++) {
		const gsl_histogram *h = stats->latency[path];
		double sum = 0;

		for (size_t i = 0; i < BUCKETS; i++) {
			sum += gsl_histogram_get(h, i);
			if (i + 1 < BUCKETS)
				evbuffer_add_printf(
					out,
					"%s_bucket{path=\"%s\",le=\"%g\"}"
					" %.0f\n",
					name, path_names[path], bounds[i + 1],
					sum);
		}
		evbuffer_add_printf(out,
				    "%s_bucket{path=\"%s\",le=\"+Inf\"} %.0f\n",
				    name, path_names[path], sum);
		evbuffer_add_printf(out, "%s_count{path=\"%s\"} %.0f\n", name,
				    path_names[path], sum);
	}
}

void kb_proxy_stats_write(const kb_proxy_stats_t *stats, struct evbuffer *out)
{
	kb_metrics_text_family(out, "statements_total", "counter",
			       "Statements by result.");
	for (size_t i = 0; i < KB_PROXY_STATS_RESULTS_MAX; i++)
		if (stats->results[i])
			kb_metrics_text_value(out, "statements_total", "result",
					      kb_result_name((kb_result_t)i),
					      (double)stats->results[i]);
	write_latency(stats, out);
	kb_metrics_text_counter(out, "attempts_total",
				"Statements sent to a gate.", stats->attempts);
	kb_metrics_text_counter(out, "retries_total",
				"Statements sent once more.", stats->retries);
	kb_metrics_text_counter(out, "sessions_total", "Sessions opened.",
				stats->sessions);
	kb_metrics_text_counter(out, "sessions_refused_total",
				"Sessions refused.", stats->sessions_refused);
	kb_metrics_text_counter(out, "keys_refused_total",
				"Requests and sessions refused for their key.",
				stats->keys_refused);
	kb_metrics_text_counter(out, "host_calls_total",
				"Calls to other hosts.", stats->host_calls);
	kb_metrics_text_counter(
		out, "cut_off_total",
		"Statements refused, as the group is behind a cut.",
		stats->cut_off);
	kb_metrics_text_counter(
		out, "gate_refusals_total",
		"Statements refused for a target that would not run them.",
		stats->refused_by_gates);
}
