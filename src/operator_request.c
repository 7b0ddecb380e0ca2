#include "operator_request.h"
#include "store.h"

#include <sys/queue.h>

#include <event2/keyvalq_struct.h>
#include <stdio.h>

#define RESOURCES_PATH "/v1/resources/"
#define WATCH_PATH "/v1/watch"
#define STATUS_PATH "/v1/status"

static kb_result_t fail(kb_fault_t *fault, const char *path,
			const char *message)
{
	snprintf(fault->path, sizeof(fault->path), "%s", path);
	snprintf(fault->message, sizeof(fault->message), "%s", message);
	return KB_ERR_INVALID;
}

static kb_result_t set_verb(kb_operator_request_t *request,
			    enum evhttp_cmd_type method, kb_operator_verb_t get)
{
	int is_resource = get == KB_OPERATOR_GET;

	request->verb = get;
	if (method == EVHTTP_REQ_GET)
		return KB_OK;
	request->verb =
		method == EVHTTP_REQ_PUT ? KB_OPERATOR_PUT : KB_OPERATOR_DELETE;
	if (is_resource &&
	    (method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_DELETE))
		return KB_OK;
	request->allow = is_resource ? "GET, PUT, DELETE" : "GET";
	return KB_ERR_INVALID;
}

static kb_result_t parse_path(kb_operator_request_t *request,
			      const kb_operator_input_t *input)
{
	size_t prefix_len = sizeof(RESOURCES_PATH) - 1;
	kb_str_t path = kb_str_from(input->path);
	kb_str_t kind;
	kb_str_t name;

	if (kb_str_equal(path, KB_STR(WATCH_PATH)))
		return set_verb(request, input->method, KB_OPERATOR_WATCH);
	if (kb_str_equal(path, KB_STR(STATUS_PATH)))
		return set_verb(request, input->method, KB_OPERATOR_STATUS);
	if (path.len < prefix_len ||
	    memcmp(path.data, RESOURCES_PATH, prefix_len) != 0)
		return KB_ERR_NOT_FOUND;
	kind = kb_str_from(path.data + prefix_len);
	name = kb_str_from(strchr(kind.data, '/'));
	kind.len -= name.len;
	if (kb_spec_kind_parse(kind, &request->kind) != KB_OK)
		return KB_ERR_NOT_FOUND;
	if (!name.len)
		return set_verb(request, input->method, KB_OPERATOR_LIST);
	name = kb_str_from(name.data + 1);
	if (!kb_fields_is_name(name))
		return KB_ERR_NOT_FOUND;
	kb_name_set(&request->name, name);
	return set_verb(request, input->method, KB_OPERATOR_GET);
}

static kb_result_t parse_parameter(kb_operator_request_t *request,
				   const char *name, const char *value,
				   kb_fault_t *fault)
{
	uint64_t number;

	if (!strcmp(name, "after") && request->verb == KB_OPERATOR_WATCH) {
		if (kb_str_to_u64(kb_str_from(value), &number) != KB_OK ||
		    number > INT64_MAX)
			return fail(fault, name, "must be a revision");
		request->after = (int64_t)number;
		return KB_OK;
	}
	if (!strcmp(name, "dryRun") && kb_operator_request_writes(request)) {
		request->dry_run = !strcmp(value, "true");
		if (request->dry_run || !strcmp(value, "false"))
			return KB_OK;
		return fail(fault, name, "must be true or false");
	}
	return fail(fault, name, "unknown parameter");
}

static kb_result_t parse_query(kb_operator_request_t *request,
			       const char *query, kb_fault_t *fault)
{
	kb_result_t result = KB_OK;
	struct evkeyvalq parameters;
	struct evkeyval *parameter;

	if (!query || !*query)
		return KB_OK;
	if (evhttp_parse_query_str(query, &parameters))
		return fail(fault, "", "malformed query");
	TAILQ_FOREACH(parameter, &parameters, next)
	{
		result = parse_parameter(request, parameter->key,
					 parameter->value, fault);
		if (result != KB_OK)
			break;
	}
	evhttp_clear_headers(&parameters);
	return result;
}

/* Parses an entity tag: a revision in quotation marks. */
static kb_result_t parse_tag(const char *text, int64_t *revision)
{
	kb_str_t tag = kb_str_from(text);
	uint64_t number;

	if (tag.len < 2 || tag.data[0] != '"' || tag.data[tag.len - 1] != '"')
		return KB_ERR_INVALID;
	tag = (kb_str_t){ tag.data + 1, tag.len - 2 };
	if (kb_str_to_u64(tag, &number) != KB_OK || !number ||
	    number > INT64_MAX)
		return KB_ERR_INVALID;
	*revision = (int64_t)number;
	return KB_OK;
}

static kb_result_t parse_conditions(kb_operator_request_t *request,
				    const kb_operator_input_t *input,
				    kb_fault_t *fault)
{
	if (input->if_match && input->if_none_match)
		return fail(fault, "If-Match", "excludes If-None-Match");
	if (input->if_match &&
	    parse_tag(input->if_match, &request->condition) != KB_OK)
		return fail(fault, "If-Match",
			    "must be a revision in quotation marks");
	if (!input->if_none_match)
		return KB_OK;
	if (request->verb == KB_OPERATOR_DELETE ||
	    strcmp(input->if_none_match, "*") != 0)
		return fail(fault, "If-None-Match", "must be * with PUT");
	request->condition = KB_STORE_ABSENT;
	return KB_OK;
}

kb_result_t kb_operator_request_parse(kb_operator_request_t *request,
				      const kb_operator_input_t *input,
				      kb_fault_t *fault)
{
	kb_str_t key = kb_str_from(input->idempotency_key);
	kb_result_t result;

	memset(request, 0, sizeof(*request));
	memset(fault, 0, sizeof(*fault));
	request->condition = KB_STORE_ANY;
	if ((result = parse_path(request, input)) ||
	    (result = parse_query(request, input->query, fault)))
		return result;
	if (!kb_operator_request_writes(request))
		return KB_OK;
	if (key.len && !kb_fields_is_name(key))
		return fail(fault, "Idempotency-Key",
			    "must be 1 to 63 letters, digits, '.', '_' or '-'");
	kb_name_set(&request->change_id, key);
	return parse_conditions(request, input, fault);
}

int kb_operator_request_writes(const kb_operator_request_t *request)
{
	return request->verb == KB_OPERATOR_PUT ||
	       request->verb == KB_OPERATOR_DELETE;
}

void kb_operator_request_each(kb_operator_path_fn_t *fn, void *ctx)
{
	fn(ctx, WATCH_PATH, "get");
	fn(ctx, STATUS_PATH, "get");
	fn(ctx, RESOURCES_PATH "{kind}", "get");
	fn(ctx, RESOURCES_PATH "{kind}/{name}", "get");
	fn(ctx, RESOURCES_PATH "{kind}/{name}", "put");
	fn(ctx, RESOURCES_PATH "{kind}/{name}", "delete");
}
