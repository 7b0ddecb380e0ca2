#ifndef KB_DEFECT_H
#define KB_DEFECT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Injected faults: each disables one safety rule, so that a test can prove
 * that its checks detect the resulting data loss. All other code uses
 * KB_DEFECT_NONE.
 */
typedef enum kb_defect {
	KB_DEFECT_NONE,
	/* Promote after fencing a single target. */
	KB_DEFECT_NO_MAJORITY,
	/* Compare log positions without their terms. */
	KB_DEFECT_IGNORE_TERM,
	/* Confirm a commit by a probe that was sent before its answer. */
	KB_DEFECT_STALE_PROBE,
	/* Promote another target in the term of an unanswered promotion. */
	KB_DEFECT_SECOND_CANDIDATE,
} kb_defect_t;

KB_END_DECLS

#endif
