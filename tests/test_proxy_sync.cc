#include "fake_server.h"
#include "fake_time.h"
#include "proxy_internal.h"
#include "recording_store.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <string>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host that has just started, before a store that the test answers. */
class ProxySync : public ::testing::Test
{
      protected:
	Loop loop;
	FakeTime clock;
	RecordingStore store;
	kb_settings_t settings = {};
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();

	ProxySync()
	{
		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		proxy->clock = &clock.base;
		proxy->setup.store = &store.base;
		proxy->setup.settings = &settings;
		proxy->setup.loop = loop.base;
		proxy->self = describe("self", 20);
		proxy->started_at = clock.now;
		proxy->direct_read_delay = 500 * MS;
		proxy->mirror.changed = [](void *, kb_str_t,
					   const kb_mirror_entry_t *) {};
		kb_rng_init(&proxy->rng, 1);
		kb_hosts_init_at(&proxy->hosts, loop.base, &proxy->self);
		kb_store_poller_init(&proxy->store_poller, &store.base,
				     &proxy->mirror, &clock.base, 1);
		proxy->tick = evtimer_new(
			loop.base, [](evutil_socket_t, short, void *) {},
			nullptr);
	}

	~ProxySync() override
	{
		event_free(proxy->tick);
		kb_store_poller_finish(&proxy->store_poller);
		for (size_t i = 0; i < proxy->hosts.count; i++)
			kb_rpc_peer_finish(&proxy->hosts.hosts[i]->peer);
		kb_hosts_finish(&proxy->hosts);
		kb_mirror_finish(&proxy->mirror);
	}

	static kb_host_info_t describe(const char *name, double link)
	{
		kb_host_info_t info = {};

		kb_name_set(&info.name, kb_str_from(name));
		kb_name_set(&info.data_centre, KB_STR("dc"));
		kb_name_set(&info.region, KB_STR("region"));
		kb_name_set(&info.endpoint.address, KB_STR("127.0.0.1"));
		info.endpoint.port = 1;
		info.link_mbps = link;
		return info;
	}

	kb_host_t *add_host(const char *name, double link)
	{
		kb_host_info_t info = describe(name, link);

		return kb_hosts_put(&proxy->hosts, &info);
	}

	void pass(kb_time_t duration)
	{
		for (kb_time_t end = clock.now + duration; clock.now < end;) {
			clock.now += 20 * MS;
			kb_proxy_sync_tick(proxy.get(), clock.now);
		}
	}

	/* Answers the read of the list of hosts. */
	void list(const std::vector<std::string> &names)
	{
		std::vector<std::string> values;
		std::vector<kb_store_entry_t> entries(names.size());
		RecordingStore::Call call = store.take();

		for (const std::string &name : names)
			values.push_back(
				"{\"name\":\"" + name +
				"\",\"address\":\"127.0.0.1\",\"port\":1,"
				"\"dataCentre\":\"dc\",\"region\":\"region\","
				"\"leaving\":false,\"linkMbps\":200}");
		for (size_t i = 0; i < names.size(); i++)
			entries[i].value = { values[i].data(),
					     values[i].size() };
		kb_store_range_t range = { 7, entries.size(), entries.data() };

		call.on_range(call.ctx, KB_OK, &range);
	}

	/* Number of reads of the whole store or polls of it in flight. */
	size_t reads() const
	{
		size_t count = 0;

		for (const RecordingStore::Call &call : store.calls)
			count += !call.stale;
		return count;
	}
};

} // namespace

TEST_F(ProxySync, AHostThatStartsReadsTheListOfItsDataCentre)
{
	kb_proxy_sync_tick(proxy.get(), clock.now);
	ASSERT_EQ(1u, store.calls.size());
	EXPECT_EQ("kumquatbridge/host/dc/", store.calls[0].key);
	EXPECT_TRUE(store.calls[0].stale);
}

