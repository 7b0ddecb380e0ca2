#ifndef KB_SYNC_FEED_H
#define KB_SYNC_FEED_H

#include "rpc_server.h"
#include "sync_codec.h"

KB_BEGIN_DECLS

enum {
	/* Longest time that a call waits for a change. */
	KB_SYNC_FEED_WAIT_MAX_MS = 1000,
	/* Encoded changes that are kept for the next calls. */
	KB_SYNC_FEED_CACHE = 4,
};

/* A call that waits for a change. */
typedef struct kb_sync_waiter {
	struct kb_sync_waiter *next;
	kb_rpc_request_t *request;
	const kbs_sync_args *args;
	kb_time_t received_at;
	kb_time_t answer_at;
} kb_sync_waiter_t;

/*
 * Answers the calls of other hosts for changes of this host's copy of the
 * store: at once if the caller lacks some, else at the next change or when the
 * time that it waits has passed.
 */
typedef struct kb_sync_feed {
	const kb_mirror_t *mirror;
	kb_sync_waiter_t *waiters;
	/* Changes that were encoded last, a ring. */
	kb_sync_data_t cache[KB_SYNC_FEED_CACHE];
	size_t encoded;
	/* Sends the reply and frees the request; kb_rpc_server_reply(). */
	void (*reply)(kb_rpc_request_t *request, const void *res);
} kb_sync_feed_t;

void kb_sync_feed_init(kb_sync_feed_t *feed, const kb_mirror_t *mirror);

/* Ends the waiting calls without changes. */
void kb_sync_feed_finish(kb_sync_feed_t *feed);

/* Takes a call. `args` must stay valid until it is replied to. */
void kb_sync_feed_add(kb_sync_feed_t *feed, kb_rpc_request_t *request,
		      const kbs_sync_args *args, kb_time_t now);

/* Replies to the calls that need not wait any more. */
void kb_sync_feed_tick(kb_sync_feed_t *feed, kb_time_t now);

KB_END_DECLS

#endif
