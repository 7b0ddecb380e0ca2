#include "store_json.h"

#include "json_text.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *dump(json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	return text;
}

/* Returns the first key after all keys that begin with `prefix`. */
static json_t *prefix_end(kb_str_t prefix)
{
	char *end = malloc(prefix.len + 1);
	size_t len = prefix.len;
	json_t *json;

	if (!end)
		return NULL;
	if (len)
		memcpy(end, prefix.data, len);
	while (len && (unsigned char)end[len - 1] == UINT8_MAX)
		len--;
	if (len)
		end[len - 1]++;
	else
		end[len++] = 0;
	json = kb_json_text_base64((kb_str_t){ end, len });
	free(end);
	return json;
}

static json_t *keys_json(const kb_store_keys_t *keys)
{
	/* The gateway treats an empty key as a missing one. */
	kb_str_t key = keys->prefix && !keys->key.len ? (kb_str_t){ "", 1 }
						      : keys->key;
	json_t *json = json_pack("{s:o}", "key", kb_json_text_base64(key));

	if (json && keys->prefix &&
	    json_object_set_new(json, "range_end", prefix_end(keys->key))) {
		json_decref(json);
		return NULL;
	}
	return json;
}

char *kb_store_json_get(const kb_store_keys_t *keys)
{
	return dump(keys_json(keys));
}

static json_t *compare_revision(kb_str_t key, int64_t revision)
{
	return json_pack("{s:o,s:s,s:s,s:o}", "key", kb_json_text_base64(key),
			 "target", "MOD", "result", "EQUAL", "mod_revision",
			 kb_json_text_int64(revision));
}

/* Returns a transaction that executes `operations` if `write` permits it. */
static char *conditional(const kb_store_write_t *write, int is_put,
			 json_t *operations)
{
	kb_store_keys_t keys = { .key = write->key };
	json_t *compare = json_array();
	int failed = 0;

	if (write->expected != KB_STORE_ANY)
		failed |= json_array_append_new(
			compare, compare_revision(write->key, write->expected));
	if (is_put && write->expected == KB_STORE_ABSENT && write->record.len)
		failed |= json_array_append_new(
			compare, compare_revision(write->record,
						  write->record_expected));
	if (failed) {
		json_decref(compare);
		json_decref(operations);
		return NULL;
	}
	return dump(json_pack("{s:o,s:o,s:[{s:o}]}", "compare", compare,
			      "success", operations, "failure", "request_range",
			      keys_json(&keys)));
}

static json_t *put_json(kb_str_t key, kb_str_t value, int64_t lease)
{
	json_t *put = json_pack("{s:o,s:o}", "key", kb_json_text_base64(key),
				"value", kb_json_text_base64(value));

	if (put && lease &&
	    json_object_set_new(put, "lease", kb_json_text_int64(lease))) {
		json_decref(put);
		return NULL;
	}
	return json_pack("{s:o}", "request_put", put);
}

char *kb_store_json_put(const kb_store_write_t *write)
{
	return conditional(write, 1,
			   json_pack("[o]", put_json(write->key, write->value,
						     write->lease)));
}

char *kb_store_json_remove(const kb_store_write_t *write)
{
	kb_store_keys_t keys = { .key = write->key };
	json_t *operations =
		json_pack("[{s:o}]", "request_delete_range", keys_json(&keys));

	if (write->record.len &&
	    json_array_append_new(operations,
				  put_json(write->record, write->value, 0))) {
		json_decref(operations);
		return NULL;
	}
	return conditional(write, 0, operations);
}

char *kb_store_json_watch(const kb_store_keys_t *keys, int64_t after)
{
	json_t *create = keys_json(keys);

	if (create && json_object_set_new(create, "start_revision",
					  kb_json_text_int64(after + 1))) {
		json_decref(create);
		return NULL;
	}
	return dump(json_pack("{s:o}", "create_request", create));
}

char *kb_store_json_lease_grant(kb_time_t ttl)
{
	/* The store's unit is whole seconds; round up. */
	int64_t seconds = (ttl + KB_NS_PER_S - 1) / KB_NS_PER_S;

	return dump(json_pack("{s:o}", "TTL", kb_json_text_int64(seconds)));
}

char *kb_store_json_lease_keep(int64_t lease)
{
	return dump(json_pack("{s:o}", "ID", kb_json_text_int64(lease)));
}

/* Reads a 64-bit number given as a string or a number; 0 if missing. */
static int64_t number_of(const json_t *object, const char *name)
{
	const json_t *field = json_object_get(object, name);

	if (json_is_string(field))
		return strtoll(json_string_value(field), NULL, 10);
	return json_integer_value(field);
}

