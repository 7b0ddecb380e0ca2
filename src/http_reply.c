#include "http_reply.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

void kb_http_reply_text(struct evhttp_request *http, int status,
			const char *media_type, kb_str_t text)
{
	struct evbuffer *buffer = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", media_type);
	if (!buffer || evbuffer_add(buffer, text.data, text.len))
		status = HTTP_INTERNAL;
	evhttp_send_reply(http, status, NULL, buffer);
	if (buffer)
		evbuffer_free(buffer);
}

/* Sends and frees `text`; NULL means out of memory and sends status 500. */
static void reply(struct evhttp_request *http, int status,
		  const char *media_type, char *text)
{
	kb_http_reply_text(http, text ? status : HTTP_INTERNAL, media_type,
			   kb_str_from(text));
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
