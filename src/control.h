#ifndef KB_CONTROL_H
#define KB_CONTROL_H

#include "conn.h"
#include "report.h"

struct event;
struct event_base;

KB_BEGIN_DECLS

/* Orders that may wait for one target. */
#define KB_CONTROL_COMMANDS_MAX 16

/* Bytes of rows that the answer to an order may hold. */
#define KB_CONTROL_ANSWER_BYTES 65536

typedef enum kb_control_kind {
	KB_CONTROL_PROBE,
	KB_CONTROL_FENCE,
	KB_CONTROL_PROMOTE,
	KB_CONTROL_FOLLOW,
} kb_control_kind_t;

/* An order to a target. */
typedef struct kb_control_command {
	kb_control_kind_t kind;
	/* Chosen by the owner and handed back with the answer. */
	uint64_t id;
	uint64_t term;
	/* Fence and promote: who orders it. */
	kb_name_t promoter;
	/* Follow: where the primary listens. */
	kb_name_t address;
	uint16_t port;
} kb_control_command_t;

typedef struct kb_control kb_control_t;

/* What a control connection tells its owner. */
typedef struct kb_control_events {
	/*
	 * An order has ended. KB_OK: carried out, or a probe's answer;
	 * KB_ERR_CONFLICT: refused by the target, which still reports itself.
	 * `report` is NULL for any other result. KB_ERR_UNREACHABLE: nothing
	 * listens at the target and the order was not sent. KB_ERR_CLOSED,
	 * KB_ERR_TIMEOUT: it may have been carried out. KB_ERR_OVERLOADED: the
	 * target refused the connection.
	 */
	void (*ended)(kb_control_t *control, const kb_control_command_t *order,
		      kb_result_t result, const kb_report_t *report);
} kb_control_events_t;

/* One connection to a target that carries probes and orders in turn. */
struct kb_control {
	const kb_control_events_t *events;
	void *owner;
	kb_connector_t *connector;
	struct event_base *loop;
	kb_conn_address_t address;
	kb_conn_t *conn;
	int connected;
	struct event *timer;
	kb_control_command_t orders[KB_CONTROL_COMMANDS_MAX];
	size_t order_count;
	/* The first order was sent. */
	int busy;
	/* Why the connection failed before the loop came round, or KB_OK. */
	kb_result_t failed;
	kb_result_t answer_result;
	kb_report_t report;
};

/* Initializes `control`; the connection opens with the first order. */
kb_result_t kb_control_init(kb_control_t *control,
			    const kb_control_events_t *events, void *owner,
			    kb_connector_t *connector, struct event_base *loop,
			    const kb_conn_address_t *address);

/* Closes the connection; no event follows. */
void kb_control_finish(kb_control_t *control);

/*
 * Queues an order. Its end is reported from the loop. An order beyond the
 * limit is dropped, like one whose answer is lost.
 */
void kb_control_send(kb_control_t *control, const kb_control_command_t *order);

/* Parses the answer row of a control function into `report`. */
kb_result_t kb_control_parse_row(json_t *row, kb_report_t *report,
				 int *granted);

KB_END_DECLS

#endif
