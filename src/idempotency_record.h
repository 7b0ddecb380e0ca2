#ifndef KB_IDEMPOTENCY_RECORD_H
#define KB_IDEMPOTENCY_RECORD_H

#include "conn.h"

KB_BEGIN_DECLS

/* Table of the records, with the text columns `id` and `body`. */
#define KB_IDEMPOTENCY_RECORD_TABLE "kumquat_requests"
#define KB_IDEMPOTENCY_RECORD_PARAMS 2
#define KB_IDEMPOTENCY_RECORD_DIGEST_BYTES 32
#define KB_IDEMPOTENCY_RECORD_ID_BYTES 65

/*
 * The stored trace of a request with an idempotency key. Its id is derived
 * from the caller and the key, so that callers cannot meet each other's.
 */
typedef struct kb_idempotency_record {
	char id[KB_IDEMPOTENCY_RECORD_ID_BYTES];
	char digest[KB_IDEMPOTENCY_RECORD_ID_BYTES];
	char *body;
} kb_idempotency_record_t;

/* Initializes a record of `key` for a request with this digest. */
void kb_idempotency_record_init(
	kb_idempotency_record_t *record, kb_str_t caller, kb_str_t key,
	const unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES]);

/* Frees what the record's statements refer to. */
void kb_idempotency_record_finish(kb_idempotency_record_t *record);

/*
 * Statements on the record. They refer to `record` and `params`, which hold
 * KB_IDEMPOTENCY_RECORD_PARAMS strings.
 */
kb_statement_t kb_idempotency_record_insert(kb_idempotency_record_t *record,
					    kb_str_t *params);
kb_statement_t kb_idempotency_record_select(kb_idempotency_record_t *record,
					    kb_str_t *params);

/* The statement that stores `answer`; KB_ERR_NO_MEMORY if it is not made. */
kb_result_t kb_idempotency_record_store(kb_idempotency_record_t *record,
					json_t *answer, kb_str_t *params,
					kb_statement_t *statement);

/*
 * Reads the body of a stored record. Returns KB_OK and sets `*answer`, a new
 * reference; KB_ERR_KEY_REUSED if the digest differs; or KB_ERR_PROTOCOL.
 */
kb_result_t kb_idempotency_record_read(
	kb_str_t body,
	const unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES],
	json_t **answer);

/* Extends `digest` by a statement and its parameters. */
void kb_idempotency_record_digest(
	unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES],
	const kb_statement_t *statement);

KB_END_DECLS

#endif
