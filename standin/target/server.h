#ifndef ST_SERVER_H
#define ST_SERVER_H

#include "connection.h"
#include "engine.h"
#include "follower.h"
#include "options.h"
#include "slots.h"
#include "source.h"

/* Injected faults, set over the control port. */
typedef struct st_faults {
	/* Number of responses to table statements or commits to discard; the
	 * connection of each is closed. */
	unsigned drop_answers;
	/* Truncate the next such response and close its connection. */
	int cut_answer_half;
	/* No connection is accepted, read or written. */
	int partition;
	/* As `partition`, until `stall_timer` fires. */
	int stalled;
} st_faults_t;

/* One stand-in target. */
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

/*
 * Starts to listen. `options` must outlive the server. Returns KB_OK,
 * KB_ERR_IO or KB_ERR_NO_MEMORY.
 */
kb_result_t st_server_init(st_server_t *server, struct event_base *base,
			   const st_options_t *options);
void st_server_finish(st_server_t *server);

/* Suspends or resumes all traffic according to the faults. */
void st_server_update_frozen(st_server_t *server);

#endif
