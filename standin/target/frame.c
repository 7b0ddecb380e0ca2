#include "frame.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_FRAME_BYTES = 16 * 1024 * 1024 };

kb_result_t st_frame_send(struct evbuffer *out, json_t *message)
{
	char *text = message ? json_dumps(message, JSON_COMPACT) : NULL;
	size_t len = text ? strlen(text) : 0;
	uint32_t head = htonl((uint32_t)len);
	int failed = !text || evbuffer_add(out, &head, sizeof(head)) ||
		     evbuffer_add(out, text, len);

	free(text);
	json_decref(message);
	return failed ? KB_ERR_NO_MEMORY : KB_OK;
}

kb_result_t st_frame_read(struct evbuffer *in, json_t **message)
{
	uint32_t len;
	const char *text;

	*message = NULL;
	if (evbuffer_copyout(in, &len, sizeof(len)) < (int)sizeof(len))
		return KB_OK;
	len = ntohl(len);
	if (len > MAX_FRAME_BYTES)
		return KB_ERR_PROTOCOL;
	if (evbuffer_get_length(in) < len + sizeof(len))
		return KB_OK;
	evbuffer_drain(in, sizeof(len));
	text = (const char *)evbuffer_pullup(in, len);
	*message = text ? json_loadb(text, len, JSON_ALLOW_NUL, NULL) : NULL;
	evbuffer_drain(in, len);
	return *message ? KB_OK : KB_ERR_PROTOCOL;
}

json_t *st_frame_hello(const st_log_t *log, uint64_t term)
{
	json_t *terms = json_array();

	for (size_t i = 0; i < log->term_count; i++)
		json_array_append_new(
			terms,
			json_pack("[I,I]", (json_int_t)log->terms[i].term,
				  (json_int_t)log->terms[i].start));
	return json_pack("{s:I,s:I,s:o}", "term", (json_int_t)term, "last",
			 (json_int_t)log->count, "terms", terms);
}

static json_t *text_of(const st_text_t *text)
{
	return json_stringn(text->data, text->len);
}

json_t *st_frame_entry(const st_entry_t *entry, uint64_t position)
{
	json_t *changes = json_array();

	for (size_t i = 0; i < entry->count; i++) {
		const st_change_t *change = entry->changes[i];

		json_array_append_new(
			changes,
			json_pack("[o,o,o]", text_of(&change->table),
				  text_of(&change->id),
				  change->deletes ? json_null()
						  : text_of(&change->body)));
	}
	return json_pack("{s:I,s:I,s:o}", "position", (json_int_t)position,
			 "term", (json_int_t)entry->term, "changes", changes);
}

static kb_str_t str_of(const json_t *value)
{
	kb_str_t text = { json_string_value(value), json_string_length(value) };

	return text;
}

static st_change_t *read_change(const json_t *item)
{
	const json_t *table = json_array_get(item, 0);
	const json_t *id = json_array_get(item, 1);
	const json_t *body = json_array_get(item, 2);
	st_change_t *change;

	if (!json_is_string(table) || !json_is_string(id) || !body)
		return NULL;
	change = st_change_create(str_of(table), str_of(id));
	if (!change)
		return NULL;
	change->deletes = !json_is_string(body);
	if (!change->deletes && st_text_init(&change->body, str_of(body))) {
		st_change_free(change);
		return NULL;
	}
	return change;
}

uint64_t st_frame_number(const json_t *message, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(message, name));

	return value > 0 ? (uint64_t)value : 0;
}

st_entry_t *st_frame_read_entry(const json_t *message, uint64_t *position)
{
	const json_t *changes = json_object_get(message, "changes");
	st_entry_t *entry;

	*position = st_frame_number(message, "position");
	if (!json_is_array(changes) || !*position)
		return NULL;
	entry = st_entry_create(st_frame_number(message, "term"),
				json_array_size(changes));
	for (size_t i = 0; entry && i < json_array_size(changes); i++) {
		entry->changes[i] = read_change(json_array_get(changes, i));
		if (!entry->changes[i]) {
			st_entry_free(entry);
			return NULL;
		}
		entry->count++;
	}
	return entry;
}
