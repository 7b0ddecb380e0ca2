#ifndef KB_EXEC_BATCH_H
#define KB_EXEC_BATCH_H

#include "exec.h"

KB_BEGIN_DECLS

/* Indexes of the statements within the batch of each phase. */
enum {
	KB_EXEC_BATCH_READ_STATEMENT = 1,
	KB_EXEC_BATCH_WRITE_STATEMENT = 1,
	KB_EXEC_BATCH_WRITE_COMMIT = 2,
	KB_EXEC_BATCH_WRITE_POSITION = 3,
	KB_EXEC_BATCH_KEYED_RECORD = 1,
	KB_EXEC_BATCH_KEYED_STATEMENT = 2,
	KB_EXEC_BATCH_KEYED_STORE = 0,
	KB_EXEC_BATCH_KEYED_COMMIT = 1,
	KB_EXEC_BATCH_KEYED_POSITION = 2,
	KB_EXEC_BATCH_TRANSACTION_COMMIT = 0,
	KB_EXEC_BATCH_TRANSACTION_POSITION = 1,
	KB_EXEC_BATCH_TRANSACTION_RECORD = 0,
	KB_EXEC_BATCH_LOOKUP_RECORD = 1,
	KB_EXEC_BATCH_LOOKUP_POSITION = 2,
};

/* Whether statement `index` of a phase's batch is the caller's statement. */
int kb_exec_batch_is_statement(kb_exec_phase_t phase, size_t index);

/* Whether it is the COMMIT of the caller's request. */
int kb_exec_batch_is_commit(kb_exec_phase_t phase, size_t index);

/* Whether it reports the position after the COMMIT. */
int kb_exec_batch_is_position(kb_exec_phase_t phase, size_t index);

KB_END_DECLS

#endif
