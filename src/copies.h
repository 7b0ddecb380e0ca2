#ifndef KB_COPIES_H
#define KB_COPIES_H

#include "target_list.h"
#include "target_names.h"

KB_BEGIN_DECLS

enum {
	/* A target without an entry for this time no longer counts. */
	KB_COPIES_MISSING_MAX_S = 600,
};

/* A target that may hold acknowledged commits of its group. */
typedef struct kb_copy {
	kb_name_t target;
	/* It was leaving when its entry was last seen. */
	int leaving;
	/* Time since which it has no entry; 0 if it has one. */
	kb_time_t missing_since;
} kb_copy_t;

/*
 * The targets that may hold acknowledged commits of a group. An entry that
 * expires tells nothing about the target's log, so the target still counts. One
 * that was leaving has passed its log on.
 */
typedef struct kb_copies {
	size_t count;
	kb_copy_t copies[KB_TARGET_NAMES_MAX];
} kb_copies_t;

/* Adds the targets that are not contained, as missing. */
void kb_copies_add(kb_copies_t *copies, const kb_target_names_t *names,
		   kb_time_t now);

/* Compares the copies with the entries of the group's targets. */
void kb_copies_sync(kb_copies_t *copies, const kb_target_list_t *targets,
		    kb_str_t group, kb_time_t now);

/* Number of copies without an entry. */
size_t kb_copies_missing(const kb_copies_t *copies);

/* Fills in the names of all copies. */
void kb_copies_names(const kb_copies_t *copies, kb_target_names_t *names);

KB_END_DECLS

#endif
