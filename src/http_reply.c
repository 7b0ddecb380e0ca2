#include "http_reply.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

static void reply(struct evhttp_request *http, int status,
		  const char *media_type, char *text)
{
	struct evbuffer *buffer = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", media_type);
	if (buffer && text)
		evbuffer_add(buffer, text, strlen(text));
	evhttp_send_reply(http, buffer && text ? status : HTTP_INTERNAL, NULL,
			  buffer);
	if (buffer)
		evbuffer_free(buffer);
	free(text);
}

void kb_http_reply_json(struct evhttp_request *http, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	json_decref(body);
	reply(http, status, "application/json", text);
}

void kb_http_reply_problem(struct evhttp_request *http,
			   const kb_problem_t *problem)
{
	int status;
	char *text = kb_problem_format(problem, &status);

	reply(http, status, KB_PROBLEM_MEDIA_TYPE, text);
}
