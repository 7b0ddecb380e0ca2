#include "sync_feed.h"
#include "text.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A copy of the store and the feed of its changes. */
class SyncFeed : public ::testing::Test
{
      protected:
	struct Reply {
		uint64_t revision;
		int64_t age_us;
		int64_t waited_us;
		std::string data;
		uint32_t size;
	};

	kb_mirror_t mirror = {};
	kb_mirror_t other = {};
	kb_sync_feed_t feed;
	kb_time_t now = KB_NS_PER_S;
	static std::map<size_t, Reply> replies;

	void SetUp() override
	{
		replies.clear();
		mirror.changed = other.changed =
			[](void *, kb_str_t, const kb_mirror_entry_t *) {};
		kb_sync_feed_init(&feed, &mirror);
		feed.reply = on_reply;
	}

	~SyncFeed() override
	{
		kb_sync_feed_finish(&feed);
		kb_mirror_finish(&mirror);
		kb_mirror_finish(&other);
	}

	static void on_reply(kb_rpc_request_t *request, const void *res)
	{
		auto *reply = static_cast<const kbs_feed_res *>(res);

		replies[(size_t)request] = {
			reply->revision, reply->age_us, reply->waited_us,
			std::string(reply->data.data_val, reply->data.data_len),
			reply->data_size
		};
	}

	void write(const std::string &key, const std::string &value,
		   int64_t revision)
	{
		kb_store_entry_t entry = {};
		kb_store_range_t range = { revision, 1, &entry };

		entry.key = { key.data(), key.size() };
		entry.value = { value.data(), value.size() };
		entry.revision = revision;
		entry.deleted = value.empty();
		ASSERT_EQ(KB_OK, kb_mirror_apply_changes(&mirror, &range, now));
	}

	/* Calls the feed; the reply is found under `number`. */
	void call(size_t number, const kbs_sync_args *args)
	{
		kb_sync_feed_add(&feed,
				 reinterpret_cast<kb_rpc_request_t *>(number),
				 args, now);
	}

	static kbs_sync_args args(int64_t revision, kb_time_t wait = 500 * MS)
	{
		kbs_sync_args args = {};

		args.revision = (uint64_t)revision;
		args.whole = revision ? FALSE : TRUE;
		args.wait_us = wait / KB_NS_PER_US;
		return args;
	}

	kb_result_t apply(const Reply &reply, kb_time_t sent_at)
	{
		kbs_feed_res res = {};

		res.revision = reply.revision;
		res.age_us = reply.age_us;
		res.waited_us = reply.waited_us;
		res.data_size = reply.size;
		res.data.data_val = const_cast<char *>(reply.data.data());
		res.data.data_len = (u_int)reply.data.size();
		return kb_sync_codec_apply(&other, &res, sent_at);
	}

	std::string value(const char *key)
	{
		const kb_mirror_entry_t *entry =
			kb_mirror_find(&other, kb_str_from(key));

		return entry ? std::string(entry->value.data, entry->value.len)
			     : "";
	}
};

std::map<size_t, SyncFeed::Reply> SyncFeed::replies;

} // namespace

TEST_F(SyncFeed, ACallWaitsForAChange)
{
	kbs_sync_args known = args(3);

	write("a", "1", 3);
	call(1, &known);
	now += 100 * MS;
	kb_sync_feed_tick(&feed, now);
	EXPECT_TRUE(replies.empty());
	write("a", "2", 4);
	kb_sync_feed_tick(&feed, now);
	ASSERT_EQ(1u, replies.size());
	EXPECT_EQ(4u, replies[1].revision);
	EXPECT_EQ(100000, replies[1].waited_us);
}

TEST_F(SyncFeed, ACallEndsWithoutAChange)
{
	kbs_sync_args known = args(3);

	write("a", "1", 3);
	call(1, &known);
	now += 499 * MS;
	kb_sync_feed_tick(&feed, now);
	EXPECT_TRUE(replies.empty());
	now += 1 * MS;
	kb_sync_feed_tick(&feed, now);
	ASSERT_EQ(1u, replies.size());
	EXPECT_EQ(0u, replies[1].size);
	EXPECT_EQ(500000, replies[1].age_us);
}

TEST_F(SyncFeed, ACallThatLacksChangesIsAnsweredAtOnce)
{
	kbs_sync_args none = args(0);
	kbs_sync_args old = args(3);
	kbs_sync_args no_wait = args(5, 0);

	write("a", "1", 3);
	write("b", "2", 5);
	call(1, &none);
	call(2, &old);
	call(3, &no_wait);
	EXPECT_EQ(3u, replies.size());
}

TEST_F(SyncFeed, ACallWithoutACopyWaitsUntilThereIsOne)
{
	kbs_sync_args none = args(0);

	call(1, &none);
	EXPECT_TRUE(replies.empty());
	write("a", "1", 3);
	kb_sync_feed_tick(&feed, now);
	ASSERT_EQ(1u, replies.size());
	ASSERT_EQ(KB_OK, apply(replies[1], now));
	EXPECT_EQ("1", value("a"));
}

TEST_F(SyncFeed, ChangesAreEncodedOnceForAllCalls)
{
	std::vector<kbs_sync_args> calls(50, args(3));

	write("a", "1", 3);
	for (size_t i = 0; i < calls.size(); i++)
		call(i + 1, &calls[i]);
	write("a", std::string(400000, 'x'), 4);
	kb_sync_feed_tick(&feed, now);
	EXPECT_EQ(calls.size(), replies.size());
	EXPECT_EQ(1u, feed.encoded);
	/* Alike entries of a configuration take few bytes. */
	EXPECT_LT(replies[1].data.size(), 10000u);
	write("b", "2", 5);
	call(99, &calls[0]);
	EXPECT_EQ(2u, feed.encoded);
}

