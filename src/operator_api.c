#include "operator_api.h"
#include "http_reply.h"
#include "http_server.h"
#include "log.h"
#include "operator_json.h"
#include "operator_submission.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>

enum {
	/* A longer body is answered with a problem document; one longer than
	 * SERVER_BODY_MAX_BYTES is refused by the HTTP server. */
	BODY_MAX_BYTES = KB_RESOURCE_VALUE_MAX_BYTES,
	SERVER_BODY_MAX_BYTES = 1 << 20,
	HEADERS_MAX_BYTES = 16 << 10,
	IDLE_TIMEOUT_S = 60,
	CHANGE_ID_BYTES = 16,
	TAG_BYTES = 32,
};

static void refuse(struct evhttp_request *http, kb_result_t result,
		   const char *detail)
{
	kb_problem_t problem = { .result = result, .detail = detail };

	kb_http_reply_problem(http, &problem);
}

static void refuse_field(struct evhttp_request *http, const kb_fault_t *fault)
{
	char detail[KB_FIELDS_PATH_BYTES + KB_FIELDS_MESSAGE_BYTES + 2];
	kb_problem_t problem = {
		.result = KB_ERR_INVALID,
		.detail = detail,
		.field = fault->path,
	};

	snprintf(detail, sizeof(detail), "%s%s%s", fault->path,
		 *fault->path ? ": " : "", fault->message);
	kb_http_reply_problem(http, &problem);
}

static void refuse_method(struct evhttp_request *http, const char *allow)
{
	kb_problem_t problem = {
		.result = KB_ERR_INVALID,
		.status = HTTP_BADMETHOD,
		.detail = "the path does not have this method",
	};

	evhttp_add_header(evhttp_request_get_output_headers(http), "Allow",
			  allow);
	kb_http_reply_problem(http, &problem);
}

static void reply_resource(kb_operator_api_t *api, struct evhttp_request *http,
			   const kb_resource_t *resource)
{
	char tag[TAG_BYTES];

	snprintf(tag, sizeof(tag), "\"%" PRId64 "\"", resource->revision);
	evhttp_add_header(evhttp_request_get_output_headers(http), "ETag", tag);
	kb_http_reply_json(
		http, HTTP_OK,
		kb_operator_json_resource(api->settings.view, resource));
}

static const kb_resource_t *find(const kb_operator_api_t *api,
				 const kb_operator_request_t *request)
{
	kb_config_view_t *view = api->settings.view;

	return view->ops->find(view, request->kind,
			       kb_name_str(&request->name));
}

static void handle_get(kb_operator_api_t *api, struct evhttp_request *http,
		       const kb_operator_request_t *request)
{
	const kb_resource_t *resource = find(api, request);

	if (resource)
		reply_resource(api, http, resource);
	else
		refuse(http, KB_ERR_NOT_FOUND, NULL);
}

static kb_str_t body_of(struct evhttp_request *http)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(http);
	kb_str_t body = { "", evbuffer_get_length(input) };

	if (body.len)
		body.data = (const char *)evbuffer_pullup(input, -1);
	return body;
}

static void set_change(const kb_operator_api_t *api,
		       const kb_operator_request_t *request,
		       const kb_account_t *identity, kb_change_record_t *change)
{
	unsigned char random[CHANGE_ID_BYTES];
	kb_time_t now = kb_clock_wall(api->settings.clock);

	change->by = identity->name;
	change->at = now - now % KB_NS_PER_S;
	change->id = request->change_id;
	if (change->id.len)
		return;
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(change->id.data, sizeof(change->id.data), random,
		       sizeof(random));
	change->id.len = 2 * CHANGE_ID_BYTES;
}

/* Checks the condition against the revision in force on this host. */
static void dry_run(kb_operator_api_t *api, struct evhttp_request *http,
		    const kb_operator_request_t *request,
		    kb_resource_t *resource)
{
	const kb_resource_t *current = find(api, request);
	int64_t revision = current ? current->revision : KB_STORE_ABSENT;

	resource->revision = revision;
	if (request->condition != KB_STORE_ANY &&
	    request->condition != revision)
		kb_operator_submission_conflict(api, http, 1, current);
	else if (request->verb == KB_OPERATOR_DELETE && !current)
		refuse(http, KB_ERR_NOT_FOUND, NULL);
	else
		kb_http_reply_json(http, HTTP_OK,
				   json_pack("{s:b,s:o}", "dryRun", 1,
					     "resource",
					     kb_resource_to_json(resource)));
}

static void handle_change(kb_operator_api_t *api, struct evhttp_request *http,
			  kb_operator_request_t *request,
			  const kb_account_t *identity)
{
	kb_str_t name = kb_name_str(&request->name);
	const kb_resource_t *current = find(api, request);
	kb_resource_t resource = { .kind = request->kind };
	kb_fault_t fault;
	kb_result_t result;

	kb_name_set(&resource.name, name);
	if (request->verb == KB_OPERATOR_DELETE) {
		/* The answer to a dry run shows what would be deleted. */
		if (current)
			resource = *current;
	} else if (kb_resource_parse_body(&resource, request->kind, name,
					  body_of(http), &fault) != KB_OK ||
		   (current &&
		    kb_spec_check_change(&current->spec, &resource.spec,
					 &fault) != KB_OK)) {
		refuse_field(http, &fault);
		return;
	}
	/* A revision in the body is a condition unless a header gives one. */
	if (request->verb == KB_OPERATOR_PUT && resource.revision > 0 &&
	    request->condition == KB_STORE_ANY)
		request->condition = resource.revision;
	set_change(api, request, identity, &resource.change);
	if (request->dry_run) {
		dry_run(api, http, request, &resource);
		return;
	}
	result = kb_operator_submission_new(api, http, request, &resource);
	if (result != KB_OK)
		refuse(http, result, "the change was not made");
}

