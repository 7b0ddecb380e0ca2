#ifndef KB_TEAM_SHARE_H
#define KB_TEAM_SHARE_H

#include "str.h"

#include <uthash.h>

KB_BEGIN_DECLS

/*
 * Shares the connections of one target between teams. A connection belongs to
 * its team until it is closed, so at the limit one team's connection can only
 * be opened after another's was closed. This module keeps counts and decides;
 * its owner opens and closes.
 */

/* Use of a connection, as far as teams compete for it. */
typedef enum kb_team_conn_use {
	KB_TEAM_CONN_OPENING,
	KB_TEAM_CONN_IDLE,
	KB_TEAM_CONN_BUSY,
	/* Held by an open transaction between two statements. */
	KB_TEAM_CONN_PINNED,
	/* The connection does not exist. */
	KB_TEAM_CONN_NONE,
} kb_team_conn_use_t;

/* Connections and waiting statements of one team; private but for reading. */
typedef struct kb_team_use {
	UT_hash_handle hh;
	kb_name_t name;
	/* Statements that may run on any idle connection of the team. */
	unsigned waiting;
	/* Time since when some have been waiting. */
	kb_time_t waiting_since;
	unsigned conns[KB_TEAM_CONN_NONE];
	/* Time at which a connection last became idle. */
	kb_time_t used_at;
} kb_team_use_t;

typedef struct kb_team_share {
	/* Hash table of the teams that have connections or statements. */
	kb_team_use_t *teams;
	/* Connections that are being opened, of all teams. */
	unsigned opening;
	/* Connections of all teams. */
	unsigned conns;
} kb_team_share_t;

/* What a decision depends on besides the counts. */
typedef struct kb_team_room {
	/* Largest number of connections. */
	unsigned limit;
	/* Largest number of connections that are opened at a time. */
	unsigned parallel;
} kb_team_room_t;

/* A decision to open a connection. */
typedef struct kb_team_opening {
	/* Team that it is opened for, or NULL if none is opened. */
	kb_team_use_t *team;
	/* Team whose idle connection is closed before, or NULL. */
	kb_team_use_t *closed;
} kb_team_opening_t;

void kb_team_share_finish(kb_team_share_t *share);

/*
 * Returns the entry of a team, which may be the empty name. Returns NULL if
 * the name is invalid or memory is short.
 */
kb_team_use_t *kb_team_share_get(kb_team_share_t *share, kb_str_t name);

/* Removes the entries of teams without connections and statements. */
void kb_team_share_prune(kb_team_share_t *share);

/* Reports that a statement waits, or waits no longer. */
void kb_team_share_wait(kb_team_use_t *team, kb_time_t now);
void kb_team_share_end_wait(kb_team_use_t *team, kb_time_t now);

/* Reports a connection's change of use; it exists unless KB_TEAM_CONN_NONE. */
void kb_team_share_move(kb_team_share_t *share, kb_team_use_t *team,
			kb_team_conn_use_t from, kb_team_conn_use_t to,
			kb_time_t now);

/* Returns the number of connections of a team. */
unsigned kb_team_use_conns(const kb_team_use_t *team);

/* Decides which connection is opened next. */
kb_team_opening_t kb_team_share_next_opening(const kb_team_share_t *share,
					     const kb_team_room_t *room);

/* Returns the team whose idle connection is closed to get under the limit. */
kb_team_use_t *kb_team_share_surplus(const kb_team_share_t *share,
				     unsigned limit);

KB_END_DECLS

#endif
