#include "hosts.h"

#include <stdlib.h>

enum {
	INITIAL_CAPACITY = 16,
	/* Greatest number of outstanding calls to one host. */
	CALLS_PER_HOST = 4096,
};

kb_host_t *kb_hosts_find(const kb_hosts_t *hosts, kb_str_t name)
{
	for (size_t i = 0; i < hosts->count; i++)
		if (kb_name_is(&hosts->hosts[i]->name, name))
			return hosts->hosts[i];
	return NULL;
}

static kb_host_t *add_host(kb_hosts_t *hosts)
{
	size_t capacity =
		hosts->capacity ? hosts->capacity * 2 : INITIAL_CAPACITY;
	kb_host_t **table;
	kb_host_t *host;

	if (hosts->count == hosts->capacity) {
		table = reallocarray(hosts->hosts, capacity, sizeof(*table));
		if (!table)
			return NULL;
		hosts->hosts = table;
		hosts->capacity = capacity;
	}
	host = calloc(1, sizeof(*host));
	if (host)
		hosts->hosts[hosts->count++] = host;
	return host;
}

static int same_endpoint(const kb_endpoint_t *a, const kb_endpoint_t *b)
{
	return a->port == b->port &&
	       kb_name_is(&a->address, kb_name_str(&b->address));
}

kb_host_t *kb_hosts_put(kb_hosts_t *hosts, const kb_host_info_t *info)
{
	kb_host_t *host = kb_hosts_find(hosts, kb_name_str(&info->name));

	if (!host) {
		host = add_host(hosts);
		if (!host)
			return NULL;
		host->name = info->name;
		host->live = 1;
	}
	host->data_centre = info->data_centre;
	host->region = info->region;
	if (same_endpoint(&host->endpoint, &info->endpoint))
		return host;
	if (host->endpoint.port)
		kb_rpc_peer_finish(&host->peer);
	host->endpoint = info->endpoint;
	kb_rpc_peer_init(&host->peer, hosts->loop,
			 kb_name_str(&info->endpoint.address),
			 info->endpoint.port, CALLS_PER_HOST);
	return host;
}

kb_result_t kb_hosts_init_at(kb_hosts_t *hosts, struct event_base *loop,
			     const kb_host_info_t *self)
{
	memset(hosts, 0, sizeof(*hosts));
	hosts->loop = loop;
	hosts->self = kb_hosts_put(hosts, self);
	if (!hosts->self)
		return KB_ERR_NO_MEMORY;
	hosts->self->self = 1;
	return KB_OK;
}

kb_result_t kb_hosts_init(kb_hosts_t *hosts, struct event_base *loop,
			  const kb_settings_t *settings)
{
	kb_host_info_t self = {
		.name = settings->host,
		.endpoint = settings->listen_hosts,
		.data_centre = settings->data_centre,
		.region = settings->region,
	};

	return kb_hosts_init_at(hosts, loop, &self);
}

void kb_hosts_finish(kb_hosts_t *hosts)
{
	for (size_t i = 0; i < hosts->count; i++)
		kb_rpc_peer_finish(&hosts->hosts[i]->peer);
	for (size_t i = 0; i < hosts->count; i++)
		free(hosts->hosts[i]);
	free(hosts->hosts);
	memset(hosts, 0, sizeof(*hosts));
}
