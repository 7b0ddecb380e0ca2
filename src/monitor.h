#ifndef KB_MONITOR_H
#define KB_MONITOR_H

#include "target_list.h"

KB_BEGIN_DECLS

enum {
	KB_MONITOR_TARGETS_MAX = 16,
	/* A probe without an answer has failed after this time. */
	KB_MONITOR_PROBE_TIMEOUT_MS = 350,
	/* Time for the targets to answer when the primary is looked for. */
	KB_MONITOR_FIND_TIMEOUT_MS = 450,
	/* A group without a primary is given one after this time. */
	KB_MONITOR_NO_PRIMARY_TIMEOUT_MS = 900,
	/* A primary that refuses connections is dead after this time. */
	KB_MONITOR_REFUSED_TIMEOUT_MS = 350,
	/* A silent one may stand still for up to a second and live. */
	KB_MONITOR_SILENT_TIMEOUT_MS = 1150,
	/* Time for replicas to tell their positions before a promotion. */
	KB_MONITOR_POLL_TIMEOUT_MS = 300,
	/* A promotion that was accepted takes effect within this time. */
	KB_MONITOR_PROMOTION_TIMEOUT_MS = 2000,
	/* The hold must last longer than a promotion takes to have effect. */
	KB_MONITOR_MIN_LEASE_LEFT_MS = 800,
	/* Pause between two probes of a target that is waited for. */
	KB_MONITOR_PROBE_INTERVAL_MS = 40,
	/* Open transactions end within this time at a planned change. */
	KB_MONITOR_DRAIN_TIMEOUT_MS = 500,
	/* A replica must be no further behind when a planned change begins. */
	KB_MONITOR_SWITCHOVER_MAX_LAG_MS = 150,
	/* After this time a planned change no longer waits for that. */
	KB_MONITOR_SWITCHOVER_TIMEOUT_MS = 3500,
	/* A replaced primary is told so for this time. */
	KB_MONITOR_STEP_DOWN_S = 20,
};

typedef enum kb_monitor_state {
	/* This host does not hold the group. */
	KB_MONITOR_IDLE,
	/* Looks for the primary. */
	KB_MONITOR_FINDING,
	KB_MONITOR_SERVING,
	/* The primary is silent or refuses; it may be dead. */
	KB_MONITOR_SUSPECTING,
	/* The primary leaves; it is to be replaced without a loss. */
	KB_MONITOR_SWITCHOVER,
	/* Polls the replicas, then waits for the one promoted. */
	KB_MONITOR_PROMOTING,
} kb_monitor_state_t;

/* What a target answered last. */
typedef struct kb_monitor_probe {
	kb_name_t target;
	kb_time_t sent_at;
	int waiting;
	/* Time of the last answer and of the last failure; 0 for none. */
	kb_time_t answered_at;
	kb_time_t failed_at;
	int refused;
	kb_target_report_t report;
	/* The platform refused to promote it. */
	int rejected;
} kb_monitor_probe_t;

typedef struct kb_monitor kb_monitor_t;

typedef struct kb_monitor_ops {
	/* Asks a target for its report; kb_monitor_on_probe() follows. */
	void (*probe)(void *ctx, const kb_target_entry_t *target);
	void (*step_down)(void *ctx, const kb_target_entry_t *target,
			  uint64_t term);
	/* Orders a promotion; kb_monitor_on_promoted() follows. */
	void (*promote)(void *ctx, const kb_target_entry_t *target);
	/* Asks other hosts whether they reach it; kb_monitor_on_reachable(). */
	void (*inquire)(void *ctx, const kb_target_entry_t *target);
	/* Hands the group over to a host that reaches the primary. */
	void (*hand_over)(void *ctx, const kb_name_t *host);
	/* Sends statements to `primary` from now on; NULL: to none. */
	void (*bind)(void *ctx, const kb_target_entry_t *primary);
	/* Lets new statements wait, or go on. */
	void (*pause)(void *ctx, int paused);
	/* Rolls back open transactions. */
	void (*abort)(void *ctx);
	/* Statements sent and open transactions. */
	unsigned (*active)(void *ctx);
	/* Time for which the hold lasts without a further renewal. */
	kb_time_t (*hold_left)(void *ctx);
} kb_monitor_ops_t;

/* Finds, watches and replaces a group's primary for the host that holds it. */
struct kb_monitor {
	const kb_monitor_ops_t *ops;
	void *ctx;
	kb_name_t group;
	/* Acknowledged commits must be in the log of what is promoted. */
	int durable;
	kb_monitor_state_t state;
	kb_time_t since;
	kb_target_entry_t primary;
	int has_primary;
	uint64_t term;
	/* Newest end of the primary's log that was seen. */
	kb_point_t newest;
	size_t probe_count;
	kb_monitor_probe_t probes[KB_MONITOR_TARGETS_MAX];
	/* Target being promoted, or empty while replicas are polled. */
	kb_name_t chosen;
	kb_time_t ordered_at;
	int ordered;
	int planned;
	int paused;
	int inquired;
	/* Former primary that is told to step down. */
	kb_name_t replaced;
	kb_time_t replaced_at;
	kb_time_t stepped_at;
	/* When the primary was last sure to serve, for the metrics. */
	kb_time_t lost_at;
	uint64_t promotions;
};

void kb_monitor_init(kb_monitor_t *lead, const kb_monitor_ops_t *ops, void *ctx,
		     const kb_name_t *group);

/* Begins or ends the work of the host that holds the group. */
void kb_monitor_set_active(kb_monitor_t *lead, int holds, kb_time_t now);

/* Carries out what is due, given all targets. */
void kb_monitor_tick(kb_monitor_t *lead, const kb_target_list_t *targets,
		     kb_time_t now);

/*
 * A probe ended. KB_ERR_OVERLOADED: the target lives but did not tell its
 * state. KB_ERR_UNREACHABLE: it refused the connection.
 */
void kb_monitor_on_probe(kb_monitor_t *lead, kb_str_t target,
			 kb_result_t result, const kb_target_report_t *report,
			 kb_time_t now);

/* A promotion was accepted, refused for good, or is uncertain. */
void kb_monitor_on_promoted(kb_monitor_t *lead, kb_str_t target,
			    kb_result_t result, kb_time_t now);

/* Another host reaches the target, which is primary in `term`. */
void kb_monitor_on_reachable(kb_monitor_t *lead, kb_str_t target,
			     const kb_name_t *host, uint64_t term);

/* Signs from the connections to the primary. */
void kb_monitor_on_answer(kb_monitor_t *lead, kb_point_t point);
void kb_monitor_on_connection_error(kb_monitor_t *lead, int read_only,
				    kb_time_t now);

/* Whether the primary is known and statements go to it. */
int kb_monitor_is_serving(const kb_monitor_t *lead);

KB_END_DECLS

#endif
