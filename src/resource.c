#include "resource.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TIME_FORMAT "%Y-%m-%dT%H:%M:%SZ"
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

void kb_resource_key(kb_kind_t kind, kb_str_t name,
		     char key[KB_RESOURCE_KEY_BYTES])
{
	snprintf(key, KB_RESOURCE_KEY_BYTES, KB_RESOURCE_PREFIX "%s/%.*s",
		 kb_spec_kind_name(kind), KB_STR_ARG(name));
}

void kb_resource_deleted_key(kb_kind_t kind, kb_str_t name,
			     char key[KB_RESOURCE_KEY_BYTES])
{
	snprintf(key, KB_RESOURCE_KEY_BYTES,
		 KB_RESOURCE_DELETED_PREFIX "%s/%.*s", kb_spec_kind_name(kind),
		 KB_STR_ARG(name));
}

kb_result_t kb_resource_parse_key(kb_str_t key, kb_kind_t *kind,
				  kb_name_t *name)
{
	static const size_t prefix_len = sizeof(KB_RESOURCE_PREFIX) - 1;
	const char *slash;
	kb_str_t rest;
	kb_str_t first;

	if (key.len <= prefix_len ||
	    memcmp(key.data, KB_RESOURCE_PREFIX, prefix_len) != 0)
		return KB_ERR_INVALID;
	rest = (kb_str_t){ key.data + prefix_len, key.len - prefix_len };
	slash = memchr(rest.data, '/', rest.len);
	if (!slash)
		return KB_ERR_INVALID;
	first = (kb_str_t){ rest.data, (size_t)(slash - rest.data) };
	rest = (kb_str_t){ slash + 1, rest.len - first.len - 1 };
	if (kb_spec_kind_parse(first, kind) != KB_OK ||
	    !kb_fields_is_name(rest))
		return KB_ERR_INVALID;
	return kb_name_set(name, rest);
}

void kb_resource_format_time(kb_time_t at, char text[KB_RESOURCE_TIME_BYTES])
{
	time_t seconds = (time_t)(at / KB_NS_PER_S);
	struct tm utc;

	gmtime_r(&seconds, &utc);
	strftime(text, KB_RESOURCE_TIME_BYTES, TIME_FORMAT, &utc);
}

static kb_result_t parse_time(const kb_fields_t *fields, kb_time_t *at)
{
	struct tm utc = { 0 };
	const char *end;
	kb_str_t text;
	kb_result_t result = kb_fields_string(fields, "at", &text);

	if (result != KB_OK)
		return result;
	end = strptime(text.data, TIME_FORMAT, &utc);
	if (!end || end != text.data + text.len)
		return kb_fields_fail(fields, "at",
				      "must be a time such as "
				      "\"2026-05-02T09:12:00Z\"");
	*at = (kb_time_t)timegm(&utc) * KB_NS_PER_S;
	return KB_OK;
}

static kb_result_t parse_change(const json_t *json, kb_change_record_t *change,
				kb_fault_t *fault)
{
	static const char *const names[] = { "id", "by", "at" };
	kb_fields_t fields;
	kb_result_t result;

	if ((result = kb_fields_init(&fields, json, "change", fault)) ||
	    (result = kb_fields_check_known(&fields, names, COUNT(names))) ||
	    (result = kb_fields_name(&fields, "id", &change->id)) ||
	    (result = kb_fields_name(&fields, "by", &change->by)))
		return result;
	return parse_time(&fields, &change->at);
}

/* Parses a JSON text whose root must be an object with only known fields. */
static kb_result_t parse_root(kb_fields_t *root, json_t **json, kb_str_t text,
			      const char *const *names, size_t count,
			      kb_fault_t *fault)
{
	json_error_t error;
	kb_result_t result;
	/* jansson accepts a NUL byte after a number. */
	int has_nul = text.len && memchr(text.data, 0, text.len);

	memset(fault, 0, sizeof(*fault));
	*json = json_loadb(text.len ? text.data : "", text.len,
			   JSON_REJECT_DUPLICATES, &error);
	result = kb_fields_init(root, *json, "", fault);
	if (has_nul)
		return kb_fields_fail(root, "", "holds a NUL byte");
	if (!*json)
		return kb_fields_fail(root, "", "line %d: %s", error.line,
				      error.text);
	if (result != KB_OK)
		return result;
	return kb_fields_check_known(root, names, count);
}

