#ifndef KB_BENCH_READ_SIM_H
#define KB_BENCH_READ_SIM_H

#include "event_queue.h"
#include "read_check.h"
#include "replica_log.h"
#include "route.h"
#include "freshness_sampler.h"

/*
 * Simulates sessions that read and write three groups through hosts and gates.
 * Hosts route with kb_route_t and hints; gates verify with kb_freshness_t.
 * Time, network, lag and load are simulated from a seed.
 */

enum {
	/* Data centres; the last one is in a second region. */
	SITES = 3,
	GROUPS = 3,
	HOSTS = 8,
	KINDS = 4,
};

typedef enum policy {
	POLICY_FRESHNESS,
	POLICY_PRIMARY,
	POLICY_ROUND_ROBIN,
	POLICIES,
} policy_t;

/* A kind of read. */
typedef struct read_kind {
	/* Maximum staleness; 0 requires data as of the request. */
	kb_time_t max_age_ms;
	double share;
	uint64_t bytes;
	int bulk;
} read_kind_t;

typedef struct workload {
	const char *name;
	kb_time_t site_latency_us;
	unsigned slots;
	unsigned sessions;
	double think_ms;
	double write_share;
	/* Factor on the share of writes during bursts. */
	double burst;
	read_kind_t kinds[KINDS];
} workload_t;

/* A target and its gate, at the same site. */
typedef struct gate {
	kb_bench_replica_t replica;
	kb_freshness_sampler_t sampler;
	kb_report_t reports[SITES];
	kb_time_t as_of[SITES];
	/* When the probe that returned each report was sent. */
	kb_time_t reported_at[SITES];
	/* Reads that wait for the target to catch up. */
	struct read *deferred;
	int refreshing;
	unsigned busy;
	struct read *first;
	struct read **last;
} gate_t;

typedef struct group {
	kb_bench_log_t log;
	size_t primary;
	gate_t gates[SITES];
	kb_least_work_t policies[HOSTS];
	kb_route_hint_t hints[HOSTS][SITES];
	size_t next_round_robin;
} group_t;

typedef struct session {
	group_t *group;
	int other_region;
	kb_point_t point;
} session_t;

typedef struct totals {
	uint64_t reads;
	/* Reads with bounded staleness. */
	uint64_t bounded;
	uint64_t replica;
	/* Reads that a replica could have served. */
	uint64_t oracle;
	uint64_t refused;
	/* Reads that were served data older than accepted. */
	uint64_t too_old;
	/* Reads that were served without the session's last write. */
	uint64_t missing_writes;
	uint64_t attempts;
	/* Probes that gates sent for a read. */
	uint64_t refreshes;
	uint64_t link_bytes;
	double latency_ms;
} totals_t;

typedef struct config {
	const workload_t *workload;
	policy_t policy;
	/* Mean lag of the replicas. */
	kb_time_t mean_lag;
	/* Interval at which each gate probes a replica. */
	kb_time_t probe_interval;
	unsigned long seed;
} config_t;

typedef struct run {
	const config_t *config;
	kb_event_queue_t events;
	gsl_rng *rng;
	/* End of the warm-up; earlier reads are not counted. */
	kb_time_t warm_up_end;
	kb_time_t end;
	group_t groups[GROUPS];
	session_t *sessions;
	totals_t totals;
} run_t;

typedef struct read {
	session_t *session;
	const read_kind_t *kind;
	size_t class_index;
	kb_time_t service;
	kb_read_check_t check;
	size_t host;
	kb_time_t arrival;
	kb_route_t route;
	size_t target;
	kb_result_t result;
	/* Set after the warm-up. */
	int counted;
	/* Set if a replica was fresh enough when the read arrived. */
	int oracle;
	struct read *next;
} read_t;

typedef struct probe {
	group_t *group;
	size_t gate;
	size_t target;
	kb_time_t sent;
	/* Set if it was sent for a read. */
	int refresh;
	kb_report_t report;
} probe_t;

/* Sites of the hosts. */
extern const unsigned read_sim_host_sites[HOSTS];

/* Simulates a minute after the warm-up and adds its counts to `totals`. */
void read_sim_run(totals_t *totals, const config_t *config);

/* Sends a read to its next target; without one, counts and frees it. */
void read_sim_send(run_t *run, read_t *read, kb_time_t now);

/* Starts probing by a group's gates. */
void read_sim_probe(run_t *run, group_t *group, kb_time_t now);

/* Returns a one-way latency between two sites, with jitter. */
kb_time_t read_sim_latency(run_t *run, size_t from, size_t to);

#endif
