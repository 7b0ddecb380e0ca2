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
	/* Time without an answer after which a target counts as silent. */
	KB_AGENT_SILENT_TIMEOUT_MS = 400,
};

typedef struct kb_agent kb_agent_t;

/* What an agent needs of its host. */
typedef struct kb_agent_ops {
	/* Asks the other watchers of the group for their views. */
	void (*ask_views)(kb_agent_t *agent);
	/* `primary` serves in `term`. */
	void (*primary_changed)(kb_agent_t *agent, uint64_t term,
				size_t primary, int promoted);
	/* A probe of `target` was answered. */
	void (*reported)(kb_agent_t *agent, size_t target);
} kb_agent_ops_t;

/* What an agent is made from. */
typedef struct kb_agent_setup {
	struct event_base *loop;
	kb_clock_t *clock;
	kb_connector_t *connector;
	const kb_group_spec_t *group;
	/* Id that no other process uses. */
	kb_name_t promoter;
	const kb_agent_ops_t *ops;
	void *owner;
} kb_agent_setup_t;

/*
 * Watches one group from this host: carries the probes and orders of the
 * failover decisions to the targets, confirms writes, and knows how old the
 * data of each target is.
 */
struct kb_agent {
	/* First member: operations of the failover refer to it. */
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

/* Ends every wait for confirmation with KB_ERR_UNKNOWN. */
void kb_agent_finish(kb_agent_t *agent);

/* Takes a changed declaration of the group. */
kb_result_t kb_agent_set_group(kb_agent_t *agent, const kb_group_spec_t *group);

/* Takes the watchers; see kb_failover_set_watchers(). */
void kb_agent_set_watchers(kb_agent_t *agent, size_t count, size_t rank);

/* Takes the view of another watcher. */
void kb_agent_on_view(kb_agent_t *agent, size_t watcher,
		      const kb_primary_view_t *view);

/* Starts or ends the wait of a request for confirmation. */
void kb_agent_confirm(kb_agent_t *agent, kb_confirm_entry_t *entry);
void kb_agent_unconfirm(kb_agent_t *agent, kb_confirm_entry_t *entry);

/* Whether a target has not answered a probe for longer than a short stall. */
int kb_agent_is_silent(const kb_agent_t *agent, size_t target);

/* Asks for a probe of each target that is sent after this call. */
void kb_agent_refresh(kb_agent_t *agent);

/* Returns the index of the primary, or KB_NO_TARGET. */
size_t kb_agent_primary(const kb_agent_t *agent);

/*
 * Returns the latest time whose data a target certainly shows, or
 * KB_TIME_NEVER if none is known.
 */
kb_time_t kb_agent_reached(const kb_agent_t *agent, size_t target);

/* Returns the newest report of a target and its probe's time, or NULL. */
const kb_report_t *kb_agent_report(const kb_agent_t *agent, size_t target,
				   kb_time_t *reported_at);

/* Returns non-zero if a target's data are known to include `point`. */
int kb_agent_includes(const kb_agent_t *agent, size_t target, kb_point_t point);

/*
 * Fills in `view` with `items`, one for each target; their strings belong to
 * the agent.
 */
void kb_agent_fill_view(kb_agent_t *agent, kbx_group_view *view,
			kbx_target_view items[KB_GROUP_MAX_TARGETS]);

KB_END_DECLS

#endif