TEST_F(ProxySync, AHostThatFindsItselfAloneReadsTheStore)
{
	kb_proxy_sync_tick(proxy.get(), clock.now);
	list({ "self" });
	pass(20 * MS);
	EXPECT_EQ(1u, reads());
}

TEST_F(ProxySync, TheHostsOfANewFleetGiveEachOtherTimeToRegister)
{
	settings.first_start = 1;
	kb_proxy_sync_tick(proxy.get(), clock.now);
	list({ "self" });
	pass(700 * MS);
	EXPECT_EQ(0u, reads());
	pass(200 * MS);
	EXPECT_EQ(1u, reads());
}

/* The list may be older than the host's own registration. */
TEST_F(ProxySync, AListWithoutTheHostItselfIsReadAgain)
{
	kb_proxy_sync_tick(proxy.get(), clock.now);
	list({});
	pass(410 * MS);
	ASSERT_EQ(1u, store.calls.size());
	EXPECT_TRUE(store.calls[0].stale);
	list({});
	pass(1400 * MS);
	EXPECT_EQ(0u, reads());
	/* It does not wait for ever. */
	pass(800 * MS);
	EXPECT_EQ(1u, reads());
}

TEST_F(ProxySync, AHostWithNeighboursAsksThemBeforeTheStore)
{
	kb_proxy_sync_tick(proxy.get(), clock.now);
	list({ "self", "a", "b" });
	pass(20 * MS);
	EXPECT_FALSE(proxy->tree.is_reader);
	EXPECT_EQ(1u, proxy->tree.parents[0]->peer.call_count +
			      proxy->tree.parents[1]->peer.call_count);
	pass(1900 * MS);
	EXPECT_EQ(0u, reads());
	/* They do not answer: 2 s and a random time. */
	pass(1000 * MS);
	EXPECT_EQ(1u, reads());
}

/*
 * All hosts return from a power cut within some hundred ms. A host that is
 * still off when it is asked for the first copy must not cost the others more
 * than a connection takes.
 */
TEST_F(ProxySync, AHostThatIsOffDoesNotDelayTheFirstCopy)
{
	std::set<std::string> asked;
	kb_time_t start = clock.now;

	kb_proxy_sync_tick(proxy.get(), clock.now);
	list({ "self", "a", "b", "c", "d" });
	while (clock.now - start < 400 * MS) {
		pass(20 * MS);
		kb_proxy_hosts_tick(proxy.get(), clock.now);
		for (size_t i = 0; i < proxy->hosts.count; i++)
			if (proxy->hosts.hosts[i]->peer.call_count)
				asked.insert(proxy->hosts.hosts[i]->name.data);
	}
	EXPECT_GE(asked.size(), 3u);
}

/* A host that is called in the moment in which it is learned of. */
TEST_F(ProxySync, AHostThatIsNewHasTimeForTheConnection)
{
	kb_host_t *asked = nullptr;

	kb_proxy_sync_tick(proxy.get(), clock.now);
	list({ "self", "a", "b", "c", "d" });
	kb_proxy_sync_tick(proxy.get(), clock.now);
	for (size_t i = 0; i < proxy->hosts.count; i++)
		if (proxy->hosts.hosts[i]->peer.call_count)
			asked = proxy->hosts.hosts[i];
	ASSERT_NE(nullptr, asked);
	kb_proxy_hosts_tick(proxy.get(), clock.now);
	clock.now += 80 * MS;
	kb_proxy_hosts_tick(proxy.get(), clock.now);
	EXPECT_EQ(1u, asked->peer.call_count);
	EXPECT_FALSE(asked->failed);
	clock.now += 40 * MS;
	kb_proxy_hosts_tick(proxy.get(), clock.now);
	EXPECT_TRUE(asked->failed);
}

