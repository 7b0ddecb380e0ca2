#ifndef KB_PROXY_LOANS_H
#define KB_PROXY_LOANS_H

#include "load/team_account.h"
#include "load/team_allowance.h"
#include "proxy.h"
#include "rpc_server.h"
#include "text.h"

struct evbuffer;
struct event;

KB_BEGIN_DECLS

/* A team as this host knows it: its limit, its keepers and its loans. */
typedef struct kb_proxy_team {
	kb_name_t name;
	/* Version of the configuration that the following is from. */
	uint64_t version;
	int configured;
	int limited;
	double rate;
	/* The groups whose holders keep the shares. */
	unsigned share_count;
	kb_name_t keepers[KB_TEAM_SHARES_MAX];
	struct kb_proxy_group *groups[KB_TEAM_SHARES_MAX];
	kb_limit_share_t share;
	/* Holders named by hosts that do not hold the groups, or empty. */
	kb_name_t hints[KB_TEAM_SHARES_MAX];
	kb_team_allowance_t allowance;
	/* Sessions that wait for a loan, first come first served. */
	kb_proxy_session_t *first;
	kb_proxy_session_t *last;
	/* Neighbours in the list of teams with such sessions. */
	struct kb_proxy_team *next_waiting;
	struct kb_proxy_team *prev_waiting;
	uint64_t refused;
	/* Refusals since the last log line, and when that was. */
	uint64_t refused_unlogged;
	kb_time_t refused_logged_at;
	UT_hash_handle by_name;
} kb_proxy_team_t;

/* Limits of teams: loans from the keepers of their accounts. */
typedef struct kb_proxy_loans {
	kb_limit_tolerance_t tolerance;
	kb_proxy_team_t *by_name;
	/* Teams with sessions that wait. */
	kb_proxy_team_t *waiting;
	size_t waiting_count;
	/* Sends the requests that have come up in a turn of the loop. */
	struct event *flush;
	/* Operations asked for and received, and calls to keepers. */
	uint64_t asked;
	uint64_t received;
	uint64_t calls;
	uint64_t failures;
	uint64_t refused;
	uint64_t timeouts;
} kb_proxy_loans_t;

kb_result_t kb_proxy_loans_init(kb_proxy_t *proxy);
void kb_proxy_loans_finish(kb_proxy_t *proxy);

/* Acts on a new version of the configuration. */
void kb_proxy_loans_on_configuration(kb_proxy_t *proxy);

void kb_proxy_loans_tick(kb_proxy_t *proxy, kb_time_t now);

/*
 * Whether the session's operation may run now. Otherwise it waits, and
 * kb_proxy_session_start() follows, or it was refused.
 */
int kb_proxy_loans_admit(kb_proxy_session_t *session);

/* Ends the wait of a session, if it waits. */
void kb_proxy_loans_leave(kb_proxy_session_t *session);

/* Gives the operation of a statement back that no target has received. */
void kb_proxy_loans_end(kb_proxy_session_t *session, const kbs_run_res *res);

/* Answers a host that asks for loans. */
void kb_proxy_loans_serve(void *ctx, kb_rpc_request_t *request, void *args);

/* Lends as the keeper of a share. */
void kb_proxy_loans_lend(kb_proxy_t *proxy, const kbs_loan_request *request,
			 kbs_loan *loan);

void kb_proxy_loans_write_metrics(kb_proxy_t *proxy, struct evbuffer *out);

/* Returns the team of this name with what the configuration says, or NULL. */
kb_proxy_team_t *kb_proxy_team_get(kb_proxy_t *proxy, kb_str_t name);

KB_END_DECLS

#endif
