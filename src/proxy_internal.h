#ifndef KB_PROXY_INTERNAL_H
#define KB_PROXY_INTERNAL_H

#include "proxy.h"

#include "hosts.h"
#include "load/target_belief.h"
#include "proxy_group.h"
#include "proxy_stats.h"
#include "registration.h"
#include "rng.h"
#include "rpc_server.h"
#include "store_poller.h"
#include "sync_feed.h"
#include "sync_tree.h"

#include <sys/queue.h>

struct event;

KB_BEGIN_DECLS

enum {
	/* RPC procedures between hosts. */
	KB_PROXY_RPC_PING = 100,
	KB_PROXY_RPC_RUN = 101,
	KB_PROXY_RPC_GRANT = 103,
	KB_PROXY_RPC_HOLDER_AGE = 104,
	KB_PROXY_RPC_WATERMARK = 105,
	KB_PROXY_RPC_REACH = 106,
	KB_PROXY_RPC_RECHECK = 107,
	KB_PROXY_RPC_LAST_GRANT = 108,
	KB_PROXY_RPC_FEED = 109,
	KB_PROXY_RPC_LOAN = 110,
	/* Interval of the periodic work. */
	KB_PROXY_TICK_INTERVAL_MS = 20,
	/* A quiet group is ticked once in this number of ticks. */
	KB_PROXY_QUIET_TICKS = 10,
	/* Timeout of a short call between hosts. */
	KB_PROXY_CALL_TIMEOUT_MS = 500,
};

/* Prefix of the keys that name the holders of groups. */
#define KB_PROXY_LEASE_KEY_PREFIX "kumquatbridge/hold/"

/*
 * A replica for which this host is the gate, the host that holds its
 * connections, slots and queue.
 */
typedef struct kb_proxy_gate {
	kb_proxy_t *proxy;
	kb_name_t target;
	kb_link_pool_t pool;
	kb_target_belief_t belief;
	/* The last check found the target silent. */
	int silent;
	kb_time_t used_at;
	UT_hash_handle by_target;
} kb_proxy_gate_t;

/* Load and log position of a target as known to this host. */
typedef struct kb_proxy_load {
	kb_name_t target;
	kbs_load load;
	kb_time_t at;
	/* Statements sent by this host that are not answered yet. */
	unsigned outstanding;
	/* End of its log as last reported, and when. */
	kb_point_t position;
	kb_time_t position_at;
	kb_time_t failed_at;
	/* Hosts that may be its gate. */
	kb_host_ranking_t gates;
	UT_hash_handle by_target;
} kb_proxy_load_t;

/* A configured host to contact while no other is known. */
typedef struct kb_proxy_seed {
	kb_rpc_peer_t peer;
	kb_endpoint_t endpoint;
} kb_proxy_seed_t;

/*
 * Reads of the list of the hosts in this data centre, from which a host that
 * has just started learns whom to ask for a copy of the store.
 */
typedef struct kb_proxy_discovery {
	int in_flight;
	kb_time_t next_at;
	/* The list contained this host, so it has its neighbours, too. */
	int complete;
	/* The last read failed. */
	int failed;
} kb_proxy_discovery_t;

struct kb_proxy {
	kb_proxy_setup_t setup;
	kb_clock_t *clock;
	kb_rng_t rng;
	kb_host_info_t self;
	kb_hosts_t hosts;
	kb_mirror_t mirror;
	/* Revision of the copy at the last check for a restore of the store. */
	int64_t checked_revision;
	int store_restored;
	kb_store_poller_t store_poller;
	kb_registration_t registration;
	kb_databases_t databases;
	kb_target_list_t targets;
	kb_rpc_server_t server;
	int has_server;
	kb_proxy_seed_t seeds[KB_SETTINGS_SEEDS_MAX];
	size_t seed_count;
	kb_proxy_group_t **groups;
	size_t group_count;
	/* Index of the groups by name. */
	kb_proxy_group_t *groups_by_name;
	kb_proxy_gate_t **gates;
	size_t gate_count;
	/* Index of the gates by target. */
	kb_proxy_gate_t *gates_by_target;
	/* Hash table of the loads by target. */
	kb_proxy_load_t *loads;
	struct event *tick;
	uint64_t tick_count;
	kb_time_t started_at;
	kb_start_phases_t start;
	/* Place of this host among those that pass on the store's changes. */
	kb_sync_tree_t tree;
	/* Calls of other hosts for changes. */
	kb_sync_feed_t feed;
	/* The call for changes to another host that is in flight, if any. */
	kb_time_t sync_sent_at;
	kb_time_t sync_next_at;
	int sync_in_flight;
	kb_host_t *sync_host;
	/* Number of the parent that is asked next; they take turns. */
	size_t sync_turn;
	/* Random part of the time without changes before a direct read. */
	kb_time_t direct_read_delay;
	kb_proxy_discovery_t discovery;
	int stopping;
	kb_time_t stop_started_at;
	kb_proxy_session_t *sessions;
	size_t session_count;
	kb_proxy_loans_t loans;
	/* Sessions that will try their statement again. */
	LIST_HEAD(kb_proxy_retries, kb_proxy_session) retries;
	kb_proxy_stats_t stats;
};

