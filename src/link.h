#ifndef KB_LINK_H
#define KB_LINK_H

#include "endpoint.h"
#include "point.h"
#include "text.h"

KB_BEGIN_DECLS

/* Kinds of commands that are sent to a target. */
typedef enum kb_link_command_kind {
	/* A caller's statement. */
	KB_LINK_COMMAND_READ,
	KB_LINK_COMMAND_WRITE,
	KB_LINK_COMMAND_COMMIT,
	/* Commands that the proxy sends on its own. */
	KB_LINK_COMMAND_BEGIN,
	KB_LINK_COMMAND_BEGIN_READ_ONLY,
	KB_LINK_COMMAND_ROLLBACK,
	KB_LINK_COMMAND_SET,
	KB_LINK_COMMAND_PREPARE_READ,
	KB_LINK_COMMAND_PREPARE_WRITE,
	KB_LINK_COMMAND_RESET,
	KB_LINK_COMMAND_STATUS,
	/* Demotes a primary whose term is below `term` to a replica. */
	KB_LINK_COMMAND_STEP_DOWN,
} kb_link_command_kind_t;

typedef struct kb_link_command {
	kb_link_command_kind_t kind;
	/* Id of the caller's statement. */
	kb_str_t id;
	/* Name of a prepared statement or of a session value, or empty. */
	kb_str_t name;
	/* Rest of the statement, session value, or shape to prepare. */
	kb_str_t body;
	/* Point that the target's log must include, or zero. */
	kb_point_t include;
	uint64_t term;
} kb_link_command_t;

/* Whether a connection is inside a transaction. */
typedef enum kb_txn_state {
	KB_TXN_NONE,
	KB_TXN_OPEN,
	/* A statement failed; the transaction can only be rolled back. */
	KB_TXN_FAILED,
} kb_txn_state_t;

/* State reported by a target. */
typedef struct kb_target_report {
	int is_primary;
	uint64_t term;
	kb_point_t received;
	/* Highest term of a fence that it accepted. */
	uint64_t fenced_term;
	kb_time_t lag;
	unsigned busy;
	unsigned connections;
} kb_target_report_t;

/* A target's reply to a command. Its data is valid until the event returns. */
typedef struct kb_reply {
	kb_result_t result;
	kb_str_t message;
	size_t row_count;
	const kbs_text *rows;
	kb_str_t signature;
	kb_txn_state_t state;
	/* End of the target's log, or zero if it is not in the reply. */
	kb_point_t point;
	/* For KB_LINK_COMMAND_STATUS and KB_LINK_COMMAND_STEP_DOWN. */
	kb_target_report_t report;
} kb_reply_t;

typedef struct kb_link kb_link_t;

/* Events of a connection. None is called from within a kb_link_ops_t call. */
typedef struct kb_link_events {
	/*
	 * The connection was opened, or failed to open and the link must not
	 * be used any more. KB_ERR_TOO_MANY: the target has too many
	 * connections. KB_ERR_WRONG_TARGET: another target is at the address.
	 * KB_ERR_UNREACHABLE: the connection was refused.
	 */
	void (*opened)(void *ctx, kb_result_t result, kb_point_t point);
	void (*answered)(void *ctx, const kb_reply_t *reply);
	/*
	 * The connection was lost: KB_ERR_CLOSED, or KB_ERR_PROTOCOL if the
	 * target sent malformed data. A command that was not answered may
	 * have run.
	 */
	void (*lost)(void *ctx, kb_result_t result);
} kb_link_events_t;

typedef struct kb_link_ops {
	/* Sends a command; the previous one must have been answered. */
	kb_result_t (*send)(kb_link_t *link, const kb_link_command_t *command);
	/* Closes the connection and frees the link; no event follows. */
	void (*close)(kb_link_t *link);
} kb_link_ops_t;

/* A connection to a target; the first member of an implementation. */
struct kb_link {
	const kb_link_ops_t *ops;
	const kb_link_events_t *events;
	void *ctx;
};

/* Address of a target, with the group and target name expected there. */
typedef struct kb_link_place {
	kb_name_t group;
	kb_name_t target;
	kb_endpoint_t endpoint;
	/* Team that a connection is opened for, or empty. */
	kb_name_t team;
} kb_link_place_t;

typedef struct kb_link_connector kb_link_connector_t;

typedef struct kb_link_connector_ops {
	/* Starts to open a connection. Returns NULL if out of memory. */
	kb_link_t *(*open)(kb_link_connector_t *connector,
			   const kb_link_place_t *place,
			   const kb_link_events_t *events, void *ctx);
} kb_link_connector_ops_t;

/* Opens connections; the first member of an implementation. */
struct kb_link_connector {
	const kb_link_connector_ops_t *ops;
};

/* Wrappers of the functions above. */
static inline kb_link_t *kb_link_open(kb_link_connector_t *connector,
				      const kb_link_place_t *place,
				      const kb_link_events_t *events, void *ctx)
{
	return connector->ops->open(connector, place, events, ctx);
}

static inline kb_result_t kb_link_send(kb_link_t *link,
				       const kb_link_command_t *command)
{
	return link->ops->send(link, command);
}

static inline void kb_link_close(kb_link_t *link)
{
	link->ops->close(link);
}

KB_END_DECLS

#endif
