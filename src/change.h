#ifndef KB_CHANGE_H
#define KB_CHANGE_H

#include "backoff.h"
#include "resource.h"
#include "store.h"

KB_BEGIN_DECLS

/* Outcome of a change. The data are valid until `done` returns. */
typedef struct kb_change_outcome {
	/*
	 * KB_OK: the change is stored. KB_ERR_CONFLICT, KB_ERR_NOT_FOUND,
	 * KB_ERR_UNREACHABLE, KB_ERR_OVERLOADED, KB_ERR_DEADLINE,
	 * KB_ERR_INVALID: it has no effect and will have none. KB_ERR_UNKNOWN:
	 * it may have taken effect, or may still do so.
	 */
	kb_result_t result;
	/*
	 * Revision of the change after KB_OK; 0 if a deletion whose answer was
	 * lost found the resource already absent.
	 */
	int64_t revision;
	/* Current value if it is known, else NULL. */
	const kb_store_entry_t *current;
} kb_change_outcome_t;

/*
 * Operations that a change requests. Each one except `done` is answered by one
 * call of the function named.
 */
typedef struct kb_change_ops {
	/* Answered by kb_change_on_read(). */
	void (*read)(void *ctx, kb_str_t key);
	/* Both are answered by kb_change_on_written(). */
	void (*put)(void *ctx, const kb_store_write_t *write);
	void (*remove)(void *ctx, const kb_store_write_t *write);
	/* Answered by kb_change_on_timer() after `delay`. */
	void (*wait)(void *ctx, kb_time_t delay);
	/* Called last; it may call kb_change_finish(). */
	void (*done)(void *ctx, const kb_change_outcome_t *outcome);
} kb_change_ops_t;

/* A change requested by an operator. */
typedef struct kb_change_request {
	/* The resource with its change record; a deletion ignores the spec. */
	const kb_resource_t *resource;
	int remove;
	/*
	 * Revision that the resource must have, KB_STORE_ABSENT or
	 * KB_STORE_ANY.
	 */
	int64_t condition;
	kb_time_t deadline;
	uint64_t seed;
} kb_change_request_t;

/* What a change is waiting for. */
typedef enum kb_change_step {
	/* The read of the value to be replaced. */
	KB_CHANGE_READ_VALUE,
	/* The read of the record of the last deletion, before a creation. */
	KB_CHANGE_READ_RECORD,
	/* The answer to the write, or the read-back after a lost answer. */
	KB_CHANGE_WRITE,
} kb_change_step_t;

/*
 * One conditional write of a resource to the store. If the answer to the write
 * is lost, the resource is read back and checked for the id of this change. The
 * write is retried only with the expected revision of the lost one, so that at
 * most one of them can take effect. A creation is conditioned on the record of
 * the last deletion, because a missing key has no revision of its own.
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
	/*
	 * Create revision and version of the key at that revision, 0 if
	 * unknown.
	 */
	int64_t base_created;
	int64_t base_version;
	/* Revision of the last deletion's record, for a creation. */
	int64_t record_revision;
	kb_change_step_t step;
	/* A write whose answer was lost may have taken effect. */
	int is_uncertain;
	unsigned conflicts;
	unsigned attempt;
} kb_change_t;

/*
 * Initializes `change`, which copies `request`. Returns KB_ERR_NO_MEMORY or
 * KB_ERR_TOO_LARGE.
 */
kb_result_t kb_change_init(kb_change_t *change, const kb_change_ops_t *ops,
			   void *ctx, const kb_change_request_t *request);
void kb_change_finish(kb_change_t *change);

/* Starts the change with a read of the resource. */
void kb_change_start(kb_change_t *change);

void kb_change_on_read(kb_change_t *change, kb_result_t result,
		       const kb_store_range_t *range, kb_time_t now);
void kb_change_on_written(kb_change_t *change, kb_result_t result,
			  const kb_store_written_t *written, kb_time_t now);
void kb_change_on_timer(kb_change_t *change);

KB_END_DECLS

#endif
