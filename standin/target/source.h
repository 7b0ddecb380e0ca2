#ifndef ST_SOURCE_H
#define ST_SOURCE_H

#include "engine.h"

#include <event2/event.h>
#include <event2/listener.h>

struct st_replica;

/* Streams the log of a primary to its replicas. */
typedef struct st_source {
	struct event_base *base;
	st_engine_t *engine;
	struct evconnlistener *listener;
	struct st_replica *replicas;
	int frozen;
} st_source_t;

/* Listens for replicas. Returns KB_OK or KB_ERR_IO. */
kb_result_t st_source_init(st_source_t *source, struct event_base *base,
			   st_engine_t *engine, const char *address,
			   uint16_t port);
void st_source_finish(st_source_t *source);

/* Sends new entries to every replica. */
void st_source_push(st_source_t *source);

/* Closes all replica connections if the target is no longer primary. */
void st_source_on_role_change(st_source_t *source);

/* Suspends accepting, reading and writing, or resumes if `frozen` is 0. */
void st_source_set_frozen(st_source_t *source, int frozen);

#endif