/* Decodes a base64 field into the buffer of `json`. */
static kb_result_t bytes_of(kb_store_json_t *json, const json_t *object,
			    const char *name, kb_str_t *bytes)
{
	const json_t *field = json_object_get(object, name);
	char *place = json->bytes + json->used;
	size_t len = json_string_length(field);

	*bytes = (kb_str_t){ "", 0 };
	if (!field)
		return KB_OK;
	if (!json_is_string(field) ||
	    sodium_base642bin((unsigned char *)place, len,
			      json_string_value(field), len, NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return KB_ERR_PROTOCOL;
	*bytes = (kb_str_t){ place, len };
	json->used += len;
	return KB_OK;
}

static kb_result_t parse_entry(kb_store_json_t *json, const json_t *kv)
{
	kb_store_entry_t *entry = &json->entries[json->count];
	kb_result_t result = bytes_of(json, kv, "key", &entry->key);

	if (result != KB_OK)
		return result;
	entry->revision = number_of(kv, "mod_revision");
	entry->created = number_of(kv, "create_revision");
	entry->version = number_of(kv, "version");
	if (!entry->key.len || entry->revision <= 0)
		return KB_ERR_PROTOCOL;
	json->count++;
	return bytes_of(json, kv, "value", &entry->value);
}

/* Parses the key-value pairs of a range, or the events of a watch. */
static kb_result_t parse_entries(kb_store_json_t *json, const json_t *items,
				 int are_events)
{
	size_t count = json_array_size(items);

	if (!count)
		return KB_OK;
	json->entries = calloc(count, sizeof(json->entries[0]));
	if (!json->entries)
		return KB_ERR_NO_MEMORY;
	for (size_t i = 0; i < count; i++) {
		const json_t *item = json_array_get(items, i);
		const json_t *kv =
			are_events ? json_object_get(item, "kv") : item;
		const char *type =
			json_string_value(json_object_get(item, "type"));
		kb_result_t result = parse_entry(json, kv);

		if (result != KB_OK)
			return result;
		json->entries[i].deleted =
			are_events && type && !strcmp(type, "DELETE");
	}
	return KB_OK;
}

/* Parses the root object and allocates the buffer of `json`. */
static json_t *parse_root(kb_store_json_t *json, kb_str_t text)
{
	json_t *root = json_loadb(text.len ? text.data : "", text.len, 0, NULL);

	memset(json, 0, sizeof(*json));
	if (!json_is_object(root)) {
		json_decref(root);
		return NULL;
	}
	/* Decoded bytes are never longer than their text. */
	json->bytes = malloc(text.len + 1);
	return root;
}

static kb_result_t parse_header(kb_store_json_t *json, const json_t *object)
{
	json->revision =
		number_of(json_object_get(object, "header"), "revision");
	return json->revision > 0 ? KB_OK : KB_ERR_PROTOCOL;
}

typedef kb_result_t kb_parse_fn_t(kb_store_json_t *json, const json_t *root);

static kb_result_t parse(kb_store_json_t *json, kb_str_t text,
			 kb_parse_fn_t *read)
{
	json_t *root = parse_root(json, text);
	kb_result_t result;

	if (!root)
		return KB_ERR_PROTOCOL;
	result = json->bytes ? read(json, root) : KB_ERR_NO_MEMORY;
	json_decref(root);
	if (result != KB_OK)
		kb_store_json_finish(json);
	return result;
}

static kb_result_t read_range(kb_store_json_t *json, const json_t *root)
{
	kb_result_t result = parse_header(json, root);

	if (result != KB_OK)
		return result;
	return parse_entries(json, json_object_get(root, "kvs"), 0);
}

static kb_result_t read_txn(kb_store_json_t *json, const json_t *root)
{
	const json_t *first =
		json_array_get(json_object_get(root, "responses"), 0);
	const json_t *range = json_object_get(first, "response_range");
	kb_result_t result = parse_header(json, root);

	if (result != KB_OK)
		return result;
	json->succeeded = json_is_true(json_object_get(root, "succeeded"));
	return parse_entries(json, json_object_get(range, "kvs"), 0);
}

static kb_result_t read_watch(kb_store_json_t *json, const json_t *root)
{
	const json_t *message = json_object_get(root, "result");
	kb_result_t result = parse_header(json, message);

	if (result != KB_OK)
		return result;
	json->canceled = json_is_true(json_object_get(message, "canceled"));
	json->compacted = number_of(message, "compact_revision");
	return parse_entries(json, json_object_get(message, "events"), 1);
}

static kb_result_t read_lease(kb_store_json_t *json, const json_t *root)
{
	const json_t *wrapped = json_object_get(root, "result");
	const json_t *answer = wrapped ? wrapped : root;

	json->lease = number_of(answer, "ID");
	if (!json->lease || __builtin_mul_overflow(number_of(answer, "TTL"),
						   KB_NS_PER_S, &json->ttl))
		return KB_ERR_PROTOCOL;
	return KB_OK;
}

kb_result_t kb_store_json_parse_range(kb_store_json_t *json, kb_str_t text)
{
	return parse(json, text, read_range);
}

kb_result_t kb_store_json_parse_txn(kb_store_json_t *json, kb_str_t text)
{
	return parse(json, text, read_txn);
}

kb_result_t kb_store_json_parse_watch(kb_store_json_t *json, kb_str_t text)
{
	return parse(json, text, read_watch);
}

kb_result_t kb_store_json_parse_lease(kb_store_json_t *json, kb_str_t text)
{
	return parse(json, text, read_lease);
}

void kb_store_json_finish(kb_store_json_t *json)
{
	free(json->entries);
	free(json->bytes);
	memset(json, 0, sizeof(*json));
}
