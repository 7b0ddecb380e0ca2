#ifndef KB_PQ_ANSWER_H
#define KB_PQ_ANSWER_H

#include "conn.h"

#include <libpq-fe.h>

KB_BEGIN_DECLS

/* Collects the rows of one statement up to a limit in bytes. */
typedef struct kb_pq_answer {
	json_t *columns;
	json_t *rows;
	size_t bytes;
	size_t limit_bytes;
	int failed;
} kb_pq_answer_t;

void kb_pq_answer_init(kb_pq_answer_t *answer, size_t limit_bytes);
void kb_pq_answer_finish(kb_pq_answer_t *answer);

/* Drops what was collected. */
void kb_pq_answer_reset(kb_pq_answer_t *answer);

/* Adds the rows of `result` unless the limit is exceeded. */
void kb_pq_answer_add(kb_pq_answer_t *answer, const PGresult *result);

/* Fills `out` from `result`, the last one of the statement. */
void kb_pq_answer_end(kb_pq_answer_t *answer, const PGresult *result,
		      kb_answer_t *out);

KB_END_DECLS

#endif