/* Runs the periodic work at the next turn of the event loop. */
void kb_proxy_wake(kb_proxy_t *proxy);

/* proxy_group.c */
kb_proxy_group_t *kb_proxy_group_find(const kb_proxy_t *proxy, kb_str_t name);
kb_proxy_group_t *kb_proxy_group_get(kb_proxy_t *proxy, kb_str_t name);
void kb_proxy_group_free(kb_proxy_group_t *group);
void kb_proxy_group_tick(kb_proxy_group_t *group, kb_time_t now);
void kb_proxy_groups_tick(kb_proxy_t *proxy, kb_time_t now);
void kb_proxy_group_on_key(kb_proxy_t *proxy, kb_str_t key,
			   const kb_mirror_entry_t *entry);
/* Fills in the present commit watermark if this host serves the group. */
void kb_proxy_group_local_watermark(kb_proxy_group_t *group, kbs_stamp *stamp);
/* Fills in the newest watermark stored here, unless it is too old. */
void kb_proxy_group_cached_watermark(kb_proxy_group_t *group, kbs_stamp *stamp);
/* Stores a watermark received in reply to a call sent at `sent_at`. */
void kb_proxy_group_add_watermark(kb_proxy_group_t *group,
				  const kbs_stamp *stamp, kb_time_t sent_at);
/* Returns the age of the newest watermark. */
kb_time_t kb_proxy_group_watermark_age(const kb_proxy_group_t *group,
				       kb_time_t now);
/*
 * Returns the time since the group was last known to be served, got another
 * holder, or came into use, whichever is latest; 0 if it was never served. The
 * holder of a group that is not in use is seldom asked, so only the time in use
 * counts.
 */
kb_time_t kb_proxy_group_unserved_time(const kb_proxy_group_t *group,
				       kb_time_t now);
/* Whether voters have reported that no host serves the group. */
int kb_proxy_group_is_vacant(const kb_proxy_group_t *group, kb_time_t now);

/* proxy_lease.c, proxy_monitor.c */
enum {
	KB_PROXY_LEASE_KEY_MAX_BYTES = 160,
};

/* Formats the key of the group's lease in the store. */
void kb_proxy_lease_key(const kb_proxy_group_t *group, char *key);
/*
 * Asks a host for a grant of the group's lease. If the call cannot be started,
 * no callback is made.
 */
/* An order as a message, with room for the names that it refers to. */
typedef struct kb_proxy_order_view {
	kbs_order order;
	kbs_text unanswered[KB_ORDER_TARGETS_MAX];
} kb_proxy_order_view_t;

/*
 * Returns `view`, filled in with the last order of the group, or NULL if a host
 * that has read `revision` of the store's record knows it or there is none.
 * Valid until the group's lease changes.
 */
kbs_order *kb_proxy_order_view(const kb_proxy_group_t *group, int64_t revision,
			       kb_proxy_order_view_t *view);
/* Takes an order that another host has sent, unless it is NULL. */
void kb_proxy_learn_order(kb_proxy_group_t *group, const kbs_order *order);

kb_result_t kb_proxy_request_grant(kb_proxy_group_t *group, kb_host_t *host,
				   int serving, kb_rpc_done_fn_t *done,
				   void *ctx);
extern const kb_lease_ops_t kb_proxy_lease_ops;
extern const kb_monitor_ops_t kb_proxy_monitor_ops;

/* proxy_fence.c */
void kb_proxy_fence_hosts(void *ctx, kb_lease_t *lease, kb_time_t sent_at);

/* proxy_placement.c */
/* Returns the most suitable holders and voters of the group, best first. */
const kb_host_ranking_t *kb_proxy_group_ranking(kb_proxy_group_t *group);
/* Fills in the ranking for the group's lease. */
void kb_proxy_group_rank(kb_proxy_group_t *group, kb_lease_ranking_t *ranking);
/* Returns 2 in the primary's data centre, 1 in its region, else 0. */
int kb_proxy_locality(const kb_proxy_t *proxy, const kb_host_t *host,
		      const kb_target_entry_t *primary);
/* Starts a hand-over if another host has been a better holder for a while. */
void kb_proxy_group_rebalance(kb_proxy_group_t *group, kb_time_t now);
/* Continues a planned hand-over. */
void kb_proxy_group_hand_over(kb_proxy_group_t *group, kb_time_t now);

/* proxy_watermark.c */
/* Records a use: watermarks of groups in use are kept up to date. */
void kb_proxy_group_mark_used(kb_proxy_group_t *group, kb_time_t now);
/* Requests a watermark from another host if one is due. */
void kb_proxy_group_request_watermark(kb_proxy_group_t *group, kb_time_t now);

