#include "exec_batch.h"

int kb_exec_batch_is_statement(kb_exec_phase_t phase, size_t index)
{
	switch (phase) {
	case KB_EXEC_READ:
	case KB_EXEC_WRITE:
		return index == KB_EXEC_BATCH_WRITE_STATEMENT;
	case KB_EXEC_KEYED_STATEMENT:
		return index == KB_EXEC_BATCH_KEYED_STATEMENT;
	case KB_EXEC_STATEMENT:
		return 1;
	default:
		return 0;
	}
}

int kb_exec_batch_is_commit(kb_exec_phase_t phase, size_t index)
{
	switch (phase) {
	case KB_EXEC_WRITE:
		return index == KB_EXEC_BATCH_WRITE_COMMIT;
	case KB_EXEC_KEYED_COMMIT:
	case KB_EXEC_KEYED_TRANSACTION:
		return index == KB_EXEC_BATCH_KEYED_COMMIT;
	case KB_EXEC_COMMIT:
		return index == KB_EXEC_BATCH_TRANSACTION_COMMIT;
	default:
		return 0;
	}
}

int kb_exec_batch_is_position(kb_exec_phase_t phase, size_t index)
{
	switch (phase) {
	case KB_EXEC_WRITE:
		return index == KB_EXEC_BATCH_WRITE_POSITION;
	case KB_EXEC_KEYED_COMMIT:
	case KB_EXEC_KEYED_TRANSACTION:
		return index == KB_EXEC_BATCH_KEYED_POSITION;
	case KB_EXEC_COMMIT:
		return index == KB_EXEC_BATCH_TRANSACTION_POSITION;
	case KB_EXEC_LOOKUP:
		return index == KB_EXEC_BATCH_LOOKUP_POSITION;
	default:
		return 0;
	}
}
