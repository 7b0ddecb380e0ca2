#ifndef KB_CONFIRM_H
#define KB_CONFIRM_H

#include "defect.h"
#include "watch.h"

KB_BEGIN_DECLS

enum { KB_CONFIRM_WINDOW_MS = 200 };

typedef struct kb_confirm_entry kb_confirm_entry_t;

/* Operations of a request that waits for confirmation. */
typedef struct kb_confirm_entry_ops {
	/*
	 * Ends the wait. `result` is KB_OK or, past the deadline or once the
	 * primary has been replaced, KB_ERR_UNKNOWN. The entry has left the
	 * list; its memory may be freed and other entries may be added or
	 * removed.
	 */
	void (*done)(kb_confirm_entry_t *entry, kb_result_t result);
} kb_confirm_entry_ops_t;

/* A request that waits; the caller owns it and sets the first part. */
struct kb_confirm_entry {
	const kb_confirm_entry_ops_t *ops;
	/* Target that answered, and the term it answered in. */
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
	uint64_t after;
};

/* Which replies count. */
typedef struct kb_confirm_params {
	/*
	 * Greatest age of a reply, from the sending of its probe; 0 for no
	 * limit. A promoter that waits longer between its fences and its
	 * promotion knows that no older primary's write is acknowledged
	 * afterwards.
	 */
	kb_time_t window;
	kb_defect_t defect;
} kb_confirm_params_t;

/*
 * The requests on one host that wait until a majority of a group shows that
 * the primary which answered them had not been replaced.
 */
typedef struct kb_confirm {
	kb_watch_t *watch;
	kb_confirm_params_t params;
	/* Oldest and newest entry. */
	kb_confirm_entry_t *first, *last;
	/* Next entry to look at during kb_confirm_on_timer(). */
	kb_confirm_entry_t *cursor;
	size_t count;
} kb_confirm_t;

/* Sets the defaults. */
void kb_confirm_params_init(kb_confirm_params_t *params);

/* Initializes an empty list that reads the reports of `watch`. */
void kb_confirm_init(kb_confirm_t *confirm, kb_watch_t *watch,
		     const kb_confirm_params_t *params);

/* Ends every wait with KB_ERR_UNKNOWN. */
void kb_confirm_finish(kb_confirm_t *confirm);

/*
 * Starts to wait. Only probes sent after this call count, so call it once
 * the answer to the commit is there; for a read that has to be current, when
 * the request arrives. Returns when to call kb_confirm_on_timer(), and
 * kb_watch_on_timer().
 */
kb_time_t kb_confirm_add(kb_confirm_t *confirm, kb_time_t now,
			 kb_confirm_entry_t *entry);

/*
 * Returns a mark of this moment: of the probes sent so far. A current read
 * takes it when the request arrives.
 */
uint64_t kb_confirm_last_probe_id(const kb_confirm_t *confirm);

/*
 * Starts to wait like kb_confirm_add(), but counts the probes sent since
 * `mark` was taken. For a read that may show other callers' writes only once
 * they are confirmed: the entry's position is the one that the read has seen.
 * Call kb_confirm_on_timer() next, as the reports may be there already.
 */
kb_time_t kb_confirm_add_since(kb_confirm_t *confirm, kb_time_t now,
			       kb_confirm_entry_t *entry, uint64_t mark);

/* Stops waiting without a call of `done`. */
void kb_confirm_remove(kb_confirm_t *confirm, kb_confirm_entry_t *entry);

/*
 * Ends the waits that the reports of the watch confirm or refute and those
 * past their deadline. Call it after each report and when the time that it
 * returned has come.
 */
kb_time_t kb_confirm_on_timer(kb_confirm_t *confirm, kb_time_t now);

KB_END_DECLS

#endif
