#include "fake_server.h"
#include "fake_time.h"
#include "proxy_internal.h"
#include "group_index.h"

#include <gtest/gtest.h>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host's view of a group that another host holds. */
class ProxyWatermark : public ::testing::Test
{
      protected:
	FakeTime clock;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();
	kb_proxy_group_t *groups[1] = { group.get() };

	ProxyWatermark()
	{
		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		*group = {};
		proxy->clock = &clock.base;
		group->proxy = proxy.get();
		proxy->groups = groups;
		proxy->group_count = 1;
		kb_name_set(&group->name, KB_STR("g"));
		index_group(proxy.get(), group.get());
	}

	~ProxyWatermark() override
	{
		clear_group_index(proxy.get());
	}

	void learn(uint64_t position, bool vacant)
	{
		kbs_stamp stamp = {};

		stamp.valid = TRUE;
		stamp.vacant = vacant;
		stamp.term = 1;
		stamp.point = { 1, position };
		stamp.primary = kb_text_view(KB_STR("p"));
		kb_proxy_group_add_watermark(group.get(), &stamp, clock.now);
	}

	kb_time_t unserved_ms()
	{
		return kb_proxy_group_unserved_time(group.get(), clock.now) /
		       MS;
	}

	bool is_vacant()
	{
		return kb_proxy_group_is_vacant(group.get(), clock.now);
	}

	/* The store names `holder` at `revision`. */
	void change_holder(int64_t revision, const char *holder)
	{
		group->lease.revision = revision;
		kb_name_set(&group->lease.record.holder, kb_str_from(holder));
		kb_proxy_lease_ops.changed(group.get(), &group->lease);
	}
};

} // namespace

TEST_F(ProxyWatermark, AGroupThatWasNeverServedHasNoUnservedTime)
{
	EXPECT_EQ(0, unserved_ms());
	EXPECT_FALSE(is_vacant());
	learn(1, true);
	clock.now += 5000 * MS;
	EXPECT_EQ(0, unserved_ms());
}

TEST_F(ProxyWatermark, AVacancyRefreshesWatermarksButIsNotService)
{
	learn(1, false);
	EXPECT_EQ(0, unserved_ms());
	for (int i = 0; i < 10; i++) {
		clock.now += 300 * MS;
		learn(1, true);
	}
	EXPECT_EQ(3000, unserved_ms());
	EXPECT_EQ(0, kb_proxy_group_watermark_age(group.get(), clock.now));
	EXPECT_TRUE(is_vacant());
}

TEST_F(ProxyWatermark, AVacancyExpiresWithoutConfirmation)
{
	learn(1, false);
	clock.now += 300 * MS;
	learn(1, true);
	EXPECT_TRUE(is_vacant());
	clock.now += 3000 * MS;
	EXPECT_FALSE(is_vacant());
	EXPECT_EQ(3300, unserved_ms());
}

TEST_F(ProxyWatermark, ANewHolderRestartsTheUnservedTime)
{
	learn(1, false);
	clock.now += 4000 * MS;
	change_holder(7, "a");
	EXPECT_EQ(0, unserved_ms());
	clock.now += 1000 * MS;
	/* A change of the role without one of the holder has no effect. */
	change_holder(7, "a");
	EXPECT_EQ(1000, unserved_ms());
	/* Nor has a record that its holder writes again with other voters. */
	change_holder(8, "a");
	EXPECT_EQ(1000, unserved_ms());
	change_holder(9, "b");
	EXPECT_EQ(0, unserved_ms());
	clock.now += 1000 * MS;
	learn(2, false);
	EXPECT_EQ(0, unserved_ms());
}

/* Watermarks are not requested for a group without callers. */
TEST_F(ProxyWatermark, TimeWithoutCallersIsNotUnservedTime)
{
	kb_proxy_group_mark_used(group.get(), clock.now);
	learn(1, false);
	clock.now += 60000 * MS;
	kb_proxy_group_mark_used(group.get(), clock.now);
	EXPECT_EQ(0, unserved_ms());
	for (int i = 0; i < 4; i++) {
		clock.now += 1000 * MS;
		kb_proxy_group_mark_used(group.get(), clock.now);
	}
	EXPECT_EQ(4000, unserved_ms());
}

/* The host has just started, and the holder is lost. */
TEST_F(ProxyWatermark, RequestsGoToTheVotersIfNoHolderEverAnswered)
{
	Loop loop;
	kb_voter_set_t *set = &group->lease.record.voters;

	kb_name_set(&proxy->self.name, KB_STR("self"));
	ASSERT_EQ(KB_OK,
		  kb_hosts_init_at(&proxy->hosts, loop.base, &proxy->self));
	for (const char *name : { "holder", "c1", "c2" }) {
		kb_host_info_t place = {};

		kb_name_set(&place.name, kb_str_from(name));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		kb_hosts_put(&proxy->hosts, &place);
		set->hosts[set->count++] = place.name;
	}
	group->lease.record.holder = set->hosts[0];
	group->used_at = clock.now;
	kb_proxy_group_request_watermark(group.get(), clock.now);
	EXPECT_EQ(1u, group->watermark_voter);
	learn(1, true);
	clock.now += 800 * MS;
	kb_proxy_group_request_watermark(group.get(), clock.now);
	EXPECT_EQ(2u, group->watermark_voter);
	/* Once the holder has answered, only it is asked. */
	learn(2, false);
	clock.now += 300 * MS;
	kb_proxy_group_request_watermark(group.get(), clock.now);
	EXPECT_EQ(2u, group->watermark_voter);
	for (size_t i = 0; i < proxy->hosts.count; i++)
		kb_rpc_peer_finish(&proxy->hosts.hosts[i]->peer);
	kb_hosts_finish(&proxy->hosts);
}

TEST_F(ProxyWatermark, ACachedWatermarkSaysWhetherItCameFromAHolder)
{
	kbs_stamp told = {};

	learn(1, false);
	kb_proxy_group_cached_watermark(group.get(), &told);
	EXPECT_TRUE(told.valid);
	EXPECT_FALSE(told.vacant);
	clock.now += 300 * MS;
	learn(1, true);
	told = {};
	kb_proxy_group_cached_watermark(group.get(), &told);
	EXPECT_TRUE(told.valid);
	EXPECT_TRUE(told.vacant);
}
