#ifndef KL_ANSWER_H
#define KL_ANSWER_H

#include "kumquatbridge.h"

#include <jansson.h>

KB_BEGIN_DECLS

#define KL_AGE_UNKNOWN INT64_C(-1)

/* An answer of the caller interface. */
typedef struct kl_answer {
	/* KB_OUTCOME_UNKNOWN also for a missing or malformed answer. */
	kb_outcome_t outcome;
	/* Result code; KB_ERR_CLOSED without an answer. */
	int code;
	int64_t affected;
	/* Age that the answer states, or KL_AGE_UNKNOWN. */
	int64_t age_ms;
	int from_replica;
	/* The whole answer; NULL unless the outcome is KB_OUTCOME_DONE. */
	json_t *json;
} kl_answer_t;

/*
 * Interprets an HTTP answer; `status` 0 means that none came. To be finished
 * with kl_answer_finish().
 */
void kl_answer_init(kl_answer_t *answer, int status, kb_str_t body);

/* Describes a request that was never sent. */
void kl_answer_init_unsent(kl_answer_t *answer);
void kl_answer_finish(kl_answer_t *answer);

/* Returns the number of rows. */
size_t kl_answer_rows(const kl_answer_t *answer);

/* Returns a cell of the first row, or NULL. */
const char *kl_answer_cell(const kl_answer_t *answer, size_t column);

KB_END_DECLS

#endif
