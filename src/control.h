#ifndef KB_CONTROL_H
#define KB_CONTROL_H

#include "conn.h"
#include "report.h"

struct event;
struct event_base;

KB_BEGIN_DECLS

/* Commands that may be queued for one target, the one sent included. */
#define KB_CONTROL_COMMANDS_MAX 16

/* Largest answer to a command, in bytes of rows. */
#define KB_CONTROL_ANSWER_BYTES 65536

typedef enum kb_control_kind {
	KB_CONTROL_PROBE,
	KB_CONTROL_FENCE,
	KB_CONTROL_PROMOTE,
	KB_CONTROL_FOLLOW,
} kb_control_kind_t;

/* A command to a target. */
typedef struct kb_control_command {
	kb_control_kind_t kind;
	/* Chosen by the owner; identifies a probe in its answer. */
	uint64_t id;
	uint64_t term;
	/* Fence and promote: id of the process that sends it. */
	kb_name_t promoter;
	/* Follow: address of the primary. */
	kb_name_t address;
	uint16_t port;
} kb_control_command_t;

typedef struct kb_control kb_control_t;

/* Events that a control connection reports to its owner. */
typedef struct kb_control_events {
	/*
	 * A command has ended. KB_OK: it was executed; KB_ERR_CONFLICT: the
	 * target rejected it and reported its state. `report` is NULL for any
	 * other result. KB_ERR_UNREACHABLE: nothing listens at the target and
	 * the command was not sent. KB_ERR_CLOSED, KB_ERR_TIMEOUT: it may have
	 * been executed. KB_ERR_OVERLOADED: the target refused the connection.
	 */
	void (*ended)(kb_control_t *control,
		      const kb_control_command_t *command, kb_result_t result,
		      const kb_report_t *report);
} kb_control_events_t;

/* A connection to a target that sends probes and commands one at a time. */
struct kb_control {
	const kb_control_events_t *events;
	void *owner;
	kb_connector_t *connector;
	struct event_base *loop;
	kb_conn_address_t address;
	kb_conn_t *conn;
	int connected;
	struct event *timer;
	kb_control_command_t commands[KB_CONTROL_COMMANDS_MAX];
	size_t command_count;
	/* The first command was sent and is not answered yet. */
	int busy;
	/* Failure to be reported from the event loop, or KB_OK. */
	kb_result_t failed;
	kb_result_t answer_result;
	kb_report_t report;
};

/* Initializes `control`; the first command opens the connection. */
kb_result_t kb_control_init(kb_control_t *control,
			    const kb_control_events_t *events, void *owner,
			    kb_connector_t *connector, struct event_base *loop,
			    const kb_conn_address_t *address);

/* Closes the connection; no event follows. */
void kb_control_finish(kb_control_t *control);

/*
 * Queues a command; ended() is called from the event loop. Returns
 * KB_ERR_OVERLOADED if the queue is full; then the command is not sent and
 * ended() is not called.
 */
kb_result_t kb_control_send(kb_control_t *control,
			    const kb_control_command_t *command);

/* Parses the answer row of a control function into `report`. */
kb_result_t kb_control_parse_row(json_t *row, kb_report_t *report,
				 int *granted);

KB_END_DECLS

#endif
