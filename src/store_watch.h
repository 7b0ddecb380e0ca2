#ifndef KB_STORE_WATCH_H
#define KB_STORE_WATCH_H

#include "backoff.h"
#include "http_client.h"
#include "store.h"

KB_BEGIN_DECLS

/* Times of a watch. */
typedef struct kb_store_watch_settings {
	/* Time until a snapshot is read or a stream has begun. */
	kb_time_t call_timeout;
	/* A stream that is silent for so long is opened anew. */
	kb_time_t idle_timeout;
} kb_store_watch_settings_t;

typedef struct kb_store_watch kb_store_watch_t;

/*
 * Starts a watch through `client`, which takes its delays from `backoff`.
 * Returns NULL if memory is short or the first call cannot be made.
 */
kb_store_watch_t *kb_store_watch_new(kb_http_client_t *client,
				     kb_backoff_t *backoff,
				     const kb_store_watch_settings_t *settings,
				     const kb_store_keys_t *keys, int64_t after,
				     const kb_store_watch_ops_t *ops,
				     void *ctx);

/* Ends and frees `watch`; callbacks may call it. */
void kb_store_watch_free(kb_store_watch_t *watch);

/* Returns the context that the callbacks get. */
void *kb_store_watch_ctx(const kb_store_watch_t *watch);

KB_END_DECLS

#endif
