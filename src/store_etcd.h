#ifndef KB_STORE_ETCD_H
#define KB_STORE_ETCD_H

#include "store_call.h"
#include "store_watch.h"

KB_BEGIN_DECLS

/* Settings of a store client. */
typedef struct kb_store_etcd_settings {
	/* IP address of the gateway. */
	kb_name_t address;
	uint16_t port;
	/* Timeout of a call with all its retries. */
	kb_time_t call_timeout;
	/* Timeout of one attempt of a read or lease call. */
	kb_time_t attempt_timeout;
	kb_time_t watch_idle_timeout;
	kb_backoff_settings_t backoff;
	/* Seed of the jitter of retries; should differ between hosts. */
	uint64_t seed;
} kb_store_etcd_settings_t;

typedef struct kb_store_watch_link kb_store_watch_link_t;

/*
 * A client of etcd's JSON gateway. Reads and lease calls are retried until the
 * deadline; a write is retried only if no byte of it was sent.
 */
typedef struct kb_store_etcd {
	kb_store_t store;
	kb_store_etcd_settings_t settings;
	kb_http_client_t client;
	kb_backoff_t backoff;
	kb_store_calls_t calls;
	kb_store_watch_link_t *watches;
} kb_store_etcd_t;

/* Sets defaults for everything except address, port and seed. */
void kb_store_etcd_defaults(kb_store_etcd_settings_t *settings);

/*
 * Initializes the client. Returns KB_ERR_INVALID if the address is not an IP
 * address, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_store_etcd_init(kb_store_etcd_t *etcd, struct event_base *base,
			       kb_clock_t *clock,
			       const kb_store_etcd_settings_t *settings);

/* Cancels all calls and watches, without an answer. */
void kb_store_etcd_finish(kb_store_etcd_t *etcd);

KB_END_DECLS

#endif
