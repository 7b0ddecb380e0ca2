#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "confirm.h"
#include "failover.h"
#include "fake_queue.h"
#include "fake_target.h"
#include "rng.h"

KB_BEGIN_DECLS

#define FAKE_MAX_HOSTS 4
#define FAKE_MAX_NODES (KB_GROUP_MAX_TARGETS + FAKE_MAX_HOSTS)
#define FAKE_MAX_SITES 3

/* Parameters of a run. Nodes are numbered: targets first, then hosts. */
typedef struct fake_params {
	uint64_t seed;
	size_t target_count;
	size_t host_count;
	/* The first `watcher_count` hosts watch the group. */
	size_t watcher_count;
	/* Hosts with this index and above write. */
	size_t first_writer;
	size_t site[FAKE_MAX_NODES];
	/* One-way latency between sites, and the maximum jitter. */
	kb_time_t latency[FAKE_MAX_SITES][FAKE_MAX_SITES];
	kb_time_t jitter;
	/* Share of messages that are delayed by up to `tail` more. */
	unsigned tail_per_mille;
	kb_time_t tail;
	unsigned loss_per_mille;
	/* Interval at which each host writes, and the write's time-out. */
	kb_time_t write_interval;
	kb_time_t write_deadline;
	/* Share of writes that wait only for confirmation of their term. */
	unsigned term_only_percent;
	/* Hosts do not answer each other's requests for views. */
	int ignores_view_requests;
	kb_failover_params_t failover;
	kb_confirm_params_t confirm;
} fake_params_t;

/* A committed write that waits for confirmation. */
typedef struct fake_write {
	kb_confirm_entry_t entry;
	struct fake_group *group;
	uint64_t id;
	/* A newer primary had been promoted before it committed. */
	int stale;
} fake_write_t;

/* A write that was acknowledged. */
typedef struct fake_ack {
	kb_time_t time;
	kb_point_t point;
	uint64_t write;
	int durable;
	int stale;
} fake_ack_t;

/* A host with the state machines under test. */
typedef struct fake_host {
	kb_failover_t failover;
	kb_confirm_t confirm;
	struct fake_group *group;
	size_t index;
	int up;
	/* Start of the host; replies to an earlier one are dropped. */
	uint64_t generation;
	kb_time_t wake;
} fake_host_t;

/*
 * A simulated database group, the hosts in front of it and the network between
 * them.
 */
typedef struct fake_group {
	fake_params_t params;
	kb_group_spec_t spec;
	kb_rng_t rng;
	kb_time_t now;
	fake_queue_t queue;
	fake_target_t targets[KB_GROUP_MAX_TARGETS];
	/* When the push in flight to the target was sent, or never. */
	kb_time_t pushed_at[KB_GROUP_MAX_TARGETS];
	fake_host_t hosts[FAKE_MAX_HOSTS];
	kb_time_t paused_until[FAKE_MAX_NODES];
	/* cut[a][b]: messages from a to b are dropped. */
	unsigned char cut[FAKE_MAX_NODES][FAKE_MAX_NODES];
	/* How many of the next replies to each kind of command to drop. */
	unsigned replies_to_drop[KB_COMMAND_FOLLOW + 1];
	uint64_t writes;
	fake_ack_t *acks;
	size_t ack_count, ack_capacity;
	/* Highest term of a promotion that took effect. */
	uint64_t promoted_term;
	size_t promotions;
	/* Messages sent. */
	uint64_t messages;
	/* First violated invariant, or NULL. */
	const char *violation;
} fake_group_t;

/*
 * Latencies of a deployment: two data centres of one region, and one of another
 * region.
 */
typedef enum fake_deployment {
	FAKE_KHOMAS,
	FAKE_RIGA,
} fake_deployment_t;

/* Places targets and hosts over three sites with a deployment's latencies. */
void fake_params_set_deployment(fake_params_t *params,
				fake_deployment_t deployment);

/* Sets one site, no loss, 1 ms latency and default parameters. */
void fake_params_init(fake_params_t *params);

/* Sets up the group with target 0 as primary of term 1. */
void fake_group_init(fake_group_t *group, const fake_params_t *params);

/* Frees the group. */
void fake_group_finish(fake_group_t *group);

/* Delivers messages until `end`. */
void fake_group_run(fake_group_t *group, kb_time_t end);

/* Returns the node number of a host. */
size_t fake_group_host_node(const fake_group_t *group, size_t host);

/* Returns the target that is primary of the newest term, or FAKE_NO_TARGET. */
size_t fake_group_primary(const fake_group_t *group);

/* Stops a target; if `refuses`, probes of it are refused, else lost. */
void fake_group_crash_target(fake_group_t *group, size_t target, int refuses);
/* Restarts a target with its log, term and role. */
void fake_group_restart_target(fake_group_t *group, size_t target);

/* Stops a host, which loses its state, and restarts it. */
void fake_group_crash_host(fake_group_t *group, size_t host);
void fake_group_restart_host(fake_group_t *group, size_t host);

/* Pauses a node: its messages and timers are held back until `until`. */
void fake_group_pause(fake_group_t *group, size_t node, kb_time_t until);

/* Partitions or reconnects two nodes, in both directions. */
void fake_group_cut(fake_group_t *group, size_t a, size_t b, int cut);
/* Partitions a node from all others, or reconnects it. */
void fake_group_isolate(fake_group_t *group, size_t node, int cut);
/* Removes all partitions. */
void fake_group_heal(fake_group_t *group);

/* Sets the administrative state of a target at every host. */
void fake_group_set_state(fake_group_t *group, size_t target,
			  kb_admin_state_t state);

/*
 * Returns the time of the first acknowledgement after `time`, or KB_TIME_NEVER.
 */
kb_time_t fake_group_next_ack(const fake_group_t *group, kb_time_t time);
/*
 * Returns the longest time without an acknowledgement between `from` and
 * `to`, which both count as one.
 */
kb_time_t fake_group_longest_gap(const fake_group_t *group, kb_time_t from,
				 kb_time_t to);

KB_END_DECLS

#endif