TEST_F(SyncFeed, AHostFollowsThroughChangesAndRemovals)
{
	kbs_sync_args none = args(0);
	kbs_sync_args old;

	write("a", "1", 3);
	write("b", "2", 4);
	call(1, &none);
	ASSERT_EQ(KB_OK, apply(replies[1], now));
	write("a", "", 5);
	write("b", "3", 6);
	write("c", "4", 7);
	write("c", "", 8);
	old = args(4);
	call(2, &old);
	ASSERT_EQ(KB_OK, apply(replies[2], now));
	EXPECT_EQ("", value("a"));
	EXPECT_EQ("3", value("b"));
	EXPECT_EQ("", value("c"));
	EXPECT_EQ(8, other.revision);
}

TEST_F(SyncFeed, AHostThatLagsBehindTheKnownRemovalsGetsAWholeCopy)
{
	kbs_sync_args none = args(0);
	kbs_sync_args old = args(4);
	int64_t revision = 5;

	write("a", "1", 3);
	write("b", "2", 4);
	call(1, &none);
	ASSERT_EQ(KB_OK, apply(replies[1], now));
	write("a", "", revision++);
	for (int i = 0; i < KB_MIRROR_REMOVALS_MAX; i++) {
		write("x", "1", revision++);
		write("x", "", revision++);
	}
	call(2, &old);
	ASSERT_EQ(KB_OK, apply(replies[2], now));
	EXPECT_EQ("", value("a"));
	EXPECT_EQ("2", value("b"));
	EXPECT_EQ("", value("x"));
}

TEST_F(SyncFeed, AgesAddUpAndAreNeverTooSmall)
{
	kbs_sync_args none = args(0);
	kbs_sync_args known = args(3);
	kb_time_t sent_at;

	write("a", "1", 3);
	now += 700 * MS;
	call(1, &none);
	sent_at = now - 20 * MS;
	ASSERT_EQ(KB_OK, apply(replies[1], sent_at));
	EXPECT_EQ(KB_NS_PER_S - 20 * MS, other.as_of);
	/* The time that a call waits is no part of the age. */
	sent_at = now;
	call(2, &known);
	now += 500 * MS;
	mirror.as_of = now - 100 * MS;
	kb_sync_feed_tick(&feed, now);
	ASSERT_EQ(KB_OK, apply(replies[2], sent_at));
	EXPECT_EQ(now - 100 * MS, other.as_of);
}

TEST_F(SyncFeed, MalformedChangesAreRefused)
{
	kbs_sync_args none = args(0);
	Reply broken;

	write("a", "1", 3);
	call(1, &none);
	broken = replies[1];
	broken.data.resize(broken.data.size() / 2);
	EXPECT_EQ(KB_ERR_PROTOCOL, apply(broken, now));
	broken = replies[1];
	broken.size++;
	EXPECT_EQ(KB_ERR_PROTOCOL, apply(broken, now));
	broken.size = UINT32_MAX;
	EXPECT_EQ(KB_ERR_PROTOCOL, apply(broken, now));
	/* A newer revision without its changes. */
	broken.size = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, apply(broken, now));
	EXPECT_EQ(0, other.revision);
}

TEST_F(SyncFeed, AHostNeverGoesBack)
{
	kbs_sync_args none = args(0);
	Reply old;

	write("a", "1", 3);
	call(1, &none);
	old = replies[1];
	write("a", "2", 4);
	call(2, &none);
	ASSERT_EQ(KB_OK, apply(replies[2], now));
	ASSERT_EQ(KB_OK, apply(old, now));
	EXPECT_EQ("2", value("a"));
	EXPECT_EQ(4, other.revision);
}

/* The revision that it knows has the higher number. */
TEST_F(SyncFeed, AHostOfAnEarlierEraIsAnsweredAtOnceAndLosesWhatIsGone)
{
	kbs_sync_args none = args(0);
	kbs_sync_args old = args(kb_store_revision(1, 500));
	kb_store_entry_t restored = {};
	kb_store_range_t range = { kb_store_revision(2, 20), 1, &restored };
	Reply late;

	write("a", "lost", kb_store_revision(1, 499));
	write("gone", "lost", kb_store_revision(1, 500));
	call(1, &none);
	ASSERT_EQ(KB_OK, apply(replies[1], now));
	late = replies[1];
	restored.key = KB_STR("a");
	restored.value = KB_STR("older");
	restored.revision = kb_store_revision(2, 12);
	ASSERT_EQ(KB_OK, kb_mirror_apply_snapshot(&mirror, &range, now));
	call(2, &old);
	ASSERT_EQ(2u, replies.size());
	ASSERT_EQ(KB_OK, apply(replies[2], now));
	EXPECT_EQ("older", value("a"));
	EXPECT_EQ("", value("gone"));
	EXPECT_EQ(kb_store_revision(2, 20), other.revision);
	ASSERT_EQ(KB_OK, apply(late, now));
	EXPECT_EQ("older", value("a"));
	EXPECT_EQ(kb_store_revision(2, 20), other.revision);
}

TEST_F(SyncFeed, AWaitingCallOfAnEarlierEraEndsWithTheRestore)
{
	kbs_sync_args known = args(kb_store_revision(1, 500));
	kb_store_range_t range = { kb_store_revision(2, 20), 0, nullptr };

	write("a", "lost", kb_store_revision(1, 500));
	call(1, &known);
	EXPECT_TRUE(replies.empty());
	ASSERT_EQ(KB_OK, kb_mirror_apply_snapshot(&mirror, &range, now));
	kb_sync_feed_tick(&feed, now);
	ASSERT_EQ(1u, replies.size());
	EXPECT_EQ((uint64_t)kb_store_revision(2, 20), replies[1].revision);
}