/* proxy_probe.c */
/* Returns the probes of a target, or NULL if there are none yet. */
kb_proxy_probe_t *kb_proxy_probe_find(const kb_proxy_group_t *group,
				      const kb_target_entry_t *target);
kb_proxy_probe_t *kb_proxy_probe_get(kb_proxy_group_t *group,
				     const kb_target_entry_t *target);
void kb_proxy_probes_tick(kb_proxy_group_t *group);
void kb_proxy_probes_finish(kb_proxy_group_t *group);
/* Answers another host whether this one reaches the target of `args`. */
void kb_proxy_probe_reach(kb_proxy_group_t *group, kb_rpc_request_t *request,
			  const kbs_reach_args *args);

/* proxy_reach.c */
/*
 * Whether the group is served, if at all, by hosts that this one does not
 * reach, see kb_cut_off_decide(). Pings the voters whose state is in doubt.
 */
int kb_proxy_group_is_cut_off(kb_proxy_group_t *group, kb_time_t now);
/* Whether statements wait for news of a holder that is silent; pings it. */
int kb_proxy_group_should_hold(kb_proxy_group_t *group, kb_host_t *holder,
			       kb_time_t now);

/* proxy_vacancy.c */
void kb_proxy_vacancy_tick(kb_proxy_group_t *group, kb_time_t now);
/* Prolongs the vacancy check; fills in a watermark if the group is vacant. */
void kb_proxy_vacancy_watermark(kb_proxy_group_t *group, kbs_stamp *stamp);
/* A target has reported its state, to whichever part of this host. */
void kb_proxy_vacancy_on_report(kb_proxy_group_t *group,
				const kb_target_report_t *report);
/* Notes which targets have entries, before and after one is removed. */
void kb_proxy_vacancy_sync_targets(kb_proxy_group_t *group, kb_time_t now);

/* proxy_gate.c */
void kb_proxy_gate_run(kb_proxy_t *proxy, const kb_target_entry_t *target,
		       const kbs_run_args *args, kb_run_done_fn_t *done,
		       void *ctx);
void kb_proxy_gates_tick(kb_proxy_t *proxy, kb_time_t now);
void kb_proxy_gate_free(kb_proxy_gate_t *gate);
/* Returns the host that is the target's gate, or NULL if none is usable. */
kb_host_t *kb_proxy_gate_host(kb_proxy_t *proxy,
			      const kb_target_entry_t *target, kb_time_t now);
kb_proxy_load_t *kb_proxy_load_get(kb_proxy_t *proxy, kb_str_t target);
void kb_proxy_loads_finish(kb_proxy_t *proxy);

/* proxy_hosts.c */
void kb_proxy_hosts_tick(kb_proxy_t *proxy, kb_time_t now);
void kb_proxy_host_on_key(kb_proxy_t *proxy, kb_str_t key,
			  const kb_mirror_entry_t *entry);
/* Whether work may be given to a host. */
int kb_proxy_host_usable(const kb_host_t *host, kb_time_t now);
/* Records a failed call: no work is given to the host for some time. */
void kb_proxy_host_failed(kb_proxy_t *proxy, kb_host_t *host,
			  kb_result_t result);
/* Pings a host that may be silent, unless that was done just before. */
void kb_proxy_host_verify(kb_proxy_t *proxy, kb_host_t *host, kb_time_t now);
/*
 * Starts a call to another host. The callback must free the call's `ctx`. If
 * the call cannot be started, `ctx` is freed here and no callback is made.
 */
kb_result_t kb_proxy_host_call(kb_proxy_t *proxy, kb_host_t *host,
			       const kb_rpc_call_t *call);

/* proxy_rpc.c */
/* Starts the RPC server for calls of other hosts. */
kb_result_t kb_proxy_serve(kb_proxy_t *proxy);
/* Runs a statement as the gate of its target or the holder of its group. */
void kb_proxy_run_local(kb_proxy_t *proxy, kbs_run_args *args,
			kb_run_done_fn_t *done, void *ctx);

/* proxy_sync.c */
void kb_proxy_sync_tick(kb_proxy_t *proxy, kb_time_t now);

/* proxy_discovery.c */
void kb_proxy_discovery_tick(kb_proxy_t *proxy, kb_time_t now);
/*
 * Whether this host may read the store as the first of its fleet, as it knows
 * its neighbours or has waited for them long enough.
 */
int kb_proxy_discovery_is_done(const kb_proxy_t *proxy, kb_time_t now);

/* proxy_keeper.c */
void kb_proxy_keeper_tick(kb_proxy_group_t *group, kb_time_t now);

/* proxy_restore.c */
/* Whether the store has this host's key, as far as is known. */
int kb_proxy_is_registered(const kb_proxy_t *proxy);
/* Acts on a store that was restored from an older copy. */
void kb_proxy_check_restore(kb_proxy_t *proxy, kb_time_t now);

/* proxy_session.c */
void kb_proxy_sessions_tick(kb_proxy_t *proxy, kb_time_t now);

KB_END_DECLS

#endif
