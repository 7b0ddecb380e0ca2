#include "idempotency_record.h"

#include <sodium.h>
#include <stdlib.h>

#define SQL_INSERT                                        \
	KB_STR("INSERT INTO " KB_IDEMPOTENCY_RECORD_TABLE \
	       " (id, body) VALUES ($1, $2)")
#define SQL_UPDATE                                   \
	KB_STR("UPDATE " KB_IDEMPOTENCY_RECORD_TABLE \
	       " SET body = $2 WHERE id = "          \
	       "$1")
#define SQL_SELECT                                                 \
	KB_STR("SELECT id, body FROM " KB_IDEMPOTENCY_RECORD_TABLE \
	       " WHERE id = "                                      \
	       "$1")

_Static_assert(KB_IDEMPOTENCY_RECORD_DIGEST_BYTES == crypto_generichash_BYTES,
	       "the digest is that of crypto_generichash");

static void hash_str(crypto_generichash_state *state, kb_str_t s)
{
	uint64_t len = s.data ? s.len : UINT64_MAX;

	crypto_generichash_update(state, (const unsigned char *)&len,
				  sizeof(len));
	if (s.data)
		crypto_generichash_update(state, (const unsigned char *)s.data,
					  s.len);
}

static void
to_hex(char out[KB_IDEMPOTENCY_RECORD_ID_BYTES],
       const unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES])
{
	sodium_bin2hex(out, KB_IDEMPOTENCY_RECORD_ID_BYTES, digest,
		       KB_IDEMPOTENCY_RECORD_DIGEST_BYTES);
}

void kb_idempotency_record_init(
	kb_idempotency_record_t *record, kb_str_t caller, kb_str_t key,
	const unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES])
{
	unsigned char id[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES];
	crypto_generichash_state state;

	memset(record, 0, sizeof(*record));
	crypto_generichash_init(&state, NULL, 0, sizeof(id));
	hash_str(&state, caller);
	hash_str(&state, key);
	crypto_generichash_final(&state, id, sizeof(id));
	to_hex(record->id, id);
	to_hex(record->digest, digest);
}

void kb_idempotency_record_finish(kb_idempotency_record_t *record)
{
	free(record->body);
}

kb_statement_t kb_idempotency_record_insert(kb_idempotency_record_t *record,
					    kb_str_t *params)
{
	params[0] = kb_str_from(record->id);
	params[1] = kb_str_from(record->digest);
	return (kb_statement_t){ SQL_INSERT, 2, params };
}

kb_statement_t kb_idempotency_record_select(kb_idempotency_record_t *record,
					    kb_str_t *params)
{
	params[0] = kb_str_from(record->id);
	return (kb_statement_t){ SQL_SELECT, 1, params };
}

kb_result_t kb_idempotency_record_store(kb_idempotency_record_t *record,
					json_t *answer, kb_str_t *params,
					kb_statement_t *statement)
{
	json_t *body = json_pack("{s:s,s:O}", "digest", record->digest,
				 "answer", answer);

	if (!body)
		return KB_ERR_NO_MEMORY;
	free(record->body);
	record->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (!record->body)
		return KB_ERR_NO_MEMORY;
	params[0] = kb_str_from(record->id);
	params[1] = kb_str_from(record->body);
	*statement = (kb_statement_t){ SQL_UPDATE, 2, params };
	return KB_OK;
}

/* A transaction's record holds the digest alone. */
static kb_result_t read_digest(kb_str_t body, const char *expected,
			       json_t **answer)
{
	if (!kb_str_equal(body, kb_str_from(expected)))
		return KB_ERR_KEY_REUSED;
	*answer = json_pack("{s:n,s:n,s:i}", "columns", "rows", "affected", 0);
	return *answer ? KB_OK : KB_ERR_NO_MEMORY;
}

kb_result_t kb_idempotency_record_read(
	kb_str_t body,
	const unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES],
	json_t **answer)
{
	char expected[KB_IDEMPOTENCY_RECORD_ID_BYTES];
	kb_result_t result = KB_ERR_PROTOCOL;
	json_t *stored, *found;
	const char *text;

	to_hex(expected, digest);
	if (!body.len || body.data[0] != '{')
		return read_digest(body, expected, answer);
	stored = json_loadb(body.data, body.len, 0, NULL);
	text = json_string_value(json_object_get(stored, "digest"));
	found = json_object_get(stored, "answer");
	if (!text || !json_is_object(found))
		goto out;
	result = KB_ERR_KEY_REUSED;
	if (strcmp(text, expected))
		goto out;
	*answer = json_incref(found);
	result = KB_OK;
out:
	json_decref(stored);
	return result;
}

void kb_idempotency_record_digest(
	unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES],
	const kb_statement_t *statement)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0,
				KB_IDEMPOTENCY_RECORD_DIGEST_BYTES);
	crypto_generichash_update(&state, digest,
				  KB_IDEMPOTENCY_RECORD_DIGEST_BYTES);
	hash_str(&state, statement->sql);
	for (size_t i = 0; i < statement->param_count; i++)
		hash_str(&state, statement->params[i]);
	crypto_generichash_final(&state, digest,
				 KB_IDEMPOTENCY_RECORD_DIGEST_BYTES);
}
