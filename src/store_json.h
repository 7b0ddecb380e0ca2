#ifndef KB_STORE_JSON_H
#define KB_STORE_JSON_H

#include "store.h"

KB_BEGIN_DECLS

/* A decoded answer of the store's gateway; each call fills its part. */
typedef struct kb_store_json {
	int64_t revision;
	/* Keys of a range, present value of a conflict, changes of a watch. */
	kb_store_entry_t *entries;
	size_t count;
	/* A transaction's condition held. */
	int succeeded;
	/* A watch was ended by the store. */
	int canceled;
	/* Revision up to which the store has forgotten changes, or 0. */
	int64_t compacted;
	int64_t lease;
	kb_time_t ttl;
	/* Holds the keys and values. */
	char *bytes;
	size_t used;
} kb_store_json_t;

/*
 * Requests, as text that the caller frees; NULL if memory is short. A write
 * is a transaction that reads the present value if its condition fails.
 */
char *kb_store_json_get(const kb_store_keys_t *keys);
char *kb_store_json_put(const kb_store_write_t *write);
char *kb_store_json_remove(const kb_store_write_t *write);
char *kb_store_json_watch(const kb_store_keys_t *keys, int64_t after);
char *kb_store_json_lease_grant(kb_time_t ttl);
char *kb_store_json_lease_keep(int64_t lease);

/*
 * Decode answers. On KB_OK `json` is released by kb_store_json_finish();
 * KB_ERR_PROTOCOL or KB_ERR_NO_MEMORY leave nothing to release.
 */
kb_result_t kb_store_json_parse_range(kb_store_json_t *json, kb_str_t text);
kb_result_t kb_store_json_parse_txn(kb_store_json_t *json, kb_str_t text);
kb_result_t kb_store_json_parse_watch(kb_store_json_t *json, kb_str_t text);
kb_result_t kb_store_json_parse_lease(kb_store_json_t *json, kb_str_t text);

void kb_store_json_finish(kb_store_json_t *json);

KB_END_DECLS

#endif
