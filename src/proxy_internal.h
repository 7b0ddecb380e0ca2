#ifndef KB_PROXY_INTERNAL_H
#define KB_PROXY_INTERNAL_H

#include "proxy.h"

#include "store_poller.h"
#include "lease.h"
#include "hosts.h"
#include "monitor.h"
#include "link_pool.h"
#include "registration.h"
#include "proxy_stats.h"
#include "rng.h"
#include "rpc_server.h"
#include "watermarks.h"
#include "target_probe.h"

struct event;

KB_BEGIN_DECLS

enum {
	/* Procedures between hosts that serve sessions. */
	KB_PROXY_RPC_PING = 100,
	KB_PROXY_RPC_RUN = 101,
	KB_PROXY_RPC_SYNC = 102,
	KB_PROXY_RPC_GRANT = 103,
	KB_PROXY_RPC_HOLDER_AGE = 104,
	KB_PROXY_RPC_WATERMARK = 105,
	KB_PROXY_RPC_REACH = 106,
	KB_PROXY_RPC_RECHECK = 107,
	KB_PROXY_RPC_LAST_GRANT = 108,
	/* What is due is looked for this often. */
	KB_PROXY_TICK_INTERVAL_MS = 20,
	/* Time for a small call between hosts. */
	KB_PROXY_CALL_TIMEOUT_MS = 500,
};

/* Prefix of the keys that say who holds a group. */
#define KB_PROXY_LEASE_KEY_PREFIX "kumquatbridge/hold/"

/* Probes of one target by this host. */
typedef struct kb_proxy_probe {
	kb_target_probe_t probe;
	struct kb_proxy_group *group;
	/* Calls of other hosts that wait for its answer. */
	struct kb_proxy_reach *reaches;
	/* The group's watch over the primary asked. */
	int for_lead;
	int for_vacancy;
} kb_proxy_probe_t;

/*
 * Shows that no host holds a group, so that its primary's position bounds
 * every acknowledged commit.
 */
typedef struct kb_proxy_vacancy {
	/* Somebody wants to know until then. */
	kb_time_t wanted_until;
	kb_time_t asked_at;
	/* Candidates of the record that deny a holder since `asked_at`. */
	int64_t revision;
	unsigned denials;
	/* Targets that are asked for their reports, and answers so far. */
	unsigned asked;
	unsigned answered;
	uint64_t highest_term;
	kb_target_report_t primary;
	/* What was found, and the time for which it holds; 0 for nothing. */
	kb_time_t found_at;
	kb_point_t point;
	uint64_t term;
	uint64_t number;
} kb_proxy_vacancy_t;

/* A database group as this host takes part in it. */
typedef struct kb_proxy_group {
	kb_proxy_t *proxy;
	kb_name_t name;
	kb_lease_t hold;
	kb_monitor_t lead;
	/* Connections to the primary while this host holds the group. */
	kb_link_pool_t pool;
	kb_watermarks_t stamps;
	/* Load of the primary as the holder told last. */
	kbs_load load;
	kb_time_t load_at;
	/* Primary as the holder told last. */
	kb_name_t primary;
	uint64_t primary_term;
	/* Last time at which a host is known to have served it, or 0. */
	kb_time_t served_at;
	/* Revision of the hold's record, and when it was learnt. */
	int64_t record_revision;
	kb_time_t record_at;
	kb_time_t stamp_asked_at;
	/* Candidate that was asked for a stamp last. */
	size_t stamp_source;
	kb_proxy_vacancy_t vacancy;
	/* Last use by a caller, and since when it has been in use. */
	kb_time_t used_at;
	kb_time_t in_use_since;
	kb_proxy_probe_t *probes[KB_MONITOR_TARGETS_MAX];
	size_t probe_count;
	/* A planned hand-over to another host has begun then, or 0. */
	kb_time_t handing_at;
	kb_name_t successor;
	/* Since when another host should rather hold it, or 0. */
	kb_time_t nearer_since;
	/* Last time at which one was sought. */
	kb_time_t sought_at;
	/* In the configuration in force. */
	int configured;
	unsigned connections;
} kb_proxy_group_t;

