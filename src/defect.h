#ifndef KB_DEFECT_H
#define KB_DEFECT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

#ifdef KB_DEFECTS

/*
 * Injected faults: each disables one safety rule, so that a test can prove
 * that its checks detect the resulting data loss. Builds without tests have
 * none of them.
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

#define KB_HAS_DEFECT(params, name) ((params)->defect == KB_DEFECT_##name)

#else

#define KB_HAS_DEFECT(params, name) ((void)(params), 0)

#endif

KB_END_DECLS

#endif
