#include "commands.h"
#include "show.h"
#include "submit.h"

#include <inttypes.h>
#include <stdio.h>

enum { TAG_BYTES = 32 };

ctl_exit_t ctl_commands_usage_error(const char *usage)
{
	fprintf(stderr, "usage: kumquatctl %s\n", usage);
	return CTL_REFUSED;
}

void ctl_commands_path(char path[CTL_PATH_BYTES], const char *kind,
		       const char *name, const char *query)
{
	snprintf(path, CTL_PATH_BYTES, "/v1/resources/%s%s%s%s", kind,
		 name ? "/" : "", name ? name : "", query);
}

static ctl_exit_t show(ctl_session_t *session, const char *path,
		       void (*table)(const json_t *body))
{
	ctl_request_t request = { .method = EVHTTP_REQ_GET, .path = path };
	ctl_answer_t answer;
	ctl_exit_t status = CTL_OK;

	ctl_session_call(session, &request, &answer);
	if (answer.result != KB_OK || answer.status != HTTP_OK)
		status = ctl_session_report(session, &answer);
	else if (session->options->output == CTL_JSON)
		ctl_show_json(answer.body);
	else
		table(answer.body);
	ctl_session_answer_finish(&answer);
	return status;
}

static void show_list(const json_t *body)
{
	ctl_show_resources(json_object_get(body, "items"));
}

ctl_exit_t ctl_commands_get(ctl_session_t *session)
{
	const ctl_options_t *options = session->options;
	char path[CTL_PATH_BYTES];

	if (options->count < 2)
		return ctl_commands_usage_error("get KIND [NAME]");
	ctl_commands_path(path, options->arguments[1], options->arguments[2],
			  "");
	/* A list is shown as a table, a single resource in full. */
	return show(session, path,
		    options->count == 2 ? show_list : ctl_show_json);
}

ctl_exit_t ctl_commands_status(ctl_session_t *session)
{
	if (session->options->count != 1)
		return ctl_commands_usage_error("status");
	return show(session, "/v1/status", ctl_show_report);
}

ctl_exit_t ctl_commands_delete(ctl_session_t *session)
{
	const ctl_options_t *options = session->options;
	char path[CTL_PATH_BYTES];
	char tag[TAG_BYTES];
	ctl_request_t request = {
		.method = EVHTTP_REQ_DELETE,
		.path = path,
		.if_match = options->revision ? tag : NULL,
	};
	ctl_answer_t answer;
	ctl_exit_t status;

	if (options->count != CTL_MAX_ARGUMENTS)
		return ctl_commands_usage_error("delete KIND NAME");
	ctl_commands_path(path, options->arguments[1], options->arguments[2],
			  options->dry_run ? "?dryRun=true" : "");
	snprintf(tag, sizeof(tag), "\"%" PRIu64 "\"", options->revision);
	status = ctl_submit(session, &request, &answer);
	if (status == CTL_OK)
		printf("%s/%s deleted%s\n", options->arguments[1],
		       options->arguments[2],
		       options->dry_run ? " (dry run)" : "");
	ctl_session_answer_finish(&answer);
	return status;
}