TEST_F(ProxySync, ParentsTakeTurns)
{
	kb_host_t *first = add_host("a", 200);
	kb_host_t *second = add_host("b", 200);
	kb_host_t *asked[3];

	proxy->mirror.revision = 5;
	proxy->mirror.as_of = clock.now;
	for (kb_host_t *&host : asked) {
		pass(120 * MS);
		ASSERT_EQ(1u, first->peer.call_count + second->peer.call_count);
		host = first->peer.call_count ? first : second;
		/* The call ends. */
		kb_rpc_peer_reset(&host->peer);
	}
	EXPECT_NE(asked[0], asked[1]);
	EXPECT_EQ(asked[0], asked[2]);
}

TEST_F(ProxySync, ACopyThatIsOutOfDateIsReadFromTheStoreLate)
{
	add_host("a", 200);
	add_host("b", 200);
	proxy->mirror.revision = 5;
	proxy->mirror.as_of = clock.now;
	pass(2000 * MS);
	EXPECT_EQ(0u, reads());
	EXPECT_FALSE(proxy->tree.is_reader);
	pass(6000 * MS);
	EXPECT_EQ(1u, reads());
	/* Once it is fresh again the host leaves the store to the readers. */
	proxy->mirror.as_of = clock.now;
	store.calls.clear();
	pass(1000 * MS);
	EXPECT_EQ(0u, reads());
}

/*
 * The store turns both readers away. A change made just after their last read
 * must be in force within 3 s, also on a host two hops from here.
 */
TEST_F(ProxySync, AHostNextToTheReadersReplacesThemSoon)
{
	add_host("a", 200);
	add_host("b", 200);
	proxy->mirror.revision = 5;
	proxy->mirror.as_of = clock.now;
	pass(2400 * MS);
	EXPECT_EQ(1u, proxy->tree.depth);
	EXPECT_EQ(1u, reads());
}

TEST_F(ProxySync, AStoppingHostDoesNotTakeThePlaceOfTheReaders)
{
	kb_host_t *first = add_host("a", 200);
	kb_host_t *second = add_host("b", 200);

	proxy->mirror.revision = 5;
	proxy->mirror.as_of = clock.now;
	pass(100 * MS);
	proxy->stopping = 1;
	first->leaving = second->leaving = 1;
	kb_hosts_changed(&proxy->hosts);
	pass(500 * MS);
	EXPECT_TRUE(proxy->tree.is_reader);
	EXPECT_EQ(0u, reads());
	proxy->stopping = 0;
	pass(500 * MS);
	EXPECT_EQ(1u, reads());
}

/* Statements are not sent to a host again before it has answered a ping. */
TEST_F(ProxySync, AHostThatFailedGetsNoWorkUntilItAnswersAPing)
{
	kb_host_t *host = add_host("a", 200);
	uint64_t generation = proxy->hosts.generation;
	kb_time_t first;

	EXPECT_TRUE(kb_proxy_host_usable(host, clock.now));
	kb_proxy_host_failed(proxy.get(), host, KB_ERR_TIMEOUT);
	EXPECT_FALSE(kb_proxy_host_usable(host, clock.now));
	EXPECT_NE(generation, proxy->hosts.generation);
	first = host->ping_at - clock.now;
	clock.now += 900 * MS;
	kb_proxy_hosts_tick(proxy.get(), clock.now);
	EXPECT_FALSE(host->pinging);
	clock.now = host->ping_at;
	kb_proxy_hosts_tick(proxy.get(), clock.now);
	EXPECT_TRUE(host->pinging);
	EXPECT_FALSE(kb_proxy_host_usable(host, clock.now));
	/* It fails, too: the next ping waits longer, up to a maximum. */
	kb_rpc_peer_reset(&host->peer);
	EXPECT_FALSE(host->pinging);
	EXPECT_FALSE(kb_proxy_host_usable(host, clock.now));
	EXPECT_GE(host->ping_at - clock.now, 200 * MS);
	for (int i = 0; i < 10; i++) {
		clock.now = host->ping_at;
		kb_proxy_host_failed(proxy.get(), host, KB_ERR_TIMEOUT);
	}
	EXPECT_GT(host->ping_at - clock.now, first);
	EXPECT_LE(host->ping_at - clock.now, 4 * KB_NS_PER_S);
}
