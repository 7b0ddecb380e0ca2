#include "commands.h"
#include "show.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define RETRY_DELAY KB_NS_PER_S

enum { HTTP_CLIENT_ERROR_MIN = 400 };

/* A watch that is resumed when its stream ends. */
typedef struct ctl_watch {
	const ctl_options_t *options;
	struct evbuffer *input;
	/* Revision up to which the changes were received. */
	json_int_t after;
	int status;
} ctl_watch_t;

static int text_equals(const json_t *object, const char *name,
		       const char *wanted)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text && !strcmp(text, wanted);
}

/* Returns non-zero if the event matches the command line. */
static int matches_filter(const ctl_options_t *options, const json_t *event)
{
	const json_t *resource = json_object_get(event, "resource");
	const json_t *subject = resource ? resource : event;

	if (text_equals(event, "type", "bookmark") ||
	    text_equals(event, "type", "reset"))
		return 0;
	if (options->count > 1 &&
	    !text_equals(subject, "kind", options->arguments[1]))
		return 0;
	return options->count < CTL_MAX_ARGUMENTS ||
	       text_equals(subject, "name", options->arguments[2]);
}

static void show_line(ctl_watch_t *watch, const char *line)
{
	json_t *event = json_loads(line, 0, NULL);
	json_int_t revision =
		json_integer_value(json_object_get(event, "revision"));

	/* The state sent after a reset is complete only at the bookmark. */
	if (text_equals(event, "type", "bookmark") ||
	    (watch->after && revision > watch->after))
		watch->after = revision;
	if (text_equals(event, "type", "reset"))
		watch->after = 0;
	if (event && matches_filter(watch->options, event)) {
		if (watch->options->output == CTL_JSON) {
			puts(line);
			fflush(stdout);
		} else {
			ctl_show_event(event);
		}
	}
	json_decref(event);
}

static void on_part(void *ctx, int status, kb_str_t data)
{
	ctl_watch_t *watch = ctx;
	char *line;

	watch->status = status;
	if (status != HTTP_OK ||
	    evbuffer_add(watch->input, data.data, data.len))
		return;
	while ((line = evbuffer_readln(watch->input, NULL, EVBUFFER_EOL_LF))) {
		show_line(watch, line);
		free(line);
	}
}

static void watch_once(ctl_session_t *session, ctl_watch_t *watch,
		       kb_http_answer_t *answer)
{
	char path[CTL_PATH_BYTES];

	snprintf(path, sizeof(path), "/v1/watch?after=%" JSON_INTEGER_FORMAT,
		 watch->after);
	watch->status = 0;
	evbuffer_drain(watch->input, evbuffer_get_length(watch->input));
	ctl_session_stream(session, path, on_part, watch, answer);
}

ctl_exit_t ctl_watch(ctl_session_t *session)
{
	ctl_watch_t watch = {
		.options = session->options,
		.input = evbuffer_new(),
		.after = (json_int_t)session->options->revision,
	};
	kb_http_answer_t answer;

	if (!watch.input)
		return CTL_REFUSED;
	for (;;) {
		watch_once(session, &watch, &answer);
		if (answer.status >= HTTP_CLIENT_ERROR_MIN &&
		    answer.status < HTTP_INTERNAL)
			break;
		fprintf(stderr, "stream ended; resuming after revision %lld\n",
			(long long)watch.after);
		ctl_session_sleep(session, RETRY_DELAY);
	}
	fprintf(stderr, "refused with HTTP status %d\n", answer.status);
	evbuffer_free(watch.input);
	return CTL_REFUSED;
}
