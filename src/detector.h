#ifndef KB_DETECTOR_H
#define KB_DETECTOR_H

#include "watch.h"

KB_BEGIN_DECLS

enum {
	/* A stall up to this long never counts as a failure. */
	KB_DETECTOR_STALL_MS = 300,
	KB_DETECTOR_MARGIN_MS = 60,
	KB_DETECTOR_MAX_TIMEOUT_MS = 1500,
	KB_DETECTOR_SUSPECT_MS = 100,
	KB_DETECTOR_REFUSED_MS = 150,
	KB_DETECTOR_REFUSED_COUNT = 3,
	KB_DETECTOR_PROGRESS_MS = 200,
	KB_DETECTOR_REPLICATION_MS = 2000,
	KB_DETECTOR_TERM_AHEAD_MS = 2000,
};

/* Health of a group's primary as seen by one host. */
typedef enum kb_health {
	/* Too few targets have reported so far. */
	KB_HEALTH_UNKNOWN,
	/* The primary serves. */
	KB_HEALTH_OK,
	/* The primary is slower than usual. */
	KB_HEALTH_SUSPECT,
	/* No primary serves and one has to be promoted. */
	KB_HEALTH_DEAD,
	/* This host does not reach a majority of the targets. */
	KB_HEALTH_CUT_OFF,
} kb_health_t;

/* Why a primary is to be replaced. */
typedef enum kb_cause {
	KB_CAUSE_NONE,
	/* It does not answer. */
	KB_CAUSE_SILENT,
	/* Its host refuses connections. */
	KB_CAUSE_REFUSED,
	/* No target reports to be the primary of the newest term. */
	KB_CAUSE_NO_PRIMARY,
	/* Too few replicas receive its log. */
	KB_CAUSE_REPLICATION,
	/* A target that was fenced at a newer term cannot follow it. */
	KB_CAUSE_TERM_AHEAD,
	/* An operator has marked it as leaving. */
	KB_CAUSE_LEAVING,
} kb_cause_t;

/* Returns the name used in logs, such as "silent". */
const char *kb_cause_name(kb_cause_t cause);

/* Limits of the detector; all are durations except `refused_count`. */
typedef struct kb_detector_params {
	/*
	 * A target is unreachable if a probe has gone unanswered for the sum of
	 * these and the usual round trip.
	 */
	kb_time_t stall;
	kb_time_t margin;
	/* Upper bound of that sum. */
	kb_time_t max_timeout;
	/*
	 * Time beyond the usual round trip until an unanswered primary is
	 * suspected.
	 */
	kb_time_t suspect;
	/*
	 * A target is unreachable after this many refused probes in a row, over
	 * at least this time.
	 */
	unsigned refused_count;
	kb_time_t refused;
	/*
	 * A replica whose log has grown within this time shows a live primary.
	 */
	kb_time_t progress;
	/* Time for which too few replicas may receive the log. */
	kb_time_t replication;
	/* Time for which a target may be in a newer term than the primary. */
	kb_time_t term_ahead;
} kb_detector_params_t;

/*
 * Distinguishes a dead primary from a slow one and from a network partition
 * that affects only this host.
 */
typedef struct kb_detector {
	kb_detector_params_t params;
	kb_health_t health;
	kb_cause_t cause;
	/* Term to which the times below apply. */
	uint64_t term;
	/* Since when a target has been in a newer term, or KB_TIME_NEVER. */
	kb_time_t ahead_since;
	/* Since when too few replicas receive the log, or KB_TIME_NEVER. */
	kb_time_t under_replicated_since;
} kb_detector_t;

/* Sets the defaults. */
void kb_detector_params_init(kb_detector_params_t *params);

/* Initializes `detector`. */
void kb_detector_init(kb_detector_t *detector,
		      const kb_detector_params_t *params);

/* Ends `detector`. */
void kb_detector_finish(kb_detector_t *detector);

/* Returns the time without an answer after which `target` is unreachable. */
kb_time_t kb_detector_timeout(const kb_detector_t *detector,
			      const kb_watch_target_t *target);

/* Returns non-zero if `target` has answered and is not unreachable. */
int kb_detector_is_reachable(const kb_detector_t *detector, kb_time_t now,
			     const kb_watch_target_t *target);

/*
 * Evaluates the reports collected by `watch` and sets `health` and `cause`.
 * Returns when the result may change without a report, or KB_TIME_NEVER.
 */
kb_time_t kb_detector_update(kb_detector_t *detector, kb_time_t now,
			     const kb_watch_t *watch);

KB_END_DECLS

#endif
