#ifndef KL_ANSWER_H
#define KL_ANSWER_H

#include "kumquatbridge.h"

#include <jansson.h>

KB_BEGIN_DECLS

#define KL_AGE_UNKNOWN INT64_C(-1)

/* A response of the caller interface. */
typedef struct kl_answer {
	/* KB_OUTCOME_UNKNOWN also for a missing or malformed response. */
	kb_outcome_t outcome;
	/* Result code; KB_ERR_CLOSED without a response. */
	int code;
	/* Number of rows that the statement changed. */
	int64_t affected;
	/* Age of the data as the response states it, or KL_AGE_UNKNOWN. */
	int64_t age_ms;
	int from_replica;
	/* The body; owned; NULL unless the outcome is KB_OUTCOME_DONE. */
	json_t *json;
} kl_answer_t;

/*
 * Parses an HTTP response; `status` 0 means that there was none. The caller
 * calls kl_answer_finish().
 */
void kl_answer_init(kl_answer_t *answer, int status, kb_str_t body);

/* Initializes the answer to a request that was never sent. */
void kl_answer_init_unsent(kl_answer_t *answer);
void kl_answer_finish(kl_answer_t *answer);

/* Returns the number of rows. */
size_t kl_answer_rows(const kl_answer_t *answer);

/* Returns a cell of the first row as text, or NULL. */
const char *kl_answer_cell(const kl_answer_t *answer, size_t column);

KB_END_DECLS

#endif