/* Connections of this host to a replica whose gate it is. */
typedef struct kb_proxy_gate {
	kb_proxy_t *proxy;
	kb_name_t target;
	kb_link_pool_t pool;
	kb_time_t used_at;
} kb_proxy_gate_t;

/* What this host knows of a target's load. */
typedef struct kb_proxy_load {
	kb_name_t target;
	kbs_load load;
	kb_time_t at;
	/* Statements of this host that it has not answered. */
	unsigned outstanding;
	/* End of its log as it said last, and when. */
	kb_point_t position;
	kb_time_t position_at;
	kb_time_t failed_at;
} kb_proxy_load_t;

/* A host to ask while no other is known. */
typedef struct kb_proxy_seed {
	kb_rpc_peer_t peer;
	kb_endpoint_t endpoint;
} kb_proxy_seed_t;

struct kb_proxy {
	kb_proxy_setup_t setup;
	kb_clock_t *clock;
	kb_rng_t rng;
	kb_host_info_t self;
	kb_hosts_t hosts;
	kb_mirror_t mirror;
	kb_store_poller_t follower;
	kb_registration_t presence;
	kb_databases_t databases;
	kb_target_list_t targets;
	kb_rpc_server_t server;
	int has_server;
	kb_proxy_seed_t seeds[KB_SETTINGS_SEEDS_MAX];
	size_t seed_count;
	kb_proxy_group_t **groups;
	size_t group_count;
	kb_proxy_gate_t **gates;
	size_t gate_count;
	kb_proxy_load_t *loads;
	size_t load_count;
	struct event *tick;
	/* Last answer of another host that follows the store closely. */
	kb_time_t synced_at;
	kb_time_t sync_sent_at;
	int syncing;
	/* Reader that is asked, and since when. */
	size_t reader_rank;
	kb_time_t reader_at;
	int stopping;
	kb_time_t stop_begun_at;
	kb_proxy_session_t *sessions;
	size_t session_count;
	kb_proxy_stats_t stats;
};

/* Looks soon for what is due. */
void kb_proxy_wake(kb_proxy_t *proxy);

/* proxy_group.c */
kb_proxy_group_t *kb_proxy_group_find(const kb_proxy_t *proxy, kb_str_t name);
kb_proxy_group_t *kb_proxy_group_get(kb_proxy_t *proxy, kb_str_t name);
void kb_proxy_group_free(kb_proxy_group_t *group);
void kb_proxy_group_tick(kb_proxy_group_t *group, kb_time_t now);
void kb_proxy_group_on_key(kb_proxy_t *proxy, kb_str_t key,
			   const kb_mirror_entry_t *entry);
/* What this host can say of the group's primary now. */
void kb_proxy_group_local_watermark(kb_proxy_group_t *group, kbs_stamp *stamp);
/* Tells another host of this region the newest stamp known here. */
void kb_proxy_group_cached_watermark(kb_proxy_group_t *group, kbs_stamp *stamp);
/* Takes what the holder said in answer to a call sent at `sent_at`. */
void kb_proxy_group_add_watermark(kb_proxy_group_t *group,
				  const kbs_stamp *stamp, kb_time_t sent_at);
/* Time since anything was last known of the newest commits. */
kb_time_t kb_proxy_group_watermark_age(const kb_proxy_group_t *group,
				       kb_time_t now);
/*
 * Time since the group was last known to be served, had another holder named,
 * or came into use, so that somebody asks; 0 if it never was served.
 */
kb_time_t kb_proxy_group_unserved_time(const kb_proxy_group_t *group,
				       kb_time_t now);
/* Whether candidates show that no host serves the group. */
int kb_proxy_group_is_vacant(const kb_proxy_group_t *group, kb_time_t now);
/* proxy_lease.c, proxy_monitor.c: what holds and watches order. */
extern const kb_lease_ops_t kb_proxy_lease_ops;
extern const kb_monitor_ops_t kb_proxy_monitor_ops;

