#include "call.h"

#include <stdlib.h>

#define TRANSACTION_SEPARATOR '~'

static const char *const body_fields[] = { "sql", "params", "read", "class" };

kb_result_t kb_call_set(char **field, kb_str_t value)
{
	char *copy = malloc(value.len + 1);

	if (!copy)
		return KB_ERR_NO_MEMORY;
	if (value.len)
		memcpy(copy, value.data, value.len);
	copy[value.len] = 0;
	free(*field);
	*field = copy;
	return KB_OK;
}

kb_result_t kb_call_init(kb_call_t *call)
{
	char **strings[] = { &call->args.caller,	&call->args.group,
			     &call->args.target,	&call->args.key,
			     &call->args.traffic_class, &call->args.transaction,
			     &call->args.traceparent };

	memset(call, 0, sizeof(*call));
	for (size_t i = 0; i < sizeof(strings) / sizeof(strings[0]); i++) {
		if (kb_call_set(strings[i], KB_STR(""))) {
			kb_call_finish(call);
			return KB_ERR_NO_MEMORY;
		}
	}
	return KB_OK;
}

void kb_call_finish(kb_call_t *call)
{
	xdr_free((xdrproc_t)xdr_kbx_execute_args, (char *)&call->args);
	memset(&call->args, 0, sizeof(call->args));
}

static kb_result_t set_param(kbx_param *param, json_t *value,
			     const kb_fields_t *fields)
{
	kb_str_t text = { json_string_value(value), json_string_length(value) };

	if (json_is_null(value)) {
		param->is_null = 1;
		return kb_call_set(&param->text, KB_STR(""));
	}
	if (!json_is_string(value) || memchr(text.data, 0, text.len))
		return kb_fields_fail(fields, "params",
				      "must hold strings without NUL or null");
	if (text.len > KBX_TEXT_MAX)
		return kb_fields_fail(fields, "params",
				      "must hold at most %d bytes each",
				      KBX_TEXT_MAX);
	return kb_call_set(&param->text, text);
}

static kb_result_t set_params(kbx_statement *statement, json_t *params,
			      const kb_fields_t *fields)
{
	size_t count = json_array_size(params);
	kb_result_t result;

	if (params && !json_is_array(params))
		return kb_fields_fail(fields, "params", "must be an array");
	if (count > KBX_ITEMS_MAX)
		return kb_fields_fail(fields, "params",
				      "must have at most %d items",
				      KBX_ITEMS_MAX);
	if (!count)
		return KB_OK;
	statement->params.params_val = calloc(count, sizeof(kbx_param));
	if (!statement->params.params_val)
		return KB_ERR_NO_MEMORY;
	statement->params.params_len = (u_int)count;
	/* After a failure, kb_call_finish() frees the parameters set so far. */
	for (size_t i = 0; i < count; i++) {
		result = set_param(&statement->params.params_val[i],
				   json_array_get(params, i), fields);
		if (result)
			return result;
	}
	return KB_OK;
}

static kb_result_t set_statement(kb_call_t *call, const json_t *body,
				 const kb_fields_t *fields)
{
	kbx_statement *statement = calloc(1, sizeof(*statement));
	kb_result_t result;
	kb_str_t sql;

	if (!statement)
		return KB_ERR_NO_MEMORY;
	call->args.statements.statements_val = statement;
	call->args.statements.statements_len = 1;
	result = kb_fields_string(fields, "sql", &sql);
	if (result)
		return result;
	if (!sql.len || sql.len > KBX_TEXT_MAX || memchr(sql.data, 0, sql.len))
		return kb_fields_fail(fields, "sql",
				      "must have 1 to %d bytes and no NUL",
				      KBX_TEXT_MAX);
	result = kb_call_set(&statement->sql, sql);
	if (result)
		return result;
	return set_params(statement, json_object_get(body, "params"), fields);
}

