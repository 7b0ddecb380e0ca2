#include "fake_server.h"
#include "fake_time.h"
#include "proxy_internal.h"
#include "rpc_frame.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <ctime>
#include <memory>
#include <string>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host's view of a fleet, without calls to other hosts or the store. */
class View
{
      public:
	Loop loop;
	FakeTime clock;
	kb_settings_t settings = {};
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	size_t group_count;
	static size_t ranked;

	View(size_t hosts, size_t groups) : group_count(groups)
	{
		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		proxy->clock = &clock.base;
		proxy->setup.settings = &settings;
		proxy->setup.loop = loop.base;
		proxy->self = describe("self", 0);
		kb_rng_init(&proxy->rng, 1);
		kb_hosts_init_at(&proxy->hosts, loop.base, &proxy->self);
		for (size_t i = 0; i < hosts; i++) {
			kb_host_info_t info =
				describe("host-" + std::to_string(i), i);

			kb_hosts_put(&proxy->hosts, &info);
		}
		for (size_t i = 0; i < groups; i++)
			add_group(i);
	}

	~View()
	{
		/* The table is part of the groups. */
		HASH_CLEAR(by_name, proxy->groups_by_name);
		/* Calls that end refer to groups. */
		for (size_t i = 0; i < proxy->hosts.count; i++)
			kb_rpc_peer_finish(&proxy->hosts.hosts[i]->peer);
		for (size_t i = 0; i < proxy->group_count; i++)
			kb_proxy_group_free(proxy->groups[i]);
		free(proxy->groups);
		kb_hosts_finish(&proxy->hosts);
		kb_target_list_finish(&proxy->targets);
		kb_proxy_loads_finish(proxy.get());
	}

	static std::string group_name(size_t i)
	{
		return "group-" + std::to_string(i);
	}

	static std::string target_name(size_t group, size_t i)
	{
		return group_name(group) + "-target-" + std::to_string(i);
	}

	static kb_str_t str(const std::string &text)
	{
		return { text.data(), text.size() };
	}

	kb_proxy_group_t *group(size_t i) const
	{
		return kb_proxy_group_find(proxy.get(), str(group_name(i)));
	}

	/* Another host holds the groups, with four others as voters. */
	void give_to_others()
	{
		for (size_t i = 0; i < group_count; i++) {
			kb_lease_t *lease = &group(i)->lease;
			kb_lease_record_t record = {};

			record.settled = 1;
			record.voters.count = 5;
			for (size_t j = 0; j < 5; j++)
				kb_name_set(&record.voters.hosts[j],
					    str("host-" + std::to_string(j)));
			record.holder = record.voters.hosts[0];
			lease->ops = counting_ops();
			kb_lease_on_key(lease, &record, 7, clock.now);
		}
	}

	void pass(kb_time_t duration)
	{
		for (kb_time_t end = clock.now + duration; clock.now < end;
		     clock.now += KB_PROXY_TICK_INTERVAL_MS * MS)
			for (size_t i = 0; i < group_count; i++)
				kb_lease_tick(&proxy->groups[i]->lease,
					      clock.now);
	}

	/* Processor time of a call in ns, the least of several measurements. */
	template <typename Call> static double cost(Call call)
	{
		constexpr int CALLS = 20000;
		double best = 1e9;

		for (int i = 0; i < 7; i++) {
			double start = processor_time();

			for (int j = 0; j < CALLS; j++)
				call((size_t)j);
			best = std::min(best,
					(processor_time() - start) / CALLS);
		}
		return best;
	}

      private:
	static double processor_time()
	{
		struct timespec now;

		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
		return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
	}

	static kb_host_info_t describe(const std::string &name, size_t number)
	{
		kb_host_info_t info = {};

		kb_name_set(&info.name, str(name));
		kb_name_set(&info.data_centre,
			    str("dc-" + std::to_string(number % 6)));
		kb_name_set(&info.region,
			    str("region-" + std::to_string(number % 2)));
		kb_name_set(&info.endpoint.address, KB_STR("127.0.0.1"));
		info.endpoint.port = 1;
		return info;
	}

