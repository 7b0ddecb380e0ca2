#ifndef KB_OPERATOR_WATCH_H
#define KB_OPERATOR_WATCH_H

#include "config_view.h"

#include <event2/event.h>
#include <event2/http.h>

KB_BEGIN_DECLS

typedef struct kb_operator_stream kb_operator_stream_t;

/* The watch streams of the operator interface. */
typedef struct kb_operator_watch {
	kb_config_listener_t listener;
	kb_config_view_t *view;
	/* Sends bookmarks, which also show clients that a stream is alive. */
	struct event *timer;
	kb_operator_stream_t *first;
	size_t count;
} kb_operator_watch_t;

/* Registers with `view`. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t kb_operator_watch_init(kb_operator_watch_t *watch,
				   struct event_base *base,
				   kb_config_view_t *view);

/* Ends all streams. */
void kb_operator_watch_finish(kb_operator_watch_t *watch);

/*
 * Answers `http` with a stream of the changes after revision `after` and of
 * all later ones. Returns KB_ERR_OVERLOADED if there are too many streams, or
 * KB_ERR_NO_MEMORY, both without an answer.
 */
kb_result_t kb_operator_watch_open(kb_operator_watch_t *watch,
				   struct evhttp_request *http, int64_t after);

KB_END_DECLS

#endif
