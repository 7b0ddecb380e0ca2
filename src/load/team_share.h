#ifndef KB_TEAM_SHARE_H
#define KB_TEAM_SHARE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Shares the connections of one target between teams. A connection belongs to
 * its team until it is closed, so at the limit one team's connection can only
 * be opened after another's was closed. This module keeps counts and decides;
 * its owner opens and closes.
 */

enum {
	/* For this long a team is known to need what it used at once. */
	KB_TEAM_PEAK_WINDOW_MS = 5000,
	/* Half-life of the count by which teams that are used often stay. */
	KB_TEAM_RATE_HALF_LIFE_MS = 120000,
	/*
	 * A connection whose team has statements waiting is kept open for this
	 * time, and closed only for a team that has waited for it.
	 */
	KB_TEAM_HOLD_MS = 50,
	/* A team's last connection is closed for another's growth after this.
	 */
	KB_TEAM_REST_MS = 2000,
	/* Part of the limit that one team's open transactions may hold. */
	KB_TEAM_TRANSACTIONS_PERCENT = 50,
	/* Part of the limit that is kept free of open transactions. */
	KB_TEAM_RESERVE_PERCENT = 20,
};

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

typedef struct kb_team_use kb_team_use_t;

/*
 * Connections and waiting statements of one team, embedded in its owner and
 * zeroed before use. All members are private but for reading.
 */
struct kb_team_use {
	kb_team_use_t *prev;
	kb_team_use_t *next;
	/* Statements that wait for any idle connection of the team. */
	unsigned waiting;
	/* Those that begin a transaction, which may have to wait longer. */
	unsigned begins;
	/* Time since when none has started although some wait. */
	kb_time_t waiting_since;
	unsigned conns[KB_TEAM_CONN_NONE];
	/* Connections that open transactions hold, between statements or not.
	 */
	unsigned transactions;
	/* Time at which a connection was last opened, and last became idle. */
	kb_time_t opened_at;
	kb_time_t used_at;
	/* Most connections in use at once in this window and the last one. */
	unsigned peak;
	unsigned last_peak;
	kb_time_t window_end;
	/* Statements started, halved with each half-life until `rate_at`. */
	double rate;
	kb_time_t rate_at;
};

typedef struct kb_team_share {
	kb_team_use_t *first;
	unsigned conns;
	unsigned opening;
	unsigned transactions;
} kb_team_share_t;

/* What a decision depends on besides the counts. */
typedef struct kb_team_room {
	/* Largest number of connections. */
	unsigned limit;
	/* Largest number of connections that are opened at a time. */
	unsigned parallel;
	/* Statements that the target is sent at once. */
	unsigned in_flight;
	/*
	 * Connections belong to teams. Otherwise there is one team, which has
	 * nobody to leave room for.
	 */
	int shared;
} kb_team_room_t;

/* A decision to open a connection. */
typedef struct kb_team_opening {
	/* Team that it is opened for, or NULL if none is opened. */
	kb_team_use_t *team;
	/* Team whose idle connection is closed before, or NULL. */
	kb_team_use_t *closed;
} kb_team_opening_t;

void kb_team_share_add(kb_team_share_t *share, kb_team_use_t *team);
void kb_team_share_remove(kb_team_share_t *share, kb_team_use_t *team);

/* Whether a team has nothing in the pool and was not used lately. */
int kb_team_use_is_idle(const kb_team_use_t *team, kb_time_t now);

/* Reports that a statement waits, or that one has started or ended. */
void kb_team_use_wait(kb_team_use_t *team, int begins, kb_time_t now);
void kb_team_use_end_wait(kb_team_use_t *team, int begins, kb_time_t now);

/* Reports that a connection starts, or no longer has, a transaction. */
void kb_team_share_begin(kb_team_share_t *share, kb_team_use_t *team);
void kb_team_share_end(kb_team_share_t *share, kb_team_use_t *team);

/* Reports a connection's change of use; it exists unless KB_TEAM_CONN_NONE. */
void kb_team_share_move(kb_team_share_t *share, kb_team_use_t *team,
			kb_team_conn_use_t from, kb_team_conn_use_t to,
			kb_time_t now);

/* Returns the number of connections of a team. */
unsigned kb_team_use_conns(const kb_team_use_t *team);

/* Returns how many more transactions a team may begin. */
unsigned kb_team_share_begins_left(const kb_team_share_t *share,
				   const kb_team_use_t *team,
				   const kb_team_room_t *room);

/* Decides which connection is opened next. */
kb_team_opening_t kb_team_share_next_opening(const kb_team_share_t *share,
					     const kb_team_room_t *room,
					     kb_time_t now);

/* Returns the team whose idle connection is closed to get under the limit. */
kb_team_use_t *kb_team_share_surplus(const kb_team_share_t *share,
				     unsigned limit, kb_time_t now);

KB_END_DECLS

#endif
