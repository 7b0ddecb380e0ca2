#ifndef STANDIN_WATCH_H
#define STANDIN_WATCH_H

#include "kv.h"

#include <event2/http.h>
#include <jansson.h>

typedef struct standin_watch standin_watch_t;

/* The open watch streams. */
typedef struct standin_watches {
	standin_kv_t *kv;
	standin_watch_t *first;
	size_t count;
} standin_watches_t;

void standin_watch_init(standin_watches_t *watches, standin_kv_t *kv);

/* Ends each stream. */
void standin_watch_finish(standin_watches_t *watches);

/* Opens the watch stream that `request` describes, as the reply to `http`. */
void standin_watch_open(standin_watches_t *watches, struct evhttp_request *http,
			const json_t *request);

/* Sends each stream the changes that it has not received yet. */
void standin_watch_notify(standin_watches_t *watches);

#endif
