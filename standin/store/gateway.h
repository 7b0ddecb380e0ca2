#ifndef STANDIN_GATEWAY_H
#define STANDIN_GATEWAY_H

#include "hosts.h"
#include "lease.h"
#include "watch.h"

#include <event2/event.h>

enum { STANDIN_GATEWAY_MAX_PATHS = 16 };

/* Injected faults, set with POST /fault. */
typedef struct standin_faults {
	/* Connections are closed before the call takes effect. */
	int down;
	/* Number of calls that take effect but get no response. */
	int64_t lose_answers;
	/* Delay before a call is executed. */
	kb_time_t delay;
	/* Revision at which range requests read; 0 means the current one. */
	int64_t stale_revision;
} standin_faults_t;

typedef struct standin_pending standin_pending_t;

/* The HTTP interface of the stand-in. */
typedef struct standin_gateway {
	struct event_base *base;
	struct evhttp *http;
	struct event *lease_timer;
	kb_clock_t clock;
	standin_kv_t kv;
	standin_leases_t leases;
	standin_watches_t watches;
	standin_hosts_t hosts;
	standin_faults_t faults;
	/* Delayed calls. */
	standin_pending_t *pending;
	/* Number of calls by index of the route. */
	uint64_t counts[STANDIN_GATEWAY_MAX_PATHS];
} standin_gateway_t;

/* Listens on `address` and `port`. Returns KB_ERR_IO if that fails. */
kb_result_t standin_gateway_init(standin_gateway_t *gateway,
				 struct event_base *base, const char *address,
				 uint16_t port);
void standin_gateway_finish(standin_gateway_t *gateway);

#endif