	void add_group(size_t number)
	{
		kb_proxy_group_get(proxy.get(), str(group_name(number)));
		for (size_t i = 0; i < 3; i++) {
			kb_target_entry_t entry = {};

			kb_name_set(&entry.place.group,
				    str(group_name(number)));
			kb_name_set(&entry.place.target,
				    str(target_name(number, i)));
			kb_name_set(&entry.data_centre, KB_STR("dc-0"));
			entry.reports_primary = i == 0;
			kb_target_list_put(&proxy->targets, &entry);
		}
	}

	static const kb_lease_ops_t *counting_ops()
	{
		static kb_lease_ops_t ops = kb_proxy_lease_ops;

		ops.rank = [](void *ctx, kb_lease_t *,
			      kb_lease_ranking_t *ranking) {
			ranked++;
			kb_proxy_group_rank(
				static_cast<kb_proxy_group_t *>(ctx), ranking);
		};
		ops.query_holder = [](void *ctx, kb_lease_t *lease) {
			auto *group = static_cast<kb_proxy_group_t *>(ctx);

			kb_lease_on_holder_seen(
				lease, 1,
				kb_clock_monotonic(group->proxy->clock));
		};
		return &ops;
	}
};

size_t View::ranked;

} // namespace

/* A host that is no voter sees no renewals; the holder seems overdue. */
TEST(ProxyScale, HostsThatAreNoVotersSeldomRank)
{
	for (size_t hosts : { 300, 3600 }) {
		View view(hosts, hosts / 15);

		view.give_to_others();
		view.pass(20 * KB_NS_PER_S);
		View::ranked = 0;
		view.pass(10 * KB_NS_PER_S);
		EXPECT_GT(View::ranked, 0u);
		EXPECT_LE(View::ranked, 25 * view.group_count) << hosts;
	}
}

/* Every statement and tick looks these up. */
TEST(ProxyScale, LookUpsDoNotWalkTheGroups)
{
	View small(300, 20);
	View large(3600, 6100);
	auto compare = [&](const char *name, auto call) {
		double before = View::cost([&](size_t i) { call(small, i); });
		double after = View::cost([&](size_t i) { call(large, i); });

		EXPECT_LT(after, 15 * before + 300) << name;
	};
	std::vector<std::string> groups, targets;

	for (size_t i = 0; i < large.group_count; i++) {
		groups.push_back(View::group_name(i));
		targets.push_back(View::target_name(i, 1));
	}
	compare("group", [&](View &view, size_t i) {
		kb_proxy_group_find(view.proxy.get(),
				    View::str(groups[i % view.group_count]));
	});
	compare("target", [&](View &view, size_t i) {
		kb_target_list_find(&view.proxy->targets,
				    View::str(targets[i % view.group_count]));
	});
	compare("load", [&](View &view, size_t i) {
		kb_proxy_load_get(view.proxy.get(),
				  View::str(targets[i % view.group_count]));
	});
	compare("ranking", [&](View &view, size_t i) {
		kb_proxy_group_ranking(
			view.proxy->groups[i % std::min<size_t>(
						       view.group_count, 20)]);
	});
}

TEST(ProxyScale, TargetsOfAGroupAreListedAlone)
{
	View view(10, 6100);
	size_t visited = 0;

	for (const kb_target_entry_t *entry = kb_target_list_first(
		     &view.proxy->targets, KB_STR("group-4711"));
	     entry; entry = kb_target_list_next(entry)) {
		EXPECT_EQ("group-4711-target-" + std::to_string(visited),
			  entry->place.target.data);
		visited++;
	}
	EXPECT_EQ(3u, visited);
}

