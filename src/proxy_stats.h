#ifndef KB_PROXY_STATS_H
#define KB_PROXY_STATS_H

#include "kumquatbridge.h"

#include <gsl/gsl_histogram.h>

struct evbuffer;

KB_BEGIN_DECLS

/* How a statement was served. */
typedef enum kb_proxy_path {
	KB_PROXY_PATH_PRIMARY,
	KB_PROXY_PATH_REPLICA,
	KB_PROXY_PATH_COUNT,
} kb_proxy_path_t;

enum {
	KB_PROXY_STATS_RESULTS_MAX = 512,
};

/* Counters and latencies of a host. */
typedef struct kb_proxy_stats {
	/* Statements by their kb_result_t. */
	uint64_t results[KB_PROXY_STATS_RESULTS_MAX];
	uint64_t attempts;
	uint64_t retries;
	uint64_t sessions;
	uint64_t sessions_refused;
	uint64_t keys_refused;
	uint64_t host_calls;
	/* Refused at once, as the group is behind a cut. */
	uint64_t cut_off;
	/* Refused by gates, as the target would not have run them. */
	uint64_t refused_by_gates;
	gsl_histogram *latency[KB_PROXY_PATH_COUNT];
} kb_proxy_stats_t;

kb_result_t kb_proxy_stats_init(kb_proxy_stats_t *stats);
void kb_proxy_stats_finish(kb_proxy_stats_t *stats);

/* Counts a statement that ended with `result` after the time `took`. */
void kb_proxy_stats_add(kb_proxy_stats_t *stats, kb_proxy_path_t path,
			kb_result_t result, kb_time_t took);

/* Writes the statistics in the Prometheus text format. */
void kb_proxy_stats_write(const kb_proxy_stats_t *stats, struct evbuffer *out);

KB_END_DECLS

#endif
