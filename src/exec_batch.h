#ifndef KB_EXEC_BATCH_H
#define KB_EXEC_BATCH_H

#include "exec.h"

KB_BEGIN_DECLS

/* Indexes of the statements within the batches of a request. */
enum {
	KB_EXEC_BATCH_WRITE_WORK = 1,
	KB_EXEC_BATCH_WRITE_COMMIT = 2,
	KB_EXEC_BATCH_WRITE_POSITION = 3,
	KB_EXEC_BATCH_KEYED_RECORD = 1,
	KB_EXEC_BATCH_KEYED_WORK = 2,
	KB_EXEC_BATCH_KEYED_STORE = 0,
	KB_EXEC_BATCH_KEYED_COMMIT = 1,
	KB_EXEC_BATCH_KEYED_POSITION = 2,
	KB_EXEC_BATCH_TRANSACTION_RECORD = 0,
	KB_EXEC_BATCH_TRANSACTION_COMMIT = 0,
	KB_EXEC_BATCH_TRANSACTION_POSITION = 1,
	KB_EXEC_BATCH_LOOKUP_RECORD = 1,
	KB_EXEC_BATCH_LOOKUP_POSITION = 2,
};

/*
 * Return non-zero if statement `index` of the batch of `phase` is the caller's
 * own, the COMMIT, or the question for the position.
 */
int kb_exec_batch_is_work(kb_exec_phase_t phase, size_t index);
int kb_exec_batch_is_commit(kb_exec_phase_t phase, size_t index);
int kb_exec_batch_is_position(kb_exec_phase_t phase, size_t index);

KB_END_DECLS

#endif
