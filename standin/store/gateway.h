#ifndef STANDIN_GATEWAY_H
#define STANDIN_GATEWAY_H

#include "hosts.h"
#include "lease.h"
#include "watch.h"

#include <event2/event.h>

enum { STANDIN_GATEWAY_MAX_PATHS = 16 };

/* Faults that the stand-in shows on request. */
typedef struct standin_faults {
	/* Calls are cut off without an answer and without effect. */
	int down;
	/* This many calls take effect and are cut off without an answer. */
	int64_t lose_answers;
	/* Time before a call is executed. */
	kb_time_t delay;
	/* Reads show this revision; 0 is the newest. */
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
	/* Calls that wait for the delay to pass. */
	standin_pending_t *pending;
	/* Calls by the index of their path. */
	uint64_t counts[STANDIN_GATEWAY_MAX_PATHS];
} standin_gateway_t;

/* Listens on `address` and `port`. Returns KB_ERR_IO if that fails. */
kb_result_t standin_gateway_init(standin_gateway_t *gateway,
				 struct event_base *base, const char *address,
				 uint16_t port);
void standin_gateway_finish(standin_gateway_t *gateway);

#endif
