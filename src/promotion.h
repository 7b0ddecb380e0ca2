#ifndef KB_PROMOTION_H
#define KB_PROMOTION_H

#include "defect.h"
#include "promotion_plan.h"

KB_BEGIN_DECLS

enum {
	/* KB_CONFIRM_WINDOW_MS plus an allowance for clock drift. */
	KB_PROMOTION_FENCE_WAIT_MS = 220,
	KB_PROMOTION_EXTRA_FENCES_WAIT_MS = 30,
	KB_PROMOTION_REPEAT_MS = 100,
	KB_PROMOTION_FENCE_TIMEOUT_MS = 1000,
	KB_PROMOTION_PROMOTE_TIMEOUT_MS = 450,
};

/* Command to a target. */
typedef enum kb_command_kind {
	KB_COMMAND_FENCE,
	KB_COMMAND_PROMOTE,
	KB_COMMAND_FOLLOW,
} kb_command_kind_t;

/* A command to a target. A retry is the same command. */
typedef struct kb_command {
	kb_command_kind_t kind;
	size_t target;
	uint64_t term;
} kb_command_t;

typedef struct kb_promotion kb_promotion_t;

/* Operations that a promotion requests. They must not call back into it. */
typedef struct kb_promotion_ops {
	/* Sends `command`; the answer goes to kb_promotion_on_answer(). */
	void (*send)(kb_promotion_t *promotion, const kb_command_t *command);
} kb_promotion_ops_t;

/* Timing of a promotion. */
typedef struct kb_promotion_params {
	/* Time between the fence of a majority and the promotion. */
	kb_time_t fence_wait;
	/* Minimum time to wait for the fences of further reachable targets. */
	kb_time_t extra_fences_wait;
	/* Time until an unanswered command is sent again. */
	kb_time_t repeat;
	/*
	 * Time until an attempt fails without a majority, and without an answer
	 * to its promotion.
	 */
	kb_time_t fence_timeout;
	kb_time_t promote_timeout;
#ifdef KB_DEFECTS
	kb_defect_t defect;
#endif
} kb_promotion_params_t;

/* State of an attempt. */
typedef enum kb_promotion_state {
	KB_PROMOTION_IDLE,
	/* Targets are being fenced; no majority is fenced yet. */
	KB_PROMOTION_FENCING,
	/* A majority is fenced; the wait before the choice is not over. */
	KB_PROMOTION_WAITING,
	/* A target is chosen; its promotion is sent until it is answered. */
	KB_PROMOTION_PROMOTING,
	/* `chosen` is the primary of `term`. */
	KB_PROMOTION_DONE,
	/* The next attempt needs a higher term. */
	KB_PROMOTION_FAILED,
} kb_promotion_state_t;

/* State of one target in an attempt. */
typedef struct kb_promotion_target {
	/*
	 * Whether it was fenced in the attempt's term, and where its log ended
	 * then.
	 */
	int fenced;
	kb_point_t last;
	/* When the last command was sent to it. */
	kb_time_t sent_at;
} kb_promotion_target_t;

/*
 * One attempt to make a target the primary of a new term. It promotes one
 * target per term: an unanswered promotion is sent again to the same target.
 * Any other choice needs another attempt in a higher term with a new majority
 * of fences.
 */
struct kb_promotion {
	const kb_promotion_ops_t *ops;
	kb_promotion_params_t params;
	kb_promotion_plan_t plan;
	kb_promotion_state_t state;
	/* It failed because another host's attempt is in progress. */
	int is_superseded;
	kb_promotion_target_t targets[KB_GROUP_MAX_TARGETS];
	size_t chosen;
	/*
	 * Bit i: target i was sent a promotion in this term. Only used with
	 * KB_DEFECT_SECOND_CANDIDATE.
	 */
	unsigned tried;
	/* When the state was entered. */
	kb_time_t since;
};

/* Sets the defaults. */
void kb_promotion_params_init(kb_promotion_params_t *params);

/* Initializes `promotion` as idle. */
void kb_promotion_init(kb_promotion_t *promotion, const kb_promotion_ops_t *ops,
		       const kb_promotion_params_t *params);

/* Ends `promotion`. */
void kb_promotion_finish(kb_promotion_t *promotion);

/* Starts an attempt in place of any earlier one. */
void kb_promotion_start(kb_promotion_t *promotion, kb_time_t now,
			const kb_promotion_plan_t *plan);

/* Cancels the attempt; a command already sent may still take effect. */
void kb_promotion_cancel(kb_promotion_t *promotion);

/* Returns non-zero between the start and the end of an attempt. */
int kb_promotion_is_active(const kb_promotion_t *promotion);

/* Returns how many targets the attempt has fenced. */
size_t kb_promotion_fenced(const kb_promotion_t *promotion);

/* Sends the commands that are due; returns when to call again. */
kb_time_t kb_promotion_on_timer(kb_promotion_t *promotion, kb_time_t now);

/*
 * Handles the answer to a fence or a promotion, which may be late; answers of
 * other terms are ignored. `report` is the target's state if it answered,
 * otherwise NULL.
 */
void kb_promotion_on_answer(kb_promotion_t *promotion, kb_time_t now,
			    const kb_command_t *command, int granted,
			    const kb_report_t *report);

/*
 * Handles the answer to a probe, which may show that a promotion took effect.
 */
void kb_promotion_on_report(kb_promotion_t *promotion, kb_time_t now,
			    size_t target, const kb_report_t *report);

KB_END_DECLS

#endif
