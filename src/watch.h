#ifndef KB_WATCH_H
#define KB_WATCH_H

#include "group.h"
#include "report.h"

KB_BEGIN_DECLS

/* Stands for "none of the targets" where an index is expected. */
#define KB_NO_TARGET SIZE_MAX

enum {
	KB_WATCH_HEARTBEAT_MS = 100,
	KB_WATCH_MIN_INTERVAL_MS = 2,
	KB_WATCH_POLL_INTERVAL_MS = 8,
	KB_WATCH_DISTANT_INTERVAL_MS = 50,
	KB_WATCH_URGENT_INTERVAL_MS = 25,
	KB_WATCH_TIMEOUT_MS = 150,
	/* Probes per target whose answer is recognised when it comes late. */
	KB_WATCH_PROBE_HISTORY = 8,
};

typedef struct kb_watch kb_watch_t;

/* Orders of a watch. They must not call back into the watch. */
typedef struct kb_watch_ops {
	/*
	 * Sends a probe to target `target`. Its answer or failure goes to
	 * kb_watch_on_report() with the same `probe_id`. A second call for
	 * a target supersedes its unanswered probe, whose late answer is
	 * still of use.
	 */
	void (*probe)(kb_watch_t *watch, size_t target, uint64_t probe_id);
} kb_watch_ops_t;

/* How often a watch probes. */
typedef struct kb_watch_params {
	/* Interval when nothing waits; 0 probes only when something does. */
	kb_time_t heartbeat;
	/*
	 * Interval for targets other than the primary, once it is known;
	 * without effect if `heartbeat` is 0.
	 */
	kb_time_t replica_heartbeat;
	/* Least time between two probes of a target. */
	kb_time_t min_interval;
	/* Interval while a request waits for a replica to catch up. */
	kb_time_t poll_interval;
	/*
	 * Interval of targets that are not needed while requests wait, as
	 * nearer ones make a majority; it saves bytes between regions.
	 */
	kb_time_t distant_interval;
	/* Interval after a refused probe, or while urgent. */
	kb_time_t urgent_interval;
	/* Time beyond the usual round trip until a probe is superseded. */
	kb_time_t timeout;
} kb_watch_params_t;

/* A probe that was sent. */
typedef struct kb_watch_probe {
	uint64_t id;
	kb_time_t sent;
} kb_watch_probe_t;

/* What a watch knows of one target. */
typedef struct kb_watch_target {
	/* Newest probes, newest first. */
	kb_watch_probe_t probes[KB_WATCH_PROBE_HISTORY];
	size_t probe_count;
	/* The newest probe has neither been answered nor failed. */
	int in_flight;
	/* When the first probe since the last answer was sent, or never. */
	kb_time_t unanswered_since;
	/* Probes in a row that ended with KB_ERR_UNREACHABLE. */
	unsigned refused;
	kb_time_t refused_since;
	/* `report` answers probe `report_probe`. */
	int has_report;
	kb_report_t report;
	kb_watch_probe_t report_probe;
	/* Answers to probes up to this id are older than `report`. */
	uint64_t outdated_probe;
	kb_time_t answered_at;
	/* When the end of its log was last seen to move, or never. */
	kb_time_t progress_at;
	/* Since when it is behind the primary without progress, or never. */
	kb_time_t behind_since;
	/* Smoothed round trip and its mean deviation; 0 before a sample. */
	kb_time_t rtt;
	kb_time_t rtt_deviation;
} kb_watch_target_t;

/*
 * One host's picture of a database group, kept by probing its targets. One
 * probe of a target is in flight at a time and serves every waiting request,
 * so that the rate of probes does not grow with that of requests.
 */
struct kb_watch {
	const kb_watch_ops_t *ops;
	kb_watch_params_t params;
	kb_group_spec_t group;
	kb_watch_target_t targets[KB_GROUP_MAX_TARGETS];
	/* Id of the newest probe; ids increase over all targets. */
	uint64_t last_probe_id;
	/* Requests wait for answers to probes with an id above `wanted`. */
	int waiting;
	uint64_t wanted;
	/* Targets without a probe above this id are probed soon. */
	uint64_t refresh;
	/* Probes are sent at the urgent interval. */
	int urgent;
	/* Newest term seen with a primary, and that primary. */
	uint64_t term;
	size_t primary;
};

/* Sets the default intervals. */
void kb_watch_params_init(kb_watch_params_t *params);

/* Initializes `watch`, which copies `params` and `group`. */
void kb_watch_init(kb_watch_t *watch, const kb_watch_ops_t *ops,
		   const kb_watch_params_t *params,
		   const kb_group_spec_t *group);

/* Ends `watch`; answers that come later must not be passed to it. */
void kb_watch_finish(kb_watch_t *watch);

/* Takes a changed group; keeps what is known of targets that stay. */
void kb_watch_set_group(kb_watch_t *watch, const kb_group_spec_t *group);

/* Sends the probes that are due; returns when to call again. */
kb_time_t kb_watch_on_timer(kb_watch_t *watch, kb_time_t now);

/*
 * Takes the end of a probe: `report` if `result` is KB_OK, otherwise NULL.
 * KB_ERR_UNREACHABLE stands for a connection that the target's host refused
 * or reset, any other failure for no answer. Returns when to call
 * kb_watch_on_timer().
 */
kb_time_t kb_watch_on_report(kb_watch_t *watch, kb_time_t now, size_t target,
			     uint64_t probe_id, kb_result_t result,
			     const kb_report_t *report);

/*
 * Takes a report that came with the answer to an order sent before `now`;
 * it updates the state known but confirms nothing.
 */
void kb_watch_on_command_report(kb_watch_t *watch, kb_time_t now, size_t target,
				const kb_report_t *report);

/*
 * Asks for probes of a majority of the targets that are sent after this call.
 */
kb_time_t kb_watch_request_probes(kb_watch_t *watch, kb_time_t now);

/* Asks for one probe of each target soon, as its state may have changed. */
kb_time_t kb_watch_refresh(kb_watch_t *watch, kb_time_t now);

/* No request waits for answers any more. */
void kb_watch_clear_requests(kb_watch_t *watch);

/*
 * Returns the index of the primary, or KB_NO_TARGET if none is known, if it
 * reported that it is one no longer or if a majority has a newer term.
 */
size_t kb_watch_primary(const kb_watch_t *watch);

/* Returns the highest term that any target reported. */
uint64_t kb_watch_highest_term(const kb_watch_t *watch);

/*
 * Returns the latest time at which a majority is known to have been in the
 * primary's term, counting from the sending of probes; KB_TIME_NEVER if it
 * has not been seen. Answers of the primary since are as current as that.
 */
kb_time_t kb_watch_confirmed_at(const kb_watch_t *watch);

KB_END_DECLS

#endif
