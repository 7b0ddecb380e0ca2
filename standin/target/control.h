#ifndef ST_CONTROL_H
#define ST_CONTROL_H

#include "server.h"

#include <event2/http.h>

/* Control interface over HTTP on loopback: POST /fault and GET /state. */
typedef struct st_control {
	st_server_t *server;
	struct evhttp *http;
} st_control_t;

/* Listens on `port`. Returns KB_OK, KB_ERR_IO or KB_ERR_NO_MEMORY. */
kb_result_t st_control_init(st_control_t *control, st_server_t *server,
			    uint16_t port);
void st_control_finish(st_control_t *control);

#endif
