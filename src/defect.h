#ifndef KB_DEFECT_H
#define KB_DEFECT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * A safety rule that a test switches off to prove that its checks find the
 * loss. Everything but tests uses KB_DEFECT_NONE.
 */
typedef enum kb_defect {
	KB_DEFECT_NONE,
	/* Promote after fencing a single target. */
	KB_DEFECT_NO_MAJORITY,
	/* Compare positions and ignore the terms of the logs. */
	KB_DEFECT_BARE_POSITION,
	/* Accept replies to probes sent before the commit's answer. */
	KB_DEFECT_EARLY_PROBE,
	/* Try another target in the term of an unanswered promotion. */
	KB_DEFECT_SECOND_CHOICE,
} kb_defect_t;

KB_END_DECLS

#endif
