#ifndef KB_PROMOTION_H
#define KB_PROMOTION_H

#include "defect.h"
#include "promotion_plan.h"

KB_BEGIN_DECLS

enum {
	/* Exceeds KB_CONFIRM_WINDOW_MS by the drift of clocks allowed for. */
	KB_PROMOTION_FENCE_WAIT_MS = 220,
	KB_PROMOTION_EXTRA_FENCES_WAIT_MS = 30,
	KB_PROMOTION_REPEAT_MS = 100,
	KB_PROMOTION_FENCE_TIMEOUT_MS = 1000,
	KB_PROMOTION_PROMOTE_TIMEOUT_MS = 450,
};

/* What a target is ordered to do. */
typedef enum kb_command_kind {
	KB_COMMAND_FENCE,
	KB_COMMAND_PROMOTE,
	KB_COMMAND_FOLLOW,
} kb_command_kind_t;

/* An order to a target; a repeat of it is the same order. */
typedef struct kb_command {
	kb_command_kind_t kind;
	size_t target;
	uint64_t term;
} kb_command_t;

typedef struct kb_promotion kb_promotion_t;

/* Orders of a promotion. They must not call back into it. */
typedef struct kb_promotion_ops {
	/* Sends `order`; its answer goes to kb_promotion_on_answer(). */
	void (*send)(kb_promotion_t *promotion, const kb_command_t *order);
} kb_promotion_ops_t;

/* Times of a promotion. */
typedef struct kb_promotion_params {
	/* Wait between the majority's fences and the promotion. */
	kb_time_t hold;
	/* Least wait for fences of further targets that are reachable. */
	kb_time_t grace;
	/* Time until an unanswered order is repeated. */
	kb_time_t repeat;
	/* Time until an attempt without a majority, or without an answer to
	 * its promotion, has failed. */
	kb_time_t fence_timeout;
	kb_time_t promote_timeout;
	kb_defect_t defect;
} kb_promotion_params_t;

/* How far an attempt has come. */
typedef enum kb_promotion_state {
	KB_PROMOTION_IDLE,
	/* Fences targets until a majority is fenced. */
	KB_PROMOTION_FENCING,
	/* A majority is fenced; waits before it chooses. */
	KB_PROMOTION_WAITING,
	/* Has chosen; repeats one order until it is answered. */
	KB_PROMOTION_PROMOTING,
	/* `chosen` is the primary of `term`. */
	KB_PROMOTION_DONE,
	/* The next attempt needs a higher term. */
	KB_PROMOTION_FAILED,
} kb_promotion_state_t;

/* What an attempt knows of one target. */
typedef struct kb_promotion_target {
	/* It was fenced at the attempt's term, and where its log ended. */
	int fenced;
	kb_point_t last;
	/* When the last order was sent to it. */
	kb_time_t ordered_at;
} kb_promotion_target_t;

/*
 * One attempt to make a target the primary of a new term. It names one target
 * per term: an unanswered promotion is repeated, and any other choice needs
 * another attempt in a higher term with a new majority of fences.
 */
struct kb_promotion {
	const kb_promotion_ops_t *ops;
	kb_promotion_params_t params;
	kb_promotion_plan_t plan;
	kb_promotion_state_t state;
	/* It failed because another promoter is at work. */
	int is_superseded;
	kb_promotion_target_t targets[KB_GROUP_MAX_TARGETS];
	size_t chosen;
	/* Bit i: target i was ordered in this term; KB_DEFECT_SECOND_CHOICE. */
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

/* Gives the attempt up; an order that is under way may still take effect. */
void kb_promotion_cancel(kb_promotion_t *promotion);

/* Returns non-zero between the start and the end of an attempt. */
int kb_promotion_is_active(const kb_promotion_t *promotion);

/* Returns how many targets the attempt has fenced. */
size_t kb_promotion_fenced(const kb_promotion_t *promotion);

/* Sends the orders that are due; returns when to call again. */
kb_time_t kb_promotion_on_timer(kb_promotion_t *promotion, kb_time_t now);

/*
 * Takes the answer to a fence or a promotion, whenever it comes; answers of
 * other terms are ignored. `report` is the target's state if it answered,
 * otherwise NULL.
 */
void kb_promotion_on_answer(kb_promotion_t *promotion, kb_time_t now,
			    const kb_command_t *order, int granted,
			    const kb_report_t *report);

/* Takes the answer to a probe: it may show the promotion's effect. */
void kb_promotion_on_report(kb_promotion_t *promotion, kb_time_t now,
			    size_t target, const kb_report_t *report);

KB_END_DECLS

#endif
