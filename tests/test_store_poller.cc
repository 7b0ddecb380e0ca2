#include "recording_store.h"
#include "fake_time.h"
#include "store_poller.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

class StorePoller : public ::testing::Test
{
      protected:
	RecordingStore store;
	FakeTime time;
	kb_mirror_t mirror = {};
	kb_store_poller_t poller;

	void SetUp() override
	{
		kb_store_poller_init(&poller, &store.base, &mirror, &time.base,
				     1);
		kb_store_poller_enable(&poller, 1);
	}

	~StorePoller() override
	{
		kb_store_poller_finish(&poller);
		kb_mirror_finish(&mirror);
	}

	/* Fails the next call; returns the pause before the one after it. */
	kb_time_t pause_after_failure()
	{
		kb_time_t began;

		wait_for_call();
		if (store.calls.empty())
			return KB_TIME_NEVER;
		store.fail(KB_ERR_TIMEOUT);
		began = time.now;
		wait_for_call();
		return time.now - began;
	}

	void wait_for_call()
	{
		for (int i = 0; i < 10000 && store.calls.empty(); i++) {
			time.now += 10 * MS;
			kb_store_poller_tick(&poller);
		}
		ASSERT_FALSE(store.calls.empty());
	}
};

} // namespace

TEST_F(StorePoller, AReaderRetriesAtAFixedRate)
{
	for (int i = 0; i < 100; i++)
		EXPECT_LE(pause_after_failure(),
			  KB_STORE_POLLER_BACKOFF_MIN_MS * MS + 10 * MS);
}

/* A host may stop being a reader in the middle of a long outage. */
TEST_F(StorePoller, TheBackoffOfAFormerReaderStaysBounded)
{
	kb_time_t first;

	for (int i = 0; i < 100; i++)
		pause_after_failure();
	poller.exponential_backoff = 1;
	first = pause_after_failure();
	EXPECT_GE(first, KB_STORE_POLLER_BACKOFF_MIN_MS / 2 * MS);
	EXPECT_LE(first, KB_STORE_POLLER_BACKOFF_MIN_MS * MS + 10 * MS);
	for (int i = 0; i < 100; i++)
		EXPECT_LE(pause_after_failure(),
			  KB_STORE_POLLER_BACKOFF_MAX_MS * MS + 10 * MS);
	EXPECT_GE(pause_after_failure(),
		  KB_STORE_POLLER_BACKOFF_MAX_MS / 2 * MS);
}

TEST_F(StorePoller, ARestoredStoreIsReadWholeAndPolledFromItsNewRevision)
{
	kb_store_range_t before = { kb_store_revision(1, 500), 0, nullptr };
	kb_store_range_t after = { kb_store_revision(2, 20), 0, nullptr };
	RecordingStore::Call call;

	wait_for_call();
	call = store.take();
	call.on_range(call.ctx, KB_OK, &before);
	wait_for_call();
	ASSERT_EQ(RecordingStore::POLL, store.calls[0].kind);
	EXPECT_EQ(kb_store_revision(1, 500), store.calls[0].number);
	store.fail(KB_ERR_NOT_FOUND);
	EXPECT_TRUE(poller.reached);
	wait_for_call();
	ASSERT_EQ(RecordingStore::GET, store.calls[0].kind);
	/* It is restored again between two pages. */
	store.fail(KB_ERR_NOT_FOUND);
	wait_for_call();
	ASSERT_EQ(RecordingStore::GET, store.calls[0].kind);
	call = store.take();
	call.on_range(call.ctx, KB_OK, &after);
	wait_for_call();
	ASSERT_EQ(RecordingStore::POLL, store.calls[0].kind);
	EXPECT_EQ(kb_store_revision(2, 20), store.calls[0].number);
}
