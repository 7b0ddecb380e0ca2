#ifndef KL_CLIENT_H
#define KL_CLIENT_H

#include "options.h"

#include <event2/event.h>
#include <jansson.h>

struct kl_connection;

/* Pooled connections to the hosts of a fleet. */
typedef struct kl_client {
	struct event_base *base;
	const kl_options_t *options;
	char path[KB_NAME_MAX_BYTES * 2];
	/* Idle connections by host. */
	struct kl_connection *idle[KL_HOSTS_MAX];
	struct kl_connection *all;
} kl_client_t;

/* The response to a request. */
typedef struct kl_reply {
	/* 0 if no complete response arrived. */
	int status;
	/* No connection could be opened, so nothing was sent. */
	int unsent;
	/* No response until a grace period after the deadline. */
	int timed_out;
	kb_str_t body;
	/* The new session token, or NULL. */
	const char *session;
} kl_reply_t;

typedef void kl_reply_fn_t(void *ctx, const kl_reply_t *reply);

/* A request to run a statement. */
typedef struct kl_request {
	size_t host;
	/* Body; borrowed. */
	const json_t *statement;
	/* Session token and idempotency key, or NULL. */
	const char *session;
	const char *key;
} kl_request_t;

/* Returns KB_OK, or KB_ERR_INVALID if the name of the group is too long. */
kb_result_t kl_client_init(kl_client_t *client, struct event_base *base,
			   const kl_options_t *options);

/* Closes all connections; pending requests are not completed. */
void kl_client_finish(kl_client_t *client);

/*
 * Sends `request` and returns KB_OK or KB_ERR_NO_MEMORY. After KB_OK, `done` is
 * called exactly once, from the event loop.
 */
kb_result_t kl_client_send(kl_client_t *client, const kl_request_t *request,
			   kl_reply_fn_t *done, void *ctx);

#endif