/* A group that this host has no part in is ticked less often. */
TEST(ProxyScale, QuietGroupsCostLittle)
{
	View view(300, 600);
	size_t ticked = 0;

	view.give_to_others();
	for (int i = 0; i < 100; i++) {
		view.clock.now += KB_PROXY_TICK_INTERVAL_MS * MS;
		kb_proxy_groups_tick(view.proxy.get(), view.clock.now);
	}
	view.clock.now += 20 * KB_NS_PER_S;
	kb_proxy_groups_tick(view.proxy.get(), view.clock.now);
	for (size_t i = 0; i < view.group_count; i++)
		ticked += !view.proxy->groups[i]->quiet;
	EXPECT_LT(ticked, view.group_count);
	/* All of them are ticked within a round. */
	for (int i = 0; i < KB_PROXY_QUIET_TICKS; i++)
		kb_proxy_groups_tick(view.proxy.get(), view.clock.now);
	for (size_t i = 0; i < view.group_count; i++)
		EXPECT_TRUE(view.proxy->groups[i]->quiet);
	kb_proxy_group_mark_used(view.group(1), view.clock.now);
	EXPECT_FALSE(view.group(1)->quiet);
}

/* A tick visits only the hosts that something is expected of. */
TEST(ProxyScale, IdleHostsAreNotVisited)
{
	for (size_t hosts : { 300, 3600 }) {
		View view(hosts, 1);
		kb_hosts_t *table = &view.proxy->hosts;
		auto count = [&] {
			const kb_host_t *host;
			size_t active = 0;

			LIST_FOREACH(host, &table->active, active_entry)
			active++;
			return active;
		};
		kb_host_t *host = table->hosts[hosts / 2];

		kb_proxy_hosts_tick(view.proxy.get(), view.clock.now);
		EXPECT_EQ(0u, count());
		kb_proxy_host_failed(view.proxy.get(), host, KB_ERR_TIMEOUT);
		EXPECT_EQ(1u, count());
		view.clock.now = host->ping_at;
		kb_proxy_hosts_tick(view.proxy.get(), view.clock.now);
		EXPECT_TRUE(host->pinging);
		EXPECT_EQ(1u, count());
	}
}

/* A call after a long time without any does not look unanswered at once. */
TEST(ProxyScale, SilenceIsCountedFromTheCall)
{
	View view(10, 1);
	kb_host_t *host = view.proxy->hosts.hosts[5];
	char nothing = 0;
	kb_rpc_call_t call = {};

	call.encode = kb_rpc_frame_xdr_empty;
	call.decode = kb_rpc_frame_xdr_empty;
	call.args = &nothing;
	call.res_size = 1;
	call.timeout = KB_NS_PER_S;
	call.done = [](void *, kb_result_t, void *) {};
	kb_proxy_hosts_tick(view.proxy.get(), view.clock.now);
	view.clock.now += 60 * KB_NS_PER_S;
	ASSERT_EQ(KB_OK, kb_rpc_peer_call(&host->peer, &call));
	kb_proxy_hosts_tick(view.proxy.get(), view.clock.now);
	EXPECT_FALSE(host->failed);
	view.clock.now += 400 * MS;
	kb_proxy_hosts_tick(view.proxy.get(), view.clock.now);
	EXPECT_TRUE(host->failed);
}

/* The settings of a process that starts after a restore name a first start. */
TEST(ProxyRestore, AStoreThatWasRestoredBeforeTheStartEndsTheFirstStart)
{
	for (int64_t era : { 0, 1, 2, 7 }) {
		View view(10, 2);

		view.settings.first_start = 1;
		kb_proxy_group_get(view.proxy.get(), KB_STR("first"));
		EXPECT_TRUE(
			kb_proxy_group_find(view.proxy.get(), KB_STR("first"))
				->lease.first_start);
		kb_proxy_check_restore(view.proxy.get(), view.clock.now);
		view.proxy->mirror.revision = kb_store_revision(era, 20);
		kb_proxy_check_restore(view.proxy.get(), view.clock.now);
		kb_proxy_group_get(view.proxy.get(), KB_STR("second"));
		for (kb_str_t name : { KB_STR("first"), KB_STR("second") })
			EXPECT_EQ(era <= 1,
				  kb_proxy_group_find(view.proxy.get(), name)
					  ->lease.first_start)
				<< era;
	}
}
