#include "hosts.h"

#include <string.h>

void standin_hosts_init(standin_hosts_t *hosts, kb_clock_t *clock)
{
	memset(hosts, 0, sizeof(*hosts));
	hosts->clock = clock;
}

void standin_hosts_finish(standin_hosts_t *hosts)
{
	for (size_t i = 0; i < hosts->count; i++)
		json_decref(hosts->versions[i].list);
	hosts->count = 0;
}

static int is_host(const json_t *host)
{
	static const char *const texts[] = { "name", "address", "dataCentre",
					     "region", "state" };

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		if (!json_is_string(json_object_get(host, texts[i])))
			return 0;
	return json_is_integer(json_object_get(host, "port"));
}

kb_result_t standin_hosts_set(standin_hosts_t *hosts, json_t *list)
{
	json_t *host;
	size_t i;

	if (!json_is_array(list))
		return KB_ERR_INVALID;
	json_array_foreach(list, i,
			   host) if (!is_host(host)) return KB_ERR_INVALID;
	if (hosts->count == STANDIN_HOSTS_HISTORY_MAX) {
		json_decref(hosts->versions[0].list);
		hosts->count--;
		memmove(&hosts->versions[0], &hosts->versions[1],
			hosts->count * sizeof(hosts->versions[0]));
	}
	hosts->versions[hosts->count].at = kb_clock_monotonic(hosts->clock);
	hosts->versions[hosts->count].list = json_incref(list);
	hosts->count++;
	return KB_OK;
}

json_t *standin_hosts_get(const standin_hosts_t *hosts)
{
	kb_time_t now = kb_clock_monotonic(hosts->clock);
	size_t i = hosts->count;

	if (!i)
		return NULL;
	while (--i)
		if (hosts->versions[i].at <= now - hosts->lag)
			break;
	return hosts->versions[i].list;
}
