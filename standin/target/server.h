#ifndef ST_SERVER_H
#define ST_SERVER_H

#include "connection.h"
#include "engine.h"
#include "follower.h"
#include "options.h"
#include "slots.h"
#include "source.h"

/* Faults that the control port sets. */
typedef struct st_faults {
	/* Answers to table statements that are lost with their connection. */
	unsigned drop_answers;
	/* The next such answer ends half-way with its connection. */
	int cut_answer_half;
	/* Nothing is accepted, read or answered. */
	int partition;
	/* The same until a timer ends it. */
	int stalled;
} st_faults_t;

/* Everything that one process runs. */
typedef struct st_server {
	st_engine_listener_t engine_listener;
	struct event_base *base;
	const st_options_t *options;
	st_engine_t engine;
	st_slots_t slots;
	st_source_t source;
	st_follower_t follower;
	st_faults_t faults;
	/* Ends `faults.stalled`. */
	struct event *stall_timer;
	struct evconnlistener *listener;
	st_connection_t *connections;
	unsigned connection_count;
	uint32_t next_process;
} st_server_t;

/* Listens as `options` say, which must outlive the server. */
kb_result_t st_server_init(st_server_t *server, struct event_base *base,
			   const st_options_t *options);
void st_server_finish(st_server_t *server);

/* Stops or continues all traffic as the faults say. */
void st_server_update_frozen(st_server_t *server);

#endif
