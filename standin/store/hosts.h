#ifndef STANDIN_HOSTS_H
#define STANDIN_HOSTS_H

#include "str.h"

#include <jansson.h>

enum { STANDIN_HOSTS_HISTORY_MAX = 32 };

/* The platform's list of hosts, answered as it was some time ago. */
typedef struct standin_hosts {
	kb_clock_t *clock;
	kb_time_t lag;
	struct {
		kb_time_t at;
		json_t *list;
	} versions[STANDIN_HOSTS_HISTORY_MAX];
	size_t count;
} standin_hosts_t;

void standin_hosts_init(standin_hosts_t *hosts, kb_clock_t *clock);
void standin_hosts_finish(standin_hosts_t *hosts);

/* Makes `list` the newest list and keeps a reference to it. */
kb_result_t standin_hosts_set(standin_hosts_t *hosts, json_t *list);

/* Returns the newest list that is as old as the lag; borrowed. */
json_t *standin_hosts_get(const standin_hosts_t *hosts);

#endif
