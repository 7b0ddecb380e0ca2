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

/* One host's view of a group's primary. */
typedef enum kb_health {
	/* Not enough has been seen. */
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
	/* The operators declared that it is leaving. */
	KB_CAUSE_LEAVING,
} kb_cause_t;

/* Returns the name used in logs, such as "silent". */
const char *kb_cause_name(kb_cause_t cause);

/* Limits of the detector; all are times but `refused_count`. */
typedef struct kb_detector_params {
	/* Silence beyond the usual round trip: longest stall and margin. */
	kb_time_t stall;
	kb_time_t margin;
	/* Most that the limit of silence grows to. */
	kb_time_t max_silence;
	/* Silence beyond the usual round trip that raises suspicion. */
	kb_time_t suspect;
	/* Refused probes: how many in a row, and over how long. */
	unsigned refused_count;
	kb_time_t refused;
	/* A replica's log that moved so lately shows a living primary. */
	kb_time_t progress;
	/* How long too few replicas may receive the log. */
	kb_time_t replication;
	/* How long a target may be in a newer term than the primary. */
	kb_time_t term_ahead;
} kb_detector_params_t;

/* Tells a dead primary from a slow one and from a cut of this host alone. */
typedef struct kb_detector {
	kb_detector_params_t params;
	kb_health_t health;
	kb_cause_t cause;
	/* Term of the primary that the times below concern. */
	uint64_t term;
	/* When a target ahead in term was first seen, or never. */
	kb_time_t ahead_since;
	/* Since when too few replicas receive the log, or never. */
	kb_time_t short_since;
} kb_detector_t;

/* Sets the defaults. */
void kb_detector_params_init(kb_detector_params_t *params);

/* Initializes `detector`. */
void kb_detector_init(kb_detector_t *detector,
		      const kb_detector_params_t *params);

/* Ends `detector`. */
void kb_detector_finish(kb_detector_t *detector);

/* Returns the silence after which a target counts as unreachable. */
kb_time_t kb_detector_timeout(const kb_detector_t *detector,
			      const kb_watch_target_t *target);

/* Returns non-zero if `target` has answered and does not count as gone. */
int kb_detector_is_reachable(const kb_detector_t *detector, kb_time_t now,
			     const kb_watch_target_t *target);

/*
 * Judges what `watch` has seen; sets `health` and `cause`. Returns when the
 * judgement may change without a report, or KB_TIME_NEVER.
 */
kb_time_t kb_detector_update(kb_detector_t *detector, kb_time_t now,
			     const kb_watch_t *watch);

KB_END_DECLS

#endif
