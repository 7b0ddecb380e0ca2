#ifndef KB_PROXY_GROUP_H
#define KB_PROXY_GROUP_H

#include "proxy.h"

#include "host_ranking.h"
#include "lease.h"
#include "load/link_pool.h"
#include "monitor.h"
#include "proxy_confirm.h"
#include "proxy_loans.h"
#include "proxy_start.h"
#include "target_probe.h"
#include "watermarks.h"

KB_BEGIN_DECLS

/* Probes of one target by this host. */
typedef struct kb_proxy_probe {
	kb_target_probe_t probe;
	struct kb_proxy_group *group;
	/* Calls of other hosts that wait for the report. */
	struct kb_proxy_reach *reach_calls;
	/* The report is also passed to the monitor of the primary. */
	int for_monitor;
	/* The last report, and when it was requested (0 for none). */
	kb_target_report_t report;
	kb_time_t report_requested_at;
} kb_proxy_probe_t;

/*
 * Check that no host holds a group, and up to when the position of its primary
 * bounds every acknowledged commit. That is the first time at which one of the
 * targets that may lead the group was asked for its state, if each has answered
 * in the primary's term: none of them had been promoted to a later term by
 * then, so no commit of a later term had been acknowledged.
 */
typedef struct kb_proxy_vacancy {
	/* The check is repeated until then. */
	kb_time_t requested_until;
	kb_time_t started_at;
	/*
	 * Revision of the record that is checked, and the hosts that have
	 * ruled out a holder since `started_at`.
	 */
	int64_t revision;
	kb_lease_denials_t denials;
	/* A holder was ruled out, and the targets were asked. */
	int probed;
	/* Highest term that a target has reported to this host. */
	uint64_t highest_term;
	/* The targets that may lead the group, also those without an entry. */
	kb_copies_t targets;
	/*
	 * The last vacancy found: the time up to which the position of its
	 * primary bounds all commits (0 for none), that and its term.
	 */
	kb_time_t found_at;
	kb_point_t point;
	uint64_t term;
	/* Number of the present round of calls. */
	uint64_t round;
} kb_proxy_vacancy_t;

/* State of a database group on this host. */
typedef struct kb_proxy_group {
	kb_proxy_t *proxy;
	kb_name_t name;
	kb_lease_t lease;
	kb_monitor_t monitor;
	/* Hosts that are suitable as holder or voter. */
	kb_host_ranking_t ranking;
	/* Hosts of this region that may relay the group's watermarks. */
	kb_host_ranking_t relays;
	/* Accounts of teams while this host holds the group. */
	kb_team_accounts_t accounts;
	/* Connections to the primary while this host holds the group. */
	kb_link_pool_t pool;
	kb_watermarks_t watermarks;
	/* Load of the primary as last reported by the holder. */
	kbs_load load;
	kb_time_t load_at;
	/* Primary as last reported by the holder. */
	kb_name_t primary;
	uint64_t primary_term;
	/* Last time at which a holder is known to have served it, or 0. */
	kb_time_t served_at;
	/* Holder that the store names, and when that was first received. */
	kb_name_t record_holder;
	kb_time_t record_received_at;
	/* The last check found the group served behind a cut, if at all. */
	int cut_off;
	kb_time_t watermark_requested_at;
	/* Index of the voter that was last asked for a watermark. */
	size_t watermark_voter;
	kb_watermark_waiter_t *watermark_waiters;
	kb_held_run_t *held;
	size_t held_count;
	/* Commits that are not reported before the monitor confirms them. */
	kb_commit_wait_t *commit_waits;
	kb_start_group_phases_t start;
	kb_proxy_vacancy_t vacancy;
	/* Last use by a caller, and start of the present period of use. */
	kb_time_t used_at;
	kb_time_t in_use_since;
	kb_proxy_probe_t *probes[KB_MONITOR_TARGETS_MAX];
	size_t probe_count;
	/* Hosts that have granted this one's renewal in the last round. */
	size_t fenced_hosts;
	/* Start of a planned hand-over to another host, or 0. */
	kb_time_t handover_started_at;
	/* The store has confirmed the key since then, or was waited for. */
	int handover_confirmed;
	/* This host held the group when its planned stop started. */
	int held_at_stop;
	kb_name_t successor;
	/* Since when another host has been a better holder, or 0. */
	kb_time_t better_host_since;
	/* Last check for such a host. */
	kb_time_t rebalance_checked_at;
	/* The configuration in force contains the group. */
	int configured;
	unsigned connections;
	/* This host has no part in it at present: it is ticked less often. */
	int quiet;
	UT_hash_handle by_name;
} kb_proxy_group_t;

KB_END_DECLS

#endif
