#ifndef KB_CONFIRM_H
#define KB_CONFIRM_H

#include "defect.h"
#include "watch.h"

KB_BEGIN_DECLS

enum { KB_CONFIRM_WINDOW_MS = 200 };

typedef struct kb_confirm_entry kb_confirm_entry_t;

/* Callbacks of a request that waits for confirmation. */
typedef struct kb_confirm_entry_ops {
	/*
	 * Ends the wait. `result` is KB_OK or, past the deadline or once the
	 * primary has been replaced, KB_ERR_UNKNOWN. The entry is no longer
	 * in the list: the callback may free it, and may add or remove other
	 * entries.
	 */
	void (*done)(kb_confirm_entry_t *entry, kb_result_t result);
} kb_confirm_entry_ops_t;

/* A request that waits. The owner allocates it and sets the public part. */
struct kb_confirm_entry {
	const kb_confirm_entry_ops_t *ops;
	/* Target that answered, and the term in which it did. */
	size_t target;
	uint64_t term;
	/*
	 * Position that a majority must hold, or 0 to confirm the term
	 * alone.
	 */
	uint64_t position;
	kb_time_t deadline;

	/* Private to the list. */
	kb_confirm_entry_t *next, *previous;
	uint64_t after_probe_id;
};

/* Parameters that decide which replies count. */
typedef struct kb_confirm_params {
	/*
	 * Maximum age of a reply, counted from the sending of its probe; 0 for
	 * no limit. If a promoter waits longer than this between fencing and
	 * promoting, no write of an older primary is acknowledged after the
	 * promotion.
	 */
	kb_time_t window;
#ifdef KB_DEFECTS
	kb_defect_t defect;
#endif
} kb_confirm_params_t;

/*
 * The requests on one host that wait until a majority of a group confirms that
 * the primary which answered them had not been replaced.
 */
typedef struct kb_confirm {
	kb_watch_t *watch;
	kb_confirm_params_t params;
	/* Oldest and newest entry. */
	kb_confirm_entry_t *first, *last;
	/* Next entry to check in kb_confirm_on_timer(). */
	kb_confirm_entry_t *cursor;
	size_t count;
} kb_confirm_t;

/* Sets the defaults. */
void kb_confirm_params_init(kb_confirm_params_t *params);

/* Initializes an empty list that uses the reports of `watch`. */
void kb_confirm_init(kb_confirm_t *confirm, kb_watch_t *watch,
		     const kb_confirm_params_t *params);

/* Ends every wait with KB_ERR_UNKNOWN. */
void kb_confirm_finish(kb_confirm_t *confirm);

/*
 * Adds an entry. Only probes sent after this call count, so call it once the
 * commit has been answered or, for a read of current data, when the request
 * arrives. Returns when to call kb_confirm_on_timer() and kb_watch_on_timer().
 */
kb_time_t kb_confirm_add(kb_confirm_t *confirm, kb_time_t now,
			 kb_confirm_entry_t *entry);

/*
 * Returns the id of the newest probe sent. A read of current data stores it
 * when the request arrives.
 */
uint64_t kb_confirm_last_probe_id(const kb_confirm_t *confirm);

/*
 * Adds an entry like kb_confirm_add(), but counts all probes sent after the one
 * with the id `last_probe_id`. It is for reads, which may return other callers'
 * writes only once these are confirmed: the entry's position is the one that
 * the read has seen. Call kb_confirm_on_timer() next, as the reports may have
 * arrived already.
 */
kb_time_t kb_confirm_add_since(kb_confirm_t *confirm, kb_time_t now,
			       kb_confirm_entry_t *entry,
			       uint64_t last_probe_id);

/* Removes an entry without calling `done`. */
void kb_confirm_remove(kb_confirm_t *confirm, kb_confirm_entry_t *entry);

/*
 * Ends the waits that the reports of the watch confirm or refute and those
 * past their deadline. Call it after each report and at the time that it
 * returned last.
 */
kb_time_t kb_confirm_on_timer(kb_confirm_t *confirm, kb_time_t now);

KB_END_DECLS

#endif