static void handle(kb_operator_api_t *api, struct evhttp_request *http,
		   kb_operator_request_t *request, const kb_account_t *identity)
{
	kb_config_view_t *view = api->settings.view;
	kb_result_t result;

	switch (request->verb) {
	case KB_OPERATOR_LIST:
		kb_http_reply_json(http, HTTP_OK,
				   kb_operator_json_list(view, request->kind));
		break;
	case KB_OPERATOR_GET:
		handle_get(api, http, request);
		break;
	case KB_OPERATOR_PUT:
	case KB_OPERATOR_DELETE:
		handle_change(api, http, request, identity);
		break;
	case KB_OPERATOR_WATCH:
		result = kb_operator_watch_open(&api->watch, http,
						request->after);
		if (result != KB_OK)
			refuse(http, result, "too many watches");
		break;
	case KB_OPERATOR_STATUS:
		kb_http_reply_json(http, HTTP_OK, view->ops->report(view));
		break;
	}
}

/* Identifies the operator, or answers and returns NULL. */
static const kb_account_t *identify(const kb_operator_api_t *api,
				    struct evhttp_request *http)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(http);
	const kb_account_t *identity =
		kb_accounts_find(api->settings.accounts,
				 evhttp_find_header(headers, "Authorization"));

	if (identity)
		return identity;
	kb_log(KB_EVENT_OPERATOR_REFUSED, "reason=unauthenticated");
	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "WWW-Authenticate", "Bearer");
	refuse(http, KB_ERR_UNAUTHENTICATED, NULL);
	return NULL;
}

static kb_result_t parse(kb_operator_request_t *request,
			 struct evhttp_request *http, kb_fault_t *fault)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(http);
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(http);
	const char *path = evhttp_uri_get_path(uri);
	kb_operator_input_t input = {
		.method = evhttp_request_get_command(http),
		.path = path ? path : "",
		.query = evhttp_uri_get_query(uri),
		.if_match = evhttp_find_header(headers, "If-Match"),
		.if_none_match = evhttp_find_header(headers, "If-None-Match"),
		.idempotency_key =
			evhttp_find_header(headers, "Idempotency-Key"),
	};

	return kb_operator_request_parse(request, &input, fault);
}

static void on_request(struct evhttp_request *http, void *ctx)
{
	kb_operator_api_t *api = ctx;
	const kb_account_t *identity = identify(api, http);
	kb_operator_request_t request;
	kb_fault_t fault;
	kb_result_t result;

	if (!identity)
		return;
	result = parse(&request, http, &fault);
	if (result == KB_ERR_NOT_FOUND) {
		refuse(http, result, "unknown path, kind or name");
	} else if (request.allow) {
		refuse_method(http, request.allow);
	} else if (result != KB_OK) {
		refuse_field(http, &fault);
	} else if (kb_operator_request_writes(&request) &&
		   identity->role != KB_ACCOUNT_WRITE) {
		kb_log(KB_EVENT_OPERATOR_REFUSED, "reason=forbidden by=%s",
		       identity->name.data);
		refuse(http, KB_ERR_FORBIDDEN, "the token may only read");
	} else if (body_of(http).len > BODY_MAX_BYTES) {
		refuse(http, KB_ERR_TOO_LARGE, "a resource has at most 64 KiB");
	} else {
		handle(api, http, &request, identity);
	}
}

static kb_result_t listen_at_address(kb_operator_api_t *api)
{
	kb_name_t address;

	if (kb_name_set(&address, api->settings.address) != KB_OK)
		return KB_ERR_IO;
	api->port = api->settings.port;
	return kb_http_server_listen(api->http, address.data, &api->port, NULL);
}

kb_result_t kb_operator_api_init(kb_operator_api_t *api,
				 const kb_operator_api_settings_t *settings)
{
	kb_result_t result = KB_ERR_NO_MEMORY;

	memset(api, 0, sizeof(*api));
	api->settings = *settings;
	api->http = kb_http_server_new(settings->base);
	if (!api->http)
		return result;
	evhttp_set_max_body_size(api->http, SERVER_BODY_MAX_BYTES);
	evhttp_set_max_headers_size(api->http, HEADERS_MAX_BYTES);
	evhttp_set_timeout(api->http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(api->http, on_request, api);
	result = listen_at_address(api);
	if (result != KB_OK)
		goto fail;
	result = kb_operator_watch_init(&api->watch, settings->base,
					settings->view);
	if (result != KB_OK)
		goto fail;
	return KB_OK;
fail:
	evhttp_free(api->http);
	api->http = NULL;
	return result;
}

void kb_operator_api_finish(kb_operator_api_t *api)
{
	if (!api->http)
		return;
	while (api->submissions)
		kb_operator_submission_free(api->submissions);
	kb_operator_watch_finish(&api->watch);
	evhttp_free(api->http);
	memset(api, 0, sizeof(*api));
}
