#ifndef KB_COPIES_H
#define KB_COPIES_H

#include "departures.h"
#include "target_list.h"

KB_BEGIN_DECLS

enum {
	/* A target without an entry for this time no longer counts. */
	KB_COPIES_MISSING_MAX_S = 600,
	/*
	 * Time for which a target may be promoted after its entry went while it
	 * was leaving: a holder serves for 20 s without the store, and an order
	 * without an answer may take effect for 20 s.
	 */
	KB_COPIES_UNSEEN_LEADER_S = 40,
};

/* A target that may hold acknowledged commits of its group. */
typedef struct kb_copy {
	kb_name_t target;
	/* It was leaving when its entry was last seen. */
	int leaving;
	/* It was added when the entries were last compared. */
	int is_new;
	/* Time since which it has no entry; 0 if it has one. */
	kb_time_t missing_since;
} kb_copy_t;

/* Where the log of a copy is. */
typedef enum kb_copy_log {
	/* In the copy, which may be without an entry for some time. */
	KB_COPY_LOG_KEPT,
	/* In its heir, which counts in its place. */
	KB_COPY_LOG_TRANSFERRED,
	/* Nowhere: it has had no entry for KB_COPIES_MISSING_MAX_S. */
	KB_COPY_LOG_LOST,
} kb_copy_log_t;

/*
 * The targets that may hold acknowledged commits of a group. An entry that goes
 * tells nothing about the target's log, as it also expires by silence: the
 * target counts until another one that may have its log counts. That is the one
 * that registers at the address of a target that was leaving, and has started
 * after it.
 */
typedef struct kb_copies {
	size_t count;
	kb_copy_t copies[KB_TARGET_NAMES_MAX];
	/* Those that were leaving, with their heirs. */
	kb_departures_t departures;
} kb_copies_t;

/* Adds the targets that are not contained, as missing. */
void kb_copies_add(kb_copies_t *copies, const kb_target_names_t *names,
		   kb_time_t now);

/* Takes what a former holder knew of those that were leaving. */
void kb_copies_add_departures(kb_copies_t *copies,
			      const kb_departures_t *departures);

/* Compares the copies with the entries of the group's targets. */
void kb_copies_sync(kb_copies_t *copies, const kb_target_list_t *targets,
		    kb_str_t group, kb_time_t now);

/* Number of copies without an entry. */
size_t kb_copies_missing(const kb_copies_t *copies);

/*
 * Number of copies without an entry that may have been promoted meanwhile. One
 * that is leaving is not ordered by a host that knows; one that does not know
 * can't order it later than KB_COPIES_UNSEEN_LEADER_S ago.
 */
size_t kb_copies_may_lead(const kb_copies_t *copies, kb_time_t now);

/* Fills in the names of all copies. */
void kb_copies_names(const kb_copies_t *copies, kb_target_names_t *names);

KB_END_DECLS

#endif
