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
	/* Sends bookmarks, which show clients that a stream lives. */
	struct event *timer;
	kb_operator_stream_t *first;
	size_t count;
} kb_operator_watch_t;

/* Returns KB_ERR_NO_MEMORY if memory is short. */
kb_result_t kb_operator_watch_init(kb_operator_watch_t *watch,
				   struct event_base *base,
				   kb_config_view_t *view);

/* Ends all streams. */
void kb_operator_watch_finish(kb_operator_watch_t *watch);

/*
 * Answers `http` with the changes after revision `after`, then with those to
 * come. Returns KB_ERR_OVERLOADED, without an answer, if there are too many
 * streams, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_operator_watch_open(kb_operator_watch_t *watch,
				   struct evhttp_request *http, int64_t after);

KB_END_DECLS

#endif
