#include "commands.h"
#include "show.h"
#include "submit.h"

#include <stdio.h>

static json_t *load(const char *path)
{
	json_error_t error;
	json_t *json =
		strcmp(path, "-") != 0
			? json_load_file(path, JSON_REJECT_DUPLICATES, &error)
			: json_loadf(stdin, JSON_REJECT_DUPLICATES, &error);

	if (!json)
		fprintf(stderr, "%s:%d:%d: %s\n", path, error.line,
			error.column, error.text);
	return json;
}

static ctl_exit_t apply_one(ctl_session_t *session, const json_t *resource)
{
	const ctl_options_t *options = session->options;
	const char *kind = json_string_value(json_object_get(resource, "kind"));
	const char *name = json_string_value(json_object_get(resource, "name"));
	char path[CTL_PATH_BYTES];
	ctl_request_t request = {
		.method = EVHTTP_REQ_PUT,
		.path = path,
		.body = resource,
	};
	ctl_answer_t answer;
	ctl_exit_t status;

	if (!kind || !name) {
		fprintf(stderr, "a resource needs \"kind\" and \"name\"\n");
		return CTL_REFUSED;
	}
	ctl_commands_path(path, kind, name,
			  options->dry_run ? "?dryRun=true" : "");
	status = ctl_submit(session, &request, &answer);
	if (status != CTL_OK)
		fprintf(stderr, "%s/%s was not applied\n", kind, name);
	else if (options->output == CTL_JSON)
		ctl_show_json(answer.body);
	else if (options->dry_run)
		printf("%s/%s is valid\n", kind, name);
	else
		printf("%s/%s accepted at revision %lld\n", kind, name,
		       (long long)json_integer_value(
			       json_object_get(answer.body, "revision")));
	fflush(stdout);
	if (status == CTL_OK && options->wait && !options->dry_run)
		status = ctl_submit_wait(session, answer.body);
	ctl_session_answer_finish(&answer);
	return status;
}

ctl_exit_t ctl_apply(ctl_session_t *session)
{
	const ctl_options_t *options = session->options;
	ctl_exit_t status = CTL_OK;
	json_t *resource;
	json_t *json;
	size_t i;

	if (!options->file || options->count != 1)
		return ctl_commands_usage_error("apply -f FILE");
	json = load(options->file);
	if (!json)
		return CTL_REFUSED;
	if (!json_is_array(json))
		status = apply_one(session, json);
	/* Stops at the first failure: others may depend on that one. */
	json_array_foreach(json, i, resource)
	{
		status = apply_one(session, resource);
		if (status != CTL_OK)
			break;
	}
	json_decref(json);
	return status;
}
