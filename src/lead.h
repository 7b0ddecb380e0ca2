#ifndef KB_LEAD_H
#define KB_LEAD_H

#include "target_list.h"

KB_BEGIN_DECLS

enum {
	KB_LEAD_TARGETS_MAX = 16,
	KB_LEAD_PROBE_TIMEOUT_MS = 350,
	/* Time for all targets to answer while the primary is looked up. */
	KB_LEAD_FIND_MS = 450,
	/* A replica is promoted if no primary is found for this time. */
	KB_LEAD_LEADERLESS_MS = 900,
	/* A primary that refuses connections for this time has failed. */
	KB_LEAD_REFUSED_MS = 350,
	/* Above 1 s, as a healthy primary may stall for up to a second. */
	KB_LEAD_SILENT_MS = 1150,
	/* Time for replicas to report their positions before a promotion. */
	KB_LEAD_POLL_MS = 300,
	/* Time in which an accepted promotion takes effect. */
	KB_LEAD_PROMOTE_MS = 2000,
	/* Remaining lease required, longer than a promotion takes. */
	KB_LEAD_HOLD_LEFT_MS = 800,
	/* Least interval between two probes of a target. */
	KB_LEAD_PROBE_PAUSE_MS = 40,
	/* Switchover: time for open transactions to end. */
	KB_LEAD_FINISH_MS = 500,
	/* Switchover: greatest lag of the replica at which it begins. */
	KB_LEAD_CATCH_UP_MS = 150,
	/* Switchover: it begins after this time whatever the lag is. */
	KB_LEAD_PLANNED_MAX_MS = 3500,
	/* A replaced primary is sent step-down commands for this time. */
	KB_LEAD_STEP_DOWN_S = 20,
};

typedef enum kb_lead_state {
	/* This host does not hold the lease on the group. */
	KB_LEAD_IDLE,
	/* Probes the targets to find the primary. */
	KB_LEAD_FINDING,
	KB_LEAD_SERVING,
	/* A connection to the primary failed; the primary is probed. */
	KB_LEAD_DOUBTING,
	/* The primary is leaving; waits for a replica with all its commits. */
	KB_LEAD_REPLACING,
	/* Polls the replicas, then waits until the promotion takes effect. */
	KB_LEAD_PROMOTING,
} kb_lead_state_t;

/* State of the probes of one target, and its last answer. */
typedef struct kb_lead_probe {
	kb_name_t target;
	kb_time_t sent_at;
	int waiting;
	/* Time of the last answer and of the last failure; 0 for none. */
	kb_time_t answered_at;
	kb_time_t failed_at;
	int refused;
	kb_target_report_t report;
	/* The platform has refused to promote it. */
	int rejected;
} kb_lead_probe_t;

typedef struct kb_lead kb_lead_t;

typedef struct kb_lead_ops {
	/* Requests a target's status; kb_lead_on_probe() follows. */
	void (*probe)(void *ctx, const kb_target_entry_t *target);
	void (*step_down)(void *ctx, const kb_target_entry_t *target,
			  uint64_t term);
	/* Requests a promotion; kb_lead_on_promoted() follows. */
	void (*promote)(void *ctx, const kb_target_entry_t *target);
	/*
	 * Asks other hosts whether they reach the target;
	 * kb_lead_on_reached() follows for each that does.
	 */
	void (*inquire)(void *ctx, const kb_target_entry_t *target);
	/* Hands the lease over to a host that reaches the primary. */
	void (*hand_over)(void *ctx, const kb_name_t *host);
	/* Directs statements to `primary`, or to no target if it is NULL. */
	void (*bind)(void *ctx, const kb_target_entry_t *primary);
	/* Queues new statements if `paused` is set, else lets them run. */
	void (*pause)(void *ctx, int paused);
	/* Rolls back open transactions. */
	void (*abort)(void *ctx);
	/* Number of running statements and open transactions. */
	unsigned (*active)(void *ctx);
	/* Time until the lease expires without a further renewal. */
	kb_time_t (*hold_left)(void *ctx);
} kb_lead_ops_t;

/*
 * Finds and monitors a group's primary and replaces it when it fails or is
 * leaving. Active on the host that holds the lease on the group.
 */
struct kb_lead {
	const kb_lead_ops_t *ops;
	void *ctx;
	kb_name_t group;
	/* The promoted target must have all acknowledged commits. */
	int durable;
	kb_lead_state_t state;
	kb_time_t since;
	kb_target_entry_t primary;
	int has_primary;
	uint64_t term;
	/* Newest known end of the primary's log. */
	kb_point_t newest;
	size_t probe_count;
	kb_lead_probe_t probes[KB_LEAD_TARGETS_MAX];
	/*
	 * Target being promoted or, during a switchover, the one that
	 * statements wait for; empty while there is none.
	 */
	kb_name_t chosen;
	kb_time_t ordered_at;
	int ordered;
	int planned;
	int paused;
	int inquired;
	/* Former primary that is sent step-down commands. */
	kb_name_t replaced;
	kb_time_t replaced_at;
	kb_time_t stepped_at;
	/* Start of the current gap without a primary; 0 if there is none. */
	kb_time_t lost_at;
	uint64_t promotions;
};

void kb_lead_init(kb_lead_t *lead, const kb_lead_ops_t *ops, void *ctx,
		  const kb_name_t *group);

/* Activates the monitor if this host holds the lease, else stops it. */
void kb_lead_hold(kb_lead_t *lead, int holds, kb_time_t now);

/* Runs the actions that are due; `targets` are those of all groups. */
void kb_lead_tick(kb_lead_t *lead, const kb_target_list_t *targets,
		  kb_time_t now);

/*
 * Takes the result of a probe. KB_ERR_OVERLOADED: the target is alive but did
 * not report its status. KB_ERR_UNREACHABLE: it refused the connection.
 */
void kb_lead_on_probe(kb_lead_t *lead, kb_str_t target, kb_result_t result,
		      const kb_target_report_t *report, kb_time_t now);

/*
 * Takes the answer to a promotion. KB_ERR_CONFLICT: refused for good.
 * KB_ERR_OVERLOADED, KB_ERR_UNREACHABLE: not done. Other errors leave it open.
 */
void kb_lead_on_promoted(kb_lead_t *lead, kb_str_t target, kb_result_t result,
			 kb_time_t now);

/* Another host reports that it reaches the target, primary in `term`. */
void kb_lead_on_reached(kb_lead_t *lead, kb_str_t target, const kb_name_t *host,
			uint64_t term);

/* The primary has answered with `point` as the end of its log. */
void kb_lead_on_answer(kb_lead_t *lead, kb_point_t point);
/*
 * A connection to the primary failed or, if `read_only` is set, it refused a
 * write because it is not the primary any more.
 */
void kb_lead_on_trouble(kb_lead_t *lead, int read_only, kb_time_t now);

/* Whether the primary is known and statements are directed to it. */
int kb_lead_serves(const kb_lead_t *lead);

KB_END_DECLS

#endif
