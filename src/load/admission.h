#ifndef KB_ADMISSION_H
#define KB_ADMISSION_H

#include "fair_queue.h"
#include "transaction_limit.h"

KB_BEGIN_DECLS

/*
 * Admission control for one target, on the host that is the target's gate: the
 * host that holds the connections, the slots and the queue of the target. A
 * statement takes one of the slots or waits in a fair queue. A transaction
 * holds a slot only while one of its statements runs. A refused statement has
 * not run.
 */

typedef struct kb_admission kb_admission_t;
typedef struct kb_admission_entry kb_admission_entry_t;

/* Callbacks to the owner. Any function below may call them. */
typedef struct kb_admission_ops {
	/* `entry` has a slot, which kb_admission_done() releases. */
	void (*start)(kb_admission_t *admission, kb_admission_entry_t *entry,
		      kb_time_t now);
	/* `entry` has been removed and did not run. */
	void (*refuse)(kb_admission_t *admission, kb_admission_entry_t *entry,
		       kb_result_t result, kb_time_t now);
} kb_admission_ops_t;

/*
 * One statement. The owner zeroes it, fills in the public part and keeps it
 * until the statement has ended or has been refused.
 */
struct kb_admission_entry {
	/* Private; must come first. */
	kb_fair_entry_t fair;
	/* Public. */
	kb_name_t caller;
	kb_name_t traffic_class;
	/* Time from which it must not start. */
	kb_time_t deadline;
	/* The transaction that it opens or belongs to, or NULL. */
	kb_limited_transaction_t *transaction;
	/* Set for COMMIT and ROLLBACK, which precede other statements. */
	int ends_transaction;
	/* Private. */
	kb_time_t started;
	int state;
};

/* Limits of a target. */
typedef struct kb_admission_limits {
	/* Statements that may run at a time. */
	unsigned slots;
	/* Transactions that may be open at a time. */
	unsigned transactions;
	/* Transactions that one caller may have open at a time. */
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
	/* While draining: when entries that are still queued are refused. */
	kb_time_t drain_until;
	/* Lower bound of the earliest deadline in the queue. */
	kb_time_t next_deadline;
	int dispatching;
};

/*
 * Returns the default limits of a target with `slots` and a pool of
 * `connections`. Transactions may hold all connections but `slots`, and at
 * least one. One caller may open half of the transactions, rounded up.
 */
kb_admission_limits_t kb_admission_default_limits(unsigned slots,
						  unsigned connections);

void kb_admission_init(kb_admission_t *admission, const kb_admission_ops_t *ops,
		       const kb_admission_limits_t *limits);

/* Changes the limits. Statements that already run are not stopped. */
void kb_admission_set_limits(kb_admission_t *admission,
			     const kb_admission_limits_t *limits,
			     kb_time_t now);

/*
 * Adds or changes a traffic class. Returns KB_ERR_TOO_LARGE if there are too
 * many.
 */
kb_result_t kb_admission_set_class(kb_admission_t *admission,
				   const kb_traffic_class_t *spec);

/*
 * Starts, queues or refuses an entry. It is refused with KB_ERR_NOT_FOUND if
 * its class is unknown, with KB_ERR_DRAINING, with KB_ERR_OVERLOADED, or with
 * KB_ERR_DEADLINE. The last is also used at once if the wait estimated from
 * measured service times exceeds the deadline. If the queue of the class is
 * full, the newest entry of the caller with the longest queue is refused
 * instead of one of a caller with a shorter queue. Neither a full queue nor
 * draining refuses statements of open transactions.
 */
void kb_admission_submit(kb_admission_t *admission, kb_admission_entry_t *entry,
			 kb_time_t now);

/* Releases the slot of a started entry whose statement has ended. */
void kb_admission_done(kb_admission_t *admission, kb_admission_entry_t *entry,
		       kb_time_t now);

/*
 * Removes a queued entry without a callback. Returns KB_ERR_NOT_FOUND if it
 * runs, or if it has been or is being refused.
 */
kb_result_t kb_admission_cancel(kb_admission_t *admission,
				kb_admission_entry_t *entry);

/*
 * Ends a transaction that was committed or rolled back, that could not be
 * opened, or whose connection was closed. Its queued statements are refused
 * with KB_ERR_ROLLED_BACK. Does nothing if its BEGIN never started.
 */
void kb_admission_transaction_ended(kb_admission_t *admission,
				    kb_limited_transaction_t *transaction,
				    kb_time_t now);

/*
 * Starts to refuse new work with KB_ERR_DRAINING. Queued entries and open
 * transactions continue. From `until` on, queued entries that belong to no open
 * transaction are refused as well.
 */
void kb_admission_drain(kb_admission_t *admission, kb_time_t until,
			kb_time_t now);

/* Ends draining. */
void kb_admission_resume(kb_admission_t *admission);

/* Refuses all queued entries with `result`, which must mean not run. */
void kb_admission_refuse_all(kb_admission_t *admission, kb_result_t result,
			     kb_time_t now);

/* Refuses expired entries. Returns when to call again. */
kb_time_t kb_admission_on_timer(kb_admission_t *admission, kb_time_t now);

/*
 * Returns non-zero if no entry runs or is queued and no transaction is open.
 */
int kb_admission_is_idle(const kb_admission_t *admission);

/* Returns the number of queued and running entries, a hint for routing. */
unsigned kb_admission_outstanding(const kb_admission_t *admission);

/* Returns the estimated service time of all queued and running entries. */
kb_time_t kb_admission_expected_work(const kb_admission_t *admission);

KB_END_DECLS

#endif
