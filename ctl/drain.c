#include "commands.h"
#include "submit.h"

#include <inttypes.h>
#include <stdio.h>

enum {
	/* Attempts in case of conflicts with concurrent changes. */
	ATTEMPTS_MAX = 5,
	TAG_BYTES = 32,
	NAME_BYTES = KB_NAME_MAX_BYTES + 1,
};

/* The object to drain: a host, or a target of a group. */
typedef struct ctl_subject {
	/* Kind and name of the resource. */
	const char *kind;
	char name[NAME_BYTES];
	/* Name of the target; NULL for a host. */
	const char *target;
} ctl_subject_t;

/* Returns the JSON object whose state is to be set, or NULL. */
static json_t *find_drain_object(const ctl_subject_t *subject, json_t *spec)
{
	json_t *target;
	size_t i;

	if (!subject->target)
		return spec;
	json_array_foreach(json_object_get(spec, "targets"), i, target)
	{
		const char *name =
			json_string_value(json_object_get(target, "name"));

		if (name && !strcmp(name, subject->target))
			return target;
	}
	return NULL;
}

static ctl_exit_t put(ctl_session_t *session, const ctl_subject_t *subject,
		      json_t *spec, json_int_t revision, ctl_answer_t *answer)
{
	json_t *body = json_pack("{s:O}", "spec", spec);
	char path[CTL_PATH_BYTES];
	char tag[TAG_BYTES];
	ctl_request_t request = {
		.method = EVHTTP_REQ_PUT,
		.path = path,
		.body = body,
		.if_match = revision ? tag : NULL,
		.if_none_match = revision ? NULL : "*",
	};
	ctl_exit_t status;

	ctl_commands_path(path, subject->kind, subject->name, "");
	snprintf(tag, sizeof(tag), "\"%" JSON_INTEGER_FORMAT "\"", revision);
	status = ctl_submit_quiet(session, &request, answer);
	json_decref(body);
	return status;
}

/*
 * Sets the state in the resource that was read and writes it back. Creates the
 * resource of a host that is not declared.
 */
static ctl_exit_t update_state(ctl_session_t *session,
			       const ctl_subject_t *subject,
			       const ctl_answer_t *read, ctl_answer_t *answer)
{
	json_t *spec = json_object_get(read->body, "spec");
	json_int_t revision =
		json_integer_value(json_object_get(read->body, "revision"));
	json_t *created = json_object();
	json_t *object;
	ctl_exit_t status = CTL_REFUSED;

	if (read->status != HTTP_OK) {
		spec = created;
		revision = 0;
	}
	object = find_drain_object(subject, spec);
	if (object) {
		json_object_set_new(object, "state", json_string("leaving"));
		status = put(session, subject, spec, revision, answer);
	} else {
		fprintf(stderr, "group %s has no target %s\n", subject->name,
			subject->target);
	}
	json_decref(created);
	return status;
}

static ctl_exit_t drain_once(ctl_session_t *session,
			     const ctl_subject_t *subject, ctl_answer_t *answer)
{
	char path[CTL_PATH_BYTES];
	ctl_request_t request = { .method = EVHTTP_REQ_GET, .path = path };
	ctl_answer_t read;
	ctl_exit_t status;
	int is_absent_host;

	ctl_commands_path(path, subject->kind, subject->name, "");
	ctl_session_call(session, &request, &read);
	is_absent_host = !subject->target && read.status == HTTP_NOTFOUND;
	if (read.result == KB_OK && (read.status == HTTP_OK || is_absent_host))
		status = update_state(session, subject, &read, answer);
	else
		status = ctl_session_report(session, &read);
	ctl_session_answer_finish(&read);
	return status;
}

static ctl_exit_t parse_subject(const ctl_options_t *options,
				ctl_subject_t *subject)
{
	static const char usage[] = "drain host NAME | drain target GROUP/NAME";
	const char *what;
	const char *name;
	const char *slash;
	size_t len;

	if (options->count != CTL_MAX_ARGUMENTS) {
		ctl_commands_usage_error(usage);
		return CTL_REFUSED;
	}
	what = options->arguments[1];
	name = options->arguments[2];
	slash = strchr(name, '/');
	len = slash ? (size_t)(slash - name) : strlen(name);
	subject->kind = slash ? "group" : "host";
	subject->target = slash ? slash + 1 : NULL;
	if (strcmp(what, slash ? "target" : "host") != 0 || !len ||
	    len >= sizeof(subject->name)) {
		ctl_commands_usage_error(usage);
		return CTL_REFUSED;
	}
	memcpy(subject->name, name, len);
	subject->name[len] = 0;
	return CTL_OK;
}

ctl_exit_t ctl_drain(ctl_session_t *session)
{
	const ctl_options_t *options = session->options;
	ctl_answer_t answer = { 0 };
	ctl_subject_t subject;
	ctl_exit_t status = parse_subject(options, &subject);

	if (status != CTL_OK)
		return status;
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		ctl_session_answer_finish(&answer);
		status = drain_once(session, &subject, &answer);
		if (status != CTL_CONFLICT)
			break;
	}
	if (status == CTL_CONFLICT)
		ctl_session_report(session, &answer);
	if (status == CTL_OK)
		printf("%s %s is leaving\n", options->arguments[1],
		       options->arguments[2]);
	fflush(stdout);
	if (status == CTL_OK && options->wait)
		status = ctl_submit_wait(session, answer.body);
	ctl_session_answer_finish(&answer);
	return status;
}
