#ifndef KB_LINK_H
#define KB_LINK_H

#include "point.h"
#include "settings.h"
#include "text.h"

KB_BEGIN_DECLS

/* What is sent to a target on one of its connections. */
typedef enum kb_link_command_kind {
	/* Statement of a caller. */
	KB_LINK_COMMAND_READ,
	KB_LINK_COMMAND_WRITE,
	KB_LINK_COMMAND_COMMIT,
	/* Statements of this system. */
	KB_LINK_COMMAND_BEGIN,
	KB_LINK_COMMAND_BEGIN_READ_ONLY,
	KB_LINK_COMMAND_ROLLBACK,
	KB_LINK_COMMAND_SET,
	KB_LINK_COMMAND_PREPARE_READ,
	KB_LINK_COMMAND_PREPARE_WRITE,
	KB_LINK_COMMAND_RESET,
	KB_LINK_COMMAND_STATUS,
	/* Makes a primary of a term below `term` a replica. */
	KB_LINK_COMMAND_STEP_DOWN,
} kb_link_command_kind_t;

typedef struct kb_link_command {
	kb_link_command_kind_t kind;
	/* Of the caller's statement. */
	kb_str_t id;
	/* Name of a prepared statement or of a value; else empty. */
	kb_str_t name;
	/* Rest of the statement, value to set or shape to prepare. */
	kb_str_t body;
	/* Point that the log must include, or zero. */
	kb_point_t include;
	uint64_t term;
} kb_link_command_t;

/* Whether a connection is inside a transaction. */
typedef enum kb_txn_state {
	KB_TXN_NONE,
	KB_TXN_OPEN,
	/* It failed; ending it rolls back. */
	KB_TXN_FAILED,
} kb_txn_state_t;

/* State that a target reports of itself. */
typedef struct kb_target_report {
	int is_primary;
	uint64_t term;
	kb_point_t received;
	/* Highest term that it promised to respect. */
	uint64_t fenced_term;
	kb_time_t lag;
	unsigned busy;
	unsigned connections;
} kb_target_report_t;

/* A target's answer to one order. Data lives until the return. */
typedef struct kb_reply {
	kb_result_t result;
	kb_str_t message;
	size_t row_count;
	const kbs_text *rows;
	kb_str_t signature;
	kb_txn_state_t state;
	/* End of the target's log, or zero if it did not say. */
	kb_point_t point;
	/* Answer to KB_LINK_COMMAND_STATUS and KB_LINK_COMMAND_STEP_DOWN. */
	kb_target_report_t report;
} kb_reply_t;

typedef struct kb_link kb_link_t;

/* What a connection reports. None of these is called from within an op. */
typedef struct kb_link_events {
	/*
	 * Opening ended. KB_ERR_OVERLOADED: the target has no connection to
	 * spare. KB_ERR_NOT_FOUND: another target is at the address.
	 * KB_ERR_UNREACHABLE: refused. Unless KB_OK the link is lost.
	 */
	void (*opened)(void *ctx, kb_result_t result, kb_point_t point);
	void (*answered)(void *ctx, const kb_reply_t *reply);
	/*
	 * The connection ended. KB_ERR_CLOSED, or KB_ERR_PROTOCOL if the
	 * target sent what cannot be read. An order that waits for its answer
	 * may have run.
	 */
	void (*lost)(void *ctx, kb_result_t result);
} kb_link_events_t;

typedef struct kb_link_ops {
	/* Sends an order; the answer to the last one must have come. */
	kb_result_t (*send)(kb_link_t *link, const kb_link_command_t *order);
	/* Closes the connection and frees the link; no event follows. */
	void (*close)(kb_link_t *link);
} kb_link_ops_t;

/* A connection to a target. First member of an implementation. */
struct kb_link {
	const kb_link_ops_t *ops;
	const kb_link_events_t *events;
	void *ctx;
};

/* Where a target is and what it must be. */
typedef struct kb_link_place {
	kb_name_t group;
	kb_name_t target;
	kb_endpoint_t endpoint;
} kb_link_place_t;

typedef struct kb_link_connector kb_link_connector_t;

typedef struct kb_link_connector_ops {
	/* Begins to open a connection. Returns NULL if memory is short. */
	kb_link_t *(*open)(kb_link_connector_t *linker,
			   const kb_link_place_t *place,
			   const kb_link_events_t *events, void *ctx);
} kb_link_connector_ops_t;

/* Opens connections. First member of an implementation. */
struct kb_link_connector {
	const kb_link_connector_ops_t *ops;
};

/* Opens, sends and closes through the table of functions. */
static inline kb_link_t *kb_link_open(kb_link_connector_t *linker,
				      const kb_link_place_t *place,
				      const kb_link_events_t *events, void *ctx)
{
	return linker->ops->open(linker, place, events, ctx);
}

static inline kb_result_t kb_link_send(kb_link_t *link,
				       const kb_link_command_t *order)
{
	return link->ops->send(link, order);
}

static inline void kb_link_close(kb_link_t *link)
{
	link->ops->close(link);
}

KB_END_DECLS

#endif
