#ifndef KB_FLEET_TABLE_H
#define KB_FLEET_TABLE_H

#include "hosts.h"

#include <event2/event.h>
#include <string>

/*
 * A host's table of a fleet in two regions with three data centres each. One
 * host in sixteen is strong.
 */
struct FleetTable {
	struct event_base *loop = event_base_new();
	kb_hosts_t hosts;

	FleetTable(size_t count, size_t self, bool backwards = false)
	{
		kb_host_info_t info = describe(self);

		EXPECT_EQ(KB_OK, kb_hosts_init_at(&hosts, loop, &info));
		for (size_t i = 0; i < count; i++) {
			info = describe(backwards ? count - 1 - i : i);
			EXPECT_NE(nullptr, kb_hosts_put(&hosts, &info));
		}
	}

	~FleetTable()
	{
		kb_hosts_finish(&hosts);
		event_base_free(loop);
	}

	static std::string name(size_t index)
	{
		return "host-" + std::to_string(index);
	}

	static size_t index(const kb_host_t *host)
	{
		return std::stoul(host->name.data + strlen("host-"));
	}

	static kb_host_info_t describe(size_t index)
	{
		kb_host_info_t info = {};
		std::string data_centre = "dc-" + std::to_string(index % 6);
		std::string region = index % 2 ? "east" : "west";

		kb_name_set(&info.name, kb_str_from(name(index).c_str()));
		kb_name_set(&info.data_centre,
			    kb_str_from(data_centre.c_str()));
		kb_name_set(&info.region, kb_str_from(region.c_str()));
		kb_name_set(&info.endpoint.address, KB_STR("127.0.0.1"));
		info.endpoint.port = 1;
		info.processor_share = index / 6 % 16 ? 0.12 : 0.5;
		info.link_mbps = index / 6 % 16 ? 20 : 200;
		return info;
	}

	kb_host_t *host(size_t index)
	{
		return kb_hosts_find(&hosts, kb_str_from(name(index).c_str()));
	}

	/* Hosts that this one knows to have failed. */
	void fail(size_t index)
	{
		host(index)->failed = 1;
		kb_hosts_changed(&hosts);
	}
};

#endif
