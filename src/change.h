#ifndef KB_CHANGE_H
#define KB_CHANGE_H

#include "backoff.h"
#include "resource.h"
#include "store.h"

KB_BEGIN_DECLS

/* How a change ended. Data live until the return. */
typedef struct kb_change_outcome {
	/*
	 * KB_OK: held by the store. KB_ERR_CONFLICT, KB_ERR_NOT_FOUND,
	 * KB_ERR_UNREACHABLE, KB_ERR_OVERLOADED, KB_ERR_DEADLINE,
	 * KB_ERR_INVALID: it has no effect and will have none.
	 * KB_ERR_UNKNOWN: it may have, or may yet take effect.
	 */
	kb_result_t result;
	/* Revision of the change after KB_OK, 0 for an earlier deletion. */
	int64_t revision;
	/* Present value where it is known, else NULL. */
	const kb_store_entry_t *current;
} kb_change_outcome_t;

/* Orders of a change. Each but `done` is answered by one event. */
typedef struct kb_change_ops {
	/* Answer by kb_change_on_read(). */
	void (*read)(void *ctx, kb_str_t key);
	/* Answer by kb_change_on_written(). */
	void (*put)(void *ctx, const kb_store_write_t *write);
	void (*remove)(void *ctx, const kb_store_write_t *write);
	/* Answer by kb_change_on_timer() after `delay`. */
	void (*wait)(void *ctx, kb_time_t delay);
	/* The last order; it may finish the change. */
	void (*done)(void *ctx, const kb_change_outcome_t *outcome);
} kb_change_ops_t;

/* What an operator asks for. */
typedef struct kb_change_request {
	/* The resource with its change record; a delete ignores the spec. */
	const kb_resource_t *resource;
	int remove;
	/* Revision it must have, KB_STORE_ABSENT or KB_STORE_ANY. */
	int64_t condition;
	kb_time_t deadline;
	uint64_t seed;
} kb_change_request_t;

/* What a change waits for. */
typedef enum kb_change_step {
	/* The value that it is to replace. */
	KB_CHANGE_READ_VALUE,
	/* The record of the last deletion, if there is no value. */
	KB_CHANGE_READ_RECORD,
	/* The answer to a write, or the value after a lost answer. */
	KB_CHANGE_WRITE,
} kb_change_step_t;

/*
 * One change of a resource in the store. After a lost answer it reads the
 * resource back and looks for its change id; it repeats the write only on
 * the revision on which the lost one was conditioned, so that both cannot
 * take effect. A creation is conditioned on the record of the last deletion,
 * because a missing key has no revision of its own.
 */
typedef struct kb_change {
	const kb_change_ops_t *ops;
	void *ctx;
	char key[KB_RESOURCE_KEY_BYTES];
	char record_key[KB_RESOURCE_KEY_BYTES];
	/* Owned. */
	char *value;
	kb_name_t id;
	int remove;
	int64_t condition;
	kb_time_t deadline;
	kb_backoff_t backoff;
	/* Revision on which the write is conditioned. */
	int64_t expected;
	/* Creation and version of the key at that revision, 0 if unknown. */
	int64_t base_created;
	int64_t base_version;
	/* Revision of the last deletion's record, for a creation. */
	int64_t record_revision;
	kb_change_step_t step;
	/* Some write may have taken effect without an answer. */
	int is_uncertain;
	unsigned conflicts;
	unsigned attempt;
} kb_change_t;

/* Prepares a change. Returns KB_ERR_NO_MEMORY or KB_ERR_TOO_LARGE. */
kb_result_t kb_change_init(kb_change_t *change, const kb_change_ops_t *ops,
			   void *ctx, const kb_change_request_t *request);
void kb_change_finish(kb_change_t *change);

/* Gives the first order. */
void kb_change_start(kb_change_t *change);

void kb_change_on_read(kb_change_t *change, kb_result_t result,
		       const kb_store_range_t *range, kb_time_t now);
void kb_change_on_written(kb_change_t *change, kb_result_t result,
			  const kb_store_written_t *written, kb_time_t now);
void kb_change_on_timer(kb_change_t *change);

KB_END_DECLS

#endif
