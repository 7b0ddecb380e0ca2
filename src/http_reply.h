#ifndef KB_HTTP_REPLY_H
#define KB_HTTP_REPLY_H

#include "problem.h"

#include <event2/http.h>

KB_BEGIN_DECLS

/* Sends `text` unchanged as the response body. */
void kb_http_reply_text(struct evhttp_request *http, int status,
			const char *media_type, kb_str_t text);

/* Sends `body` and releases it; NULL (out of memory) sends status 500. */
void kb_http_reply_json(struct evhttp_request *http, int status, json_t *body);

/* Sends problem details (RFC 9457). */
void kb_http_reply_problem(struct evhttp_request *http,
			   const kb_problem_t *problem);

KB_END_DECLS

#endif