kb_result_t kb_resource_parse(kb_resource_t *resource, kb_str_t key,
			      kb_str_t value, int64_t revision,
			      kb_fault_t *fault)
{
	static const char *const names[] = { "spec", "change" };
	kb_fields_t root;
	json_t *json;
	kb_result_t result;

	memset(resource, 0, sizeof(*resource));
	if ((result = parse_root(&root, &json, value, names, COUNT(names),
				 fault)))
		goto out;
	resource->revision = revision;
	result = kb_resource_parse_key(key, &resource->kind, &resource->name);
	if (result != KB_OK) {
		kb_fields_fail(&root, "", "the key is not that of a resource");
		goto out;
	}
	result = kb_spec_parse(&resource->spec, resource->kind,
			       kb_name_str(&resource->name),
			       json_object_get(json, "spec"), fault);
	if (result != KB_OK)
		goto out;
	result = parse_change(json_object_get(json, "change"),
			      &resource->change, fault);
out:
	json_decref(json);
	return result;
}

/* Checks that the optional field `name`, if present, equals `expected`. */
static kb_result_t check_repeated(const kb_fields_t *root, const char *name,
				  kb_str_t expected)
{
	kb_str_t text;
	kb_result_t result;

	if (!json_object_get(root->object, name))
		return KB_OK;
	result = kb_fields_string(root, name, &text);
	if (result == KB_OK && !kb_str_equal(text, expected))
		return kb_fields_fail(root, name,
				      "must be \"%.*s\" as in the path",
				      KB_STR_ARG(expected));
	return result;
}

static kb_result_t parse_revision(const kb_fields_t *root, int64_t *revision)
{
	const json_t *json = json_object_get(root->object, "revision");

	if (!json)
		return KB_OK;
	if (!json_is_integer(json) || json_integer_value(json) < 0)
		return kb_fields_fail(root, "revision",
				      "must be a whole number from 0");
	*revision = json_integer_value(json);
	return KB_OK;
}

kb_result_t kb_resource_parse_body(kb_resource_t *resource, kb_kind_t kind,
				   kb_str_t name, kb_str_t body,
				   kb_fault_t *fault)
{
	static const char *const names[] = { "kind", "name",   "revision",
					     "spec", "status", "change" };
	kb_str_t kind_name = kb_str_from(kb_spec_kind_name(kind));
	kb_fields_t root;
	json_t *json;
	kb_result_t result;

	memset(resource, 0, sizeof(*resource));
	resource->kind = kind;
	if ((result = parse_root(&root, &json, body, names, COUNT(names),
				 fault)) ||
	    (result = check_repeated(&root, "kind", kind_name)) ||
	    (result = check_repeated(&root, "name", name)) ||
	    (result = parse_revision(&root, &resource->revision)))
		goto out;
	if (!kb_fields_is_name(name)) {
		result = kb_fields_fail(&root, "name",
					"is not a name for a resource");
		goto out;
	}
	kb_name_set(&resource->name, name);
	result = kb_spec_parse(&resource->spec, kind, name,
			       json_object_get(json, "spec"), fault);
out:
	json_decref(json);
	return result;
}

static json_t *change_to_json(const kb_change_record_t *change)
{
	char at[KB_RESOURCE_TIME_BYTES];

	kb_resource_format_time(change->at, at);
	return json_pack("{s:s,s:s,s:s}", "id", change->id.data, "by",
			 change->by.data, "at", at);
}

static char *dump(json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	return text;
}

char *kb_resource_format(const kb_resource_t *resource)
{
	return dump(json_pack("{s:o,s:o}", "spec",
			      kb_spec_to_json(&resource->spec), "change",
			      change_to_json(&resource->change)));
}

char *kb_resource_format_deleted(const kb_change_record_t *change)
{
	return dump(json_pack("{s:o}", "change", change_to_json(change)));
}

json_t *kb_resource_to_json(const kb_resource_t *resource)
{
	return json_pack("{s:s,s:s,s:I,s:o,s:o}", "kind",
			 kb_spec_kind_name(resource->kind), "name",
			 resource->name.data, "revision",
			 (json_int_t)resource->revision, "spec",
			 kb_spec_to_json(&resource->spec), "change",
			 change_to_json(&resource->change));
}
