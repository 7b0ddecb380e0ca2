#ifndef KB_AGENT_H
#define KB_AGENT_H

#include "confirm.h"
#include "control.h"
#include "failover.h"
#include "gen/kumquat_rpc.h"
#include "freshness_sampler.h"
#include "wakeup.h"

KB_BEGIN_DECLS

enum {
	/* A target whose probe is unanswered for longer counts as silent. */
	KB_AGENT_SILENT_TIMEOUT_MS = 400,
};

typedef struct kb_agent kb_agent_t;

/* Callbacks through which an agent uses the host that it runs on. */
typedef struct kb_agent_ops {
	/* Requests the views of the other watchers of the group. */
	void (*request_views)(kb_agent_t *agent);
	/*
	 * `primary` is the group's primary in `term`. `promoted` is set if
	 * this agent promoted it.
	 */
	void (*primary_changed)(kb_agent_t *agent, uint64_t term,
				size_t primary, int promoted);
	/* A probe of `target` was answered. */
	void (*reported)(kb_agent_t *agent, size_t target);
} kb_agent_ops_t;

/* Parameters of kb_agent_init(). */
typedef struct kb_agent_setup {
	struct event_base *loop;
	kb_clock_t *clock;
	kb_connector_t *connector;
	const kb_group_spec_t *group;
	/* Unique id of this process, sent with fences and promotions. */
	kb_name_t promoter;
	const kb_agent_ops_t *ops;
	void *owner;
} kb_agent_setup_t;

/*
 * Watches one group from this host: sends the probes and commands of the
 * failover logic to the targets, confirms writes, and tracks the age of each
 * target's data.
 */
struct kb_agent {
	/* First member, since the failover callbacks cast it to the agent. */
	kb_failover_t failover;
	kb_confirm_t confirm;
	kb_freshness_sampler_t sampler;
	const kb_agent_ops_t *ops;
	void *owner;
	kb_clock_t *clock;
	struct event_base *loop;
	kb_connector_t *connector;
	kb_group_spec_t spec;
	kb_name_t promoter;
	kb_control_t controls[KB_GROUP_MAX_TARGETS];
	size_t control_count;
	kb_wakeup_t wakeup;
	uint64_t probes;
};

kb_result_t kb_agent_init(kb_agent_t *agent, const kb_agent_setup_t *setup);

/* Ends every pending confirmation with KB_ERR_UNKNOWN. */
void kb_agent_finish(kb_agent_t *agent);

/* Applies a changed specification of the group; replaces its connections. */
kb_result_t kb_agent_set_group(kb_agent_t *agent, const kb_group_spec_t *group);

/* Sets the number of watchers and this one's rank. */
void kb_agent_set_watchers(kb_agent_t *agent, size_t count, size_t rank);

/* Processes the view of another watcher. */
void kb_agent_on_view(kb_agent_t *agent, size_t watcher,
		      const kb_primary_view_t *view);

/* Adds or removes a request that waits for confirmation of its write. */
void kb_agent_confirm(kb_agent_t *agent, kb_confirm_entry_t *entry);
void kb_agent_cancel_confirm(kb_agent_t *agent, kb_confirm_entry_t *entry);

/* Whether a probe of `target` is unanswered for KB_AGENT_SILENT_TIMEOUT_MS. */
int kb_agent_is_silent(const kb_agent_t *agent, size_t target);

/* Requests a new probe of each target; probes in flight do not count. */
void kb_agent_request_probes(kb_agent_t *agent);

/* Returns the index of the primary, or KB_NO_TARGET. */
size_t kb_agent_primary(const kb_agent_t *agent);

/*
 * Returns the latest time up to which a target's data is known to be
 * complete, or KB_TIME_NEVER if none is known.
 */
kb_time_t kb_agent_data_as_of(const kb_agent_t *agent, size_t target);

/*
 * Returns the newest report of a target, or NULL. Sets `*reported_at` to the
 * time at which its probe was sent.
 */
const kb_report_t *kb_agent_report(const kb_agent_t *agent, size_t target,
				   kb_time_t *reported_at);

/* Whether a target's data is known to include `point`. */
int kb_agent_includes(const kb_agent_t *agent, size_t target, kb_point_t point);

/*
 * Fills in `view` with `items`, one for each target; their strings belong to
 * the agent.
 */
void kb_agent_fill_view(kb_agent_t *agent, kbx_group_view *view,
			kbx_target_view items[KB_GROUP_MAX_TARGETS]);

KB_END_DECLS

#endif
