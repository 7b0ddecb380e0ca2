#ifndef KB_STORE_ETCD_H
#define KB_STORE_ETCD_H

#include "store_call.h"
#include "store_watch.h"

KB_BEGIN_DECLS

/* How the store is reached. */
typedef struct kb_store_etcd_settings {
	/* IP number of the gateway. */
	kb_name_t address;
	uint16_t port;
	/* Time in which a call is answered, retries included. */
	kb_time_t call_timeout;
	/* Time after which a read is tried once more. */
	kb_time_t attempt_timeout;
	kb_time_t watch_idle_timeout;
	kb_backoff_settings_t backoff;
	/* Should differ between hosts. */
	uint64_t seed;
} kb_store_etcd_settings_t;

typedef struct kb_store_watch_link kb_store_watch_link_t;

/*
 * A client of the store's JSON gateway. Reads and lease calls are repeated
 * within the deadline; a write is repeated only if no byte of it was sent.
 */
typedef struct kb_store_etcd {
	kb_store_t store;
	kb_store_etcd_settings_t settings;
	kb_http_client_t client;
	kb_backoff_t backoff;
	kb_store_calls_t calls;
	kb_store_watch_link_t *watches;
} kb_store_etcd_t;

/* Sets defaults for all but the address and port. */
void kb_store_etcd_defaults(kb_store_etcd_settings_t *settings);

/*
 * Prepares the client. Returns KB_ERR_INVALID if the address is not an IP
 * number, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_store_etcd_init(kb_store_etcd_t *etcd, struct event_base *base,
			       kb_clock_t *clock,
			       const kb_store_etcd_settings_t *settings);

/* Ends all calls and watches without an answer. */
void kb_store_etcd_finish(kb_store_etcd_t *etcd);

KB_END_DECLS

#endif
