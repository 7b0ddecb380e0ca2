#include "hosts.h"

#include <stdlib.h>

enum {
	INITIAL_CAPACITY = 16,
	/* Greatest number of outstanding calls to one host. */
	CALLS_PER_HOST = 4096,
};

kb_host_t *kb_hosts_find(const kb_hosts_t *hosts, kb_str_t name)
{
	kb_host_t *host = NULL;

	HASH_FIND(by_name, hosts->by_name, name.data, name.len, host);
	return host;
}

void kb_hosts_changed(kb_hosts_t *hosts)
{
	hosts->generation++;
}

void kb_hosts_set_active(kb_host_t *host, int active)
{
	if (host->active == active)
		return;
	host->active = active;
	if (active)
		LIST_INSERT_HEAD(&host->hosts->active, host, active_entry);
	else
		LIST_REMOVE(host, active_entry);
}

static void on_active(void *ctx)
{
	kb_hosts_set_active(ctx, 1);
}

static kb_host_t *add_host(kb_hosts_t *hosts, const kb_name_t *name)
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
	if (!host)
		return NULL;
	host->name = *name;
	host->hosts = hosts;
	host->live = 1;
	hosts->hosts[hosts->count++] = host;
	HASH_ADD_KEYPTR(by_name, hosts->by_name, host->name.data,
			host->name.len, host);
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
		host = add_host(hosts, &info->name);
		if (!host)
			return NULL;
	}
	host->data_centre = info->data_centre;
	host->region = info->region;
	host->processor_share = info->processor_share;
	host->link_mbps = info->link_mbps;
	hosts->generation++;
	if (same_endpoint(&host->endpoint, &info->endpoint))
		return host;
	if (host->endpoint.port)
		kb_rpc_peer_finish(&host->peer);
	host->endpoint = info->endpoint;
	kb_rpc_peer_init(&host->peer, hosts->loop,
			 kb_name_str(&info->endpoint.address),
			 info->endpoint.port, CALLS_PER_HOST);
	host->peer.active = on_active;
	host->peer.ctx = host;
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
		.processor_share = settings->processor_share,
		.link_mbps = settings->link_mbps,
	};

	return kb_hosts_init_at(hosts, loop, &self);
}

void kb_hosts_finish(kb_hosts_t *hosts)
{
	for (size_t i = 0; i < hosts->count; i++)
		kb_rpc_peer_finish(&hosts->hosts[i]->peer);
	HASH_CLEAR(by_name, hosts->by_name);
	for (size_t i = 0; i < hosts->count; i++)
		free(hosts->hosts[i]);
	free(hosts->hosts);
	memset(hosts, 0, sizeof(*hosts));
}
