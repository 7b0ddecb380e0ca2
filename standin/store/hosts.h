#ifndef STANDIN_HOSTS_H
#define STANDIN_HOSTS_H

#include "str.h"

#include <jansson.h>

enum { STANDIN_HOSTS_HISTORY_MAX = 32 };

/* The platform's list of hosts, returned with a configurable lag. */
typedef struct standin_hosts {
	kb_clock_t *clock;
	kb_time_t lag;
	/* Lists with the time at which each was set, oldest first. */
	struct {
		kb_time_t at;
		json_t *list;
	} versions[STANDIN_HOSTS_HISTORY_MAX];
	size_t count;
} standin_hosts_t;

void standin_hosts_init(standin_hosts_t *hosts, kb_clock_t *clock);
void standin_hosts_finish(standin_hosts_t *hosts);

/*
 * Adds `list` as the newest list and keeps a reference to it. Returns KB_OK,
 * or KB_ERR_INVALID if it is not a list of hosts.
 */
kb_result_t standin_hosts_set(standin_hosts_t *hosts, json_t *list);

/*
 * Returns the list that was current `lag` ago, or the oldest one known; NULL
 * if none was set. The caller does not own it.
 */
json_t *standin_hosts_get(const standin_hosts_t *hosts);

#endif
