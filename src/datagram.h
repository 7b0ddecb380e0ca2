#ifndef KB_DATAGRAM_H
#define KB_DATAGRAM_H

#include "settings.h"

struct event;
struct event_base;

KB_BEGIN_DECLS

/* Counters of a datagram socket. */
typedef struct kb_datagram_counters {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t malformed;
} kb_datagram_counters_t;

/* A UDP socket that sends and receives one-way calls of one procedure. */
typedef struct kb_datagram {
	int fd;
	struct event *event;
	uint32_t procedure;
	uint32_t next_xid;
	/* Receives the body of each message. */
	void (*received)(void *ctx, const char *data, size_t len);
	void *ctx;
	kb_datagram_counters_t counters;
} kb_datagram_t;

/* Binds `endpoint`; set `received` and `ctx` afterwards. */
kb_result_t kb_datagram_init(kb_datagram_t *datagram, struct event_base *loop,
			     const kb_endpoint_t *endpoint, uint32_t procedure);
void kb_datagram_finish(kb_datagram_t *datagram);

/* Sends a message without confirmation; failures are not reported. */
void kb_datagram_send(kb_datagram_t *datagram, const kb_endpoint_t *to,
		      const char *data, size_t len);

KB_END_DECLS

#endif
