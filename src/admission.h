#ifndef KB_ADMISSION_H
#define KB_ADMISSION_H

#include "fair_queue.h"
#include "transaction_limit.h"

KB_BEGIN_DECLS

/*
 * Admission to one target, on the host that is its gate. Statements take one
 * of the target's slots or wait in a fair queue; a transaction holds a slot
 * only while one of its statements runs. Whatever is refused has not run.
 */

typedef struct kb_admission kb_admission_t;
typedef struct kb_admission_entry kb_admission_entry_t;

/* Orders to the owner. Each may be given from within any call below. */
typedef struct kb_admission_ops {
	/* `entry` has a slot; end it with kb_admission_done(). */
	void (*start)(kb_admission_t *admission, kb_admission_entry_t *entry,
		      kb_time_t now);
	/* `entry` is not known any more and did not run. */
	void (*refuse)(kb_admission_t *admission, kb_admission_entry_t *entry,
		       kb_result_t result, kb_time_t now);
} kb_admission_ops_t;

/* One statement. Zero it, fill in the public part and keep it until done. */
struct kb_admission_entry {
	/* Private; must come first. */
	kb_fair_entry_t fair;
	/* Public. */
	kb_name_t caller;
	kb_name_t traffic_class;
	/* Time after which it must not start. */
	kb_time_t deadline;
	/* The transaction that it opens or belongs to, or NULL. */
	kb_limited_transaction_t *transaction;
	/* Set for COMMIT and ROLLBACK, which go ahead of other statements. */
	int ends_transaction;
	/* Private. */
	kb_time_t started;
	int state;
};

/* Limits of a target. */
typedef struct kb_admission_limits {
	/* Statements that run at a time. */
	unsigned slots;
	/* Transactions that may be open at a time. */
	unsigned transactions;
	/* The same for one caller. */
	unsigned caller_transactions;
} kb_admission_limits_t;

struct kb_admission {
	const kb_admission_ops_t *ops;
	kb_admission_limits_t limits;
	kb_fair_queue_t queue;
	/* Statements that end transactions. */
	kb_fair_list_t ending;
	unsigned running;
	unsigned running_bulk;
	kb_transaction_limit_t transactions;
	int draining;
	/* While draining: when what still waits is refused. */
	kb_time_t drain_until;
	/* Lower bound of the earliest deadline in the queue. */
	kb_time_t next_deadline;
	int dispatching;
};

/*
 * Returns limits for a target with `slots` and a pool of `connections`: as
 * many connections as slots stay free of transactions, at least one
 * transaction fits, and one caller may open half of them.
 */
kb_admission_limits_t kb_admission_default_limits(unsigned slots,
						  unsigned connections);

void kb_admission_init(kb_admission_t *admission, const kb_admission_ops_t *ops,
		       const kb_admission_limits_t *limits);

/* Changes the limits; what runs over them finishes. */
void kb_admission_set_limits(kb_admission_t *admission,
			     const kb_admission_limits_t *limits,
			     kb_time_t now);

/* Adds or changes a traffic class; KB_ERR_TOO_LARGE if there are too many. */
kb_result_t kb_admission_set_class(kb_admission_t *admission,
				   const kb_traffic_class_t *spec);

/*
 * Submits an entry: it is started, queued or refused. Refusals are
 * KB_ERR_NOT_FOUND for an unknown class, KB_ERR_DRAINING, KB_ERR_OVERLOADED
 * and KB_ERR_DEADLINE, which is also given at once if the wait expected from
 * measured service times passes the deadline. If the queue of the class is
 * full, the newest entry of the caller with the longest queue is refused in
 * place of one of a caller with a shorter queue. Statements of open
 * transactions are never refused for load or draining.
 */
void kb_admission_submit(kb_admission_t *admission, kb_admission_entry_t *entry,
			 kb_time_t now);

/* The statement of a started entry has ended; its slot is free. */
void kb_admission_done(kb_admission_t *admission, kb_admission_entry_t *entry,
		       kb_time_t now);

/*
 * Forgets a queued entry without an order. Returns KB_ERR_NOT_FOUND if it
 * runs or its refusal was or is being given.
 */
kb_result_t kb_admission_cancel(kb_admission_t *admission,
				kb_admission_entry_t *entry);

/*
 * The transaction is over: committed, rolled back, failed to open, or its
 * connection was closed. Its queued statements are refused with
 * KB_ERR_ROLLED_BACK. Does nothing for one that never started.
 */
void kb_admission_transaction_ended(kb_admission_t *admission,
				    kb_limited_transaction_t *transaction,
				    kb_time_t now);

/*
 * Refuses new work with KB_ERR_DRAINING. Queued entries and open
 * transactions go on; entries still queued at `until` are refused.
 */
void kb_admission_drain(kb_admission_t *admission, kb_time_t until,
			kb_time_t now);

/* Ends draining. */
void kb_admission_resume(kb_admission_t *admission);

/* Refuses everything queued with `result`, which must mean not run. */
void kb_admission_refuse_all(kb_admission_t *admission, kb_result_t result,
			     kb_time_t now);

/* Refuses what has expired; returns when to call again. */
kb_time_t kb_admission_on_timer(kb_admission_t *admission, kb_time_t now);

/* Returns non-zero if nothing runs, waits or is open. */
int kb_admission_is_idle(const kb_admission_t *admission);

/* Returns the number of queued and running entries, a hint for routing. */
unsigned kb_admission_outstanding(const kb_admission_t *admission);

/* Returns the service time that all queued and running entries may take. */
kb_time_t kb_admission_expected_work(const kb_admission_t *admission);

KB_END_DECLS

#endif
