#include "fields.h"
#include "duration.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>

/* Joins two parts of a path; a path that is too long is truncated. */
static void join_path(char path[KB_FIELDS_PATH_BYTES], const char *parent,
		      const char *name)
{
	size_t len = 0;
	const char *parts[] = { parent, *parent && *name ? "." : "", name };

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		for (const char *c = parts[i]; *c; c++)
			if (len < KB_FIELDS_PATH_BYTES - 1)
				path[len++] = *c;
	path[len] = 0;
}

kb_result_t kb_fields_fail(const kb_fields_t *fields, const char *name,
			   const char *format, ...)
{
	va_list args;

	join_path(fields->fault->path, fields->path, name);
	va_start(args, format);
	vsnprintf(fields->fault->message, sizeof(fields->fault->message),
		  format, args);
	va_end(args);
	return KB_ERR_INVALID;
}

kb_result_t kb_fields_init(kb_fields_t *fields, const json_t *object,
			   const char *path, kb_fault_t *fault)
{
	fields->object = object;
	fields->fault = fault;
	join_path(fields->path, path, "");
	if (!json_is_object(object))
		return kb_fields_fail(fields, "", "must be an object");
	return KB_OK;
}

kb_result_t kb_fields_item(kb_fields_t *item, const kb_fields_t *fields,
			   const char *name, size_t index)
{
	const json_t *array = json_object_get(fields->object, name);
	char element[KB_FIELDS_PATH_BYTES];
	char path[KB_FIELDS_PATH_BYTES];

	snprintf(element, sizeof(element), "%s[%zu]", name, index);
	join_path(path, fields->path, element);
	return kb_fields_init(item, json_array_get(array, index), path,
			      fields->fault);
}

kb_result_t kb_fields_check_known(const kb_fields_t *fields,
				  const char *const *names, size_t count)
{
	json_t *object = (json_t *)fields->object;
	const char *name;
	json_t *value;
	size_t i;

	json_object_foreach(object, name, value)
	{
		for (i = 0; i < count; i++)
			if (!strcmp(name, names[i]))
				break;
		if (i == count)
			return kb_fields_fail(fields, name, "unknown field");
	}
	return KB_OK;
}

static kb_result_t get_field(const kb_fields_t *fields, const char *name,
			     const json_t **value)
{
	*value = json_object_get(fields->object, name);
	if (*value)
		return KB_OK;
	kb_fields_fail(fields, name, "is required");
	return KB_ERR_INVALID;
}

kb_result_t kb_fields_string(const kb_fields_t *fields, const char *name,
			     kb_str_t *value)
{
	const json_t *field;
	kb_result_t result = get_field(fields, name, &field);

	if (result != KB_OK)
		return result;
	if (!json_is_string(field)) {
		kb_fields_fail(fields, name, "must be a string");
		return KB_ERR_INVALID;
	}
	value->data = json_string_value(field);
	value->len = json_string_length(field);
	return KB_OK;
}

int kb_fields_is_name(kb_str_t text)
{
	if (!text.len || text.len > KB_NAME_MAX_BYTES || text.data[0] == '.')
		return 0;
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];

		if (c > 127 ||
		    (!isalnum(c) && c != '.' && c != '_' && c != '-'))
			return 0;
	}
	return 1;
}

kb_result_t kb_fields_name(const kb_fields_t *fields, const char *name,
			   kb_name_t *value)
{
	kb_str_t text;
	kb_result_t result = kb_fields_string(fields, name, &text);

	if (result != KB_OK)
		return result;
	if (!kb_fields_is_name(text))
		return kb_fields_fail(fields, name,
				      "must be 1 to %d letters, digits, '.', "
				      "'_' or '-', not beginning with '.'",
				      KB_NAME_MAX_BYTES);
	return kb_name_set(value, text);
}

kb_result_t kb_fields_address(const kb_fields_t *fields, const char *name,
			      kb_name_t *value)
{
	struct in6_addr address;
	kb_str_t text;
	kb_result_t result = kb_fields_string(fields, name, &text);

	if (result != KB_OK)
		return result;
	if (kb_name_set(value, text) != KB_OK ||
	    (inet_pton(AF_INET, value->data, &address) != 1 &&
	     inet_pton(AF_INET6, value->data, &address) != 1))
		return kb_fields_fail(fields, name, "must be an IP number");
	return KB_OK;
}

kb_result_t kb_fields_number(const kb_fields_t *fields, const char *name,
			     unsigned min, unsigned max, unsigned *value)
{
	const json_t *field;
	kb_result_t result = get_field(fields, name, &field);

	if (result != KB_OK)
		return result;
	if (!json_is_integer(field) || json_integer_value(field) < min ||
	    json_integer_value(field) > max)
		return kb_fields_fail(fields, name, "must be %u to %u", min,
				      max);
	*value = (unsigned)json_integer_value(field);
	return KB_OK;
}

kb_result_t kb_fields_duration(const kb_fields_t *fields, const char *name,
			       kb_time_t min, kb_time_t max, kb_time_t *value)
{
	char low[KB_DURATION_TEXT_BYTES];
	char high[KB_DURATION_TEXT_BYTES];
	kb_str_t text;
	kb_result_t result = kb_fields_string(fields, name, &text);

	if (result != KB_OK)
		return result;
	if (kb_duration_parse(text, value) != KB_OK)
		return kb_fields_fail(fields, name,
				      "must be a duration such as \"250ms\", "
				      "\"2s\" or \"1m\"");
	if (*value >= min && *value <= max)
		return KB_OK;
	kb_duration_format(min, low);
	kb_duration_format(max, high);
	return kb_fields_fail(fields, name, "must be %s to %s", low, high);
}

kb_result_t kb_fields_bool(const kb_fields_t *fields, const char *name,
			   int *value)
{
	const json_t *field = json_object_get(fields->object, name);

	if (field && !json_is_boolean(field))
		return kb_fields_fail(fields, name, "must be true or false");
	*value = json_is_true(field);
	return KB_OK;
}

kb_result_t kb_fields_array(const kb_fields_t *fields, const char *name,
			    size_t min, size_t max, size_t *count)
{
	const json_t *field;
	kb_result_t result = get_field(fields, name, &field);

	if (result != KB_OK)
		return result;
	*count = json_array_size(field);
	if (!json_is_array(field) || *count < min || *count > max)
		return kb_fields_fail(fields, name,
				      "must be an array of %zu to %zu elements",
				      min, max);
	return KB_OK;
}
