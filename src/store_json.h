#ifndef KB_STORE_JSON_H
#define KB_STORE_JSON_H

#include "store.h"

KB_BEGIN_DECLS

/* A decoded answer of the store's gateway; the kind of call determines which
 * fields are set. */
typedef struct kb_store_json {
	int64_t revision;
	/* Entries of a range, current entry of a conflict, changes of a
	 * watch. */
	kb_store_entry_t *entries;
	size_t count;
	/* The conditions of a transaction were met. */
	int succeeded;
	/* The store has ended the watch. */
	int canceled;
	/* Revision up to which the store has compacted changes, or 0. */
	int64_t compacted;
	int64_t lease;
	kb_time_t ttl;
	/* Buffer of the decoded keys and values. */
	char *bytes;
	size_t used;
} kb_store_json_t;

/*
 * Return a request as text, to be freed with free(), or NULL if out of memory.
 * A write is a transaction that reads the current value if its condition
 * fails.
 */
char *kb_store_json_get(const kb_store_keys_t *keys);
char *kb_store_json_put(const kb_store_write_t *write);
char *kb_store_json_remove(const kb_store_write_t *write);
char *kb_store_json_watch(const kb_store_keys_t *keys, int64_t after);
char *kb_store_json_lease_grant(kb_time_t ttl);
char *kb_store_json_lease_keep(int64_t lease);

/*
 * Parse an answer. After KB_OK `json` must be released with
 * kb_store_json_finish(); on KB_ERR_PROTOCOL and KB_ERR_NO_MEMORY there is
 * nothing to release.
 */
kb_result_t kb_store_json_parse_range(kb_store_json_t *json, kb_str_t text);
kb_result_t kb_store_json_parse_txn(kb_store_json_t *json, kb_str_t text);
kb_result_t kb_store_json_parse_watch(kb_store_json_t *json, kb_str_t text);
kb_result_t kb_store_json_parse_lease(kb_store_json_t *json, kb_str_t text);

void kb_store_json_finish(kb_store_json_t *json);

KB_END_DECLS

#endif