/* proxy_placement.c */
/* The group's hosts in the order in which they should hold it. */
void kb_proxy_group_rank(kb_proxy_group_t *group, kb_lease_ranking_t *ranking);
/* 2: in the primary's data centre, 1: in its region, 0: elsewhere. */
int kb_proxy_locality(const kb_proxy_t *proxy, const kb_host_t *host,
		      const kb_target_entry_t *primary);
/* Hands the group to a host that should rather hold it, if there is one. */
void kb_proxy_group_rebalance(kb_proxy_group_t *group, kb_time_t now);
/* Goes on with a hand-over that has begun. */
void kb_proxy_group_hand_over(kb_proxy_group_t *group, kb_time_t now);

/* proxy_watermark.c */
/* A caller needs the group: its stamps are kept up to date. */
void kb_proxy_group_mark_used(kb_proxy_group_t *group, kb_time_t now);
void kb_proxy_group_request_watermark(kb_proxy_group_t *group, kb_time_t now);

/* proxy_probe.c */
kb_proxy_probe_t *kb_proxy_probe_get(kb_proxy_group_t *group,
				     const kb_target_entry_t *target);
void kb_proxy_probes_tick(kb_proxy_group_t *group);
void kb_proxy_probes_finish(kb_proxy_group_t *group);
void kb_proxy_probe_reach(kb_proxy_group_t *group, kb_rpc_request_t *request,
			  const kbs_reach_args *args);

/* proxy_vacancy.c */
void kb_proxy_vacancy_tick(kb_proxy_group_t *group, kb_time_t now);
/* Fills in a stamp if the group is known to have no holder. */
void kb_proxy_vacancy_watermark(kb_proxy_group_t *group, kbs_stamp *stamp);
/* A target answered a probe that was sent for the vacancy, or did not. */
void kb_proxy_vacancy_on_probe(kb_proxy_group_t *group, kb_str_t target,
			       const kb_target_report_t *report);

/* proxy_gate.c */
void kb_proxy_gate_run(kb_proxy_t *proxy, const kb_target_entry_t *target,
		       const kbs_run_args *args, kb_run_done_fn_t *done,
		       void *ctx);
void kb_proxy_gates_tick(kb_proxy_t *proxy, kb_time_t now);
void kb_proxy_gate_free(kb_proxy_gate_t *gate);
kb_host_t *kb_proxy_gate_host(kb_proxy_t *proxy,
			      const kb_target_entry_t *target, kb_time_t now);
kb_proxy_load_t *kb_proxy_load_get(kb_proxy_t *proxy, kb_str_t target);

/* proxy_hosts.c */
void kb_proxy_hosts_tick(kb_proxy_t *proxy, kb_time_t now);
void kb_proxy_host_on_key(kb_proxy_t *proxy, kb_str_t key,
			  const kb_mirror_entry_t *entry);
/* Whether a host may get duties. */
int kb_proxy_host_usable(const kb_host_t *host, kb_time_t now);
void kb_proxy_host_failed(kb_proxy_t *proxy, kb_host_t *host,
			  kb_result_t result);
/*
 * Starts a call of another host. The callback frees `ctx` of the call; if it
 * cannot be started it is freed here, and nothing is called.
 */
kb_result_t kb_proxy_host_call(kb_proxy_t *proxy, kb_host_t *host,
			       const kb_rpc_call_t *call);

/* proxy_rpc.c */
kb_result_t kb_proxy_serve(kb_proxy_t *proxy);
/* Runs a statement that is meant for this host. */
void kb_proxy_run_local(kb_proxy_t *proxy, const kbs_run_args *args,
			kb_run_done_fn_t *done, void *ctx);

/* proxy_sync.c */
void kb_proxy_sync_tick(kb_proxy_t *proxy, kb_time_t now);

/* proxy_session.c */
void kb_proxy_sessions_tick(kb_proxy_t *proxy, kb_time_t now);

KB_END_DECLS

#endif
