#ifndef KB_STORE_WATCH_H
#define KB_STORE_WATCH_H

#include "backoff.h"
#include "http_client.h"
#include "store.h"

KB_BEGIN_DECLS

/* Timeouts of a watch. */
typedef struct kb_store_watch_settings {
	/* Timeout of reading a snapshot and of opening a stream. */
	kb_time_t call_timeout;
	/* A stream that delivers nothing for so long is reopened. */
	kb_time_t idle_timeout;
} kb_store_watch_settings_t;

typedef struct kb_store_watch kb_store_watch_t;

/*
 * Starts a watch through `client`, with retries delayed by `backoff`. Returns
 * NULL if out of memory.
 */
kb_store_watch_t *kb_store_watch_new(kb_http_client_t *client,
				     kb_backoff_t *backoff,
				     const kb_store_watch_settings_t *settings,
				     const kb_store_keys_t *keys, int64_t after,
				     const kb_store_watch_ops_t *ops,
				     void *ctx);

/* Ends and frees `watch`; may be called from its callbacks. */
void kb_store_watch_free(kb_store_watch_t *watch);

/* Returns the `ctx` that is passed to the callbacks. */
void *kb_store_watch_ctx(const kb_store_watch_t *watch);

KB_END_DECLS

#endif