static kb_result_t set_read_kind(kb_call_t *call, const json_t *body,
				 const kb_catalog_t *catalog,
				 const kb_fields_t *fields)
{
	const kb_traffic_class_t *traffic_class;
	const kb_read_kind_t *kind;
	kb_result_t result;
	kb_str_t name;

	if (!json_object_get(body, "read"))
		return KB_OK;
	if (call->args.action != KBX_ACTION_WRITE)
		return kb_fields_fail(fields, "read",
				      "has no place in a transaction");
	result = kb_fields_string(fields, "read", &name);
	if (result)
		return result;
	kind = kb_catalog_read_kind(catalog, name);
	if (!kind)
		return kb_fields_fail(fields, "read", "is no read kind");
	traffic_class = kb_catalog_traffic_class(
		catalog, kb_name_str(&kind->traffic_class));
	call->bulk = traffic_class && traffic_class->bulk;
	call->read_kind = *kind;
	call->args.action = KBX_ACTION_READ;
	call->args.max_age_us = kind->max_age / KB_NS_PER_US;
	return kb_call_set(&call->args.traffic_class,
			   kb_name_str(&kind->traffic_class));
}

static kb_result_t set_class(kb_call_t *call, const json_t *body,
			     const kb_catalog_t *catalog,
			     const kb_fields_t *fields)
{
	const kb_traffic_class_t *found;
	kb_result_t result;
	kb_str_t name;

	if (!json_object_get(body, "class"))
		return KB_OK;
	result = kb_fields_string(fields, "class", &name);
	if (result)
		return result;
	found = kb_catalog_traffic_class(catalog, name);
	if (!found)
		return kb_fields_fail(fields, "class", "is no traffic class");
	call->bulk = found->bulk;
	return kb_call_set(&call->args.traffic_class, name);
}

kb_result_t kb_call_parse_body(kb_call_t *call, kb_str_t body,
			       const kb_catalog_t *catalog, kb_fault_t *fault)
{
	json_t *json =
		json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES, NULL);
	kb_fields_t fields;
	kb_result_t result;

	result = kb_fields_init(&fields, json, "", fault);
	if (!result)
		result = kb_fields_check_known(&fields, body_fields,
					       sizeof(body_fields) /
						       sizeof(body_fields[0]));
	if (!result)
		result = set_statement(call, json, &fields);
	if (!result)
		result = set_read_kind(call, json, catalog, &fields);
	if (!result)
		result = set_class(call, json, catalog, &fields);
	json_decref(json);
	return result;
}

void kb_call_fail(kb_call_t *call, kb_result_t result, const char *detail)
{
	kbx_execute_res res;

	memset(&res, 0, sizeof(res));
	res.result = result;
	res.message = (char *)detail;
	res.transaction = "";
	call->done(call, &res);
}

kb_result_t kb_call_parse_transaction(kb_call_t *call, kb_str_t text)
{
	const char *first, *second, *end = text.data + text.len;
	kb_str_t host, target, id;

	first = memchr(text.data, TRANSACTION_SEPARATOR, text.len);
	if (!first)
		return KB_ERR_INVALID;
	second = memchr(first + 1, TRANSACTION_SEPARATOR,
			(size_t)(end - first - 1));
	if (!second)
		return KB_ERR_INVALID;
	host = (kb_str_t){ text.data, (size_t)(first - text.data) };
	target = (kb_str_t){ first + 1, (size_t)(second - first - 1) };
	id = (kb_str_t){ second + 1, (size_t)(end - second - 1) };
	if (!host.len || !target.len || !id.len ||
	    target.len > KB_NAME_MAX_BYTES || id.len > KB_NAME_MAX_BYTES)
		return KB_ERR_INVALID;
	if (kb_name_set(&call->gate_host, host))
		return KB_ERR_INVALID;
	if (kb_call_set(&call->args.target, target) ||
	    kb_call_set(&call->args.transaction, id))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}
