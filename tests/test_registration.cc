#include "fake_time.h"
#include "recording_store.h"
#include "registration.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host that is registered under lease 7. */
class Registration : public ::testing::Test
{
      protected:
	RecordingStore store;
	FakeTime time;
	kb_registration_t registration;

	void SetUp() override
	{
		kb_host_info_t info = {};

		kb_name_set(&info.name, KB_STR("self"));
		kb_name_set(&info.data_centre, KB_STR("dc"));
		ASSERT_EQ(KB_OK,
			  kb_registration_init(&registration, &store.base,
					       &time.base, &info));
		tick(0);
		end_lease_call(RecordingStore::GRANT, 7);
		tick(0);
		end_put(7);
		ASSERT_TRUE(registration.written);
	}

	~Registration() override
	{
		kb_registration_finish(&registration);
	}

	void tick(int listed)
	{
		kb_registration_tick(&registration, listed);
	}

	/* Answers the call for a lease that is expected now. */
	void end_lease_call(RecordingStore::Kind kind, int64_t lease)
	{
		ASSERT_EQ(1u, store.calls.size());
		ASSERT_EQ(kind, store.calls[0].kind);
		RecordingStore::Call call = store.take();

		call.on_lease(call.ctx, KB_OK, lease, 12 * KB_NS_PER_S);
	}

	/* Answers the write under `lease` that is expected now. */
	void end_put(int64_t lease)
	{
		kb_store_written_t written = { kb_store_revision(1, 490),
					       nullptr };

		ASSERT_EQ(1u, store.calls.size());
		ASSERT_EQ(RecordingStore::PUT, store.calls[0].kind);
		ASSERT_EQ(lease, store.calls[0].number);
		RecordingStore::Call call = store.take();

		call.on_written(call.ctx, KB_OK, &written);
	}
};

} // namespace

/* Its lease may be gone, or be another host's by now. */
TEST_F(Registration, AKeyThatTheStoreLostIsWrittenAtOnceUnderANewLease)
{
	time.now += 100 * MS;
	tick(1);
	EXPECT_TRUE(store.calls.empty());
	kb_registration_refresh(&registration);
	tick(0);
	end_lease_call(RecordingStore::GRANT, 3);
	tick(0);
	end_put(3);
	EXPECT_TRUE(registration.written);
}

TEST_F(Registration, AKeyLostDuringAKeepAliveIsWrittenWhenThatEnds)
{
	time.now += KB_REGISTRATION_KEEPALIVE_INTERVAL_MS * MS;
	tick(1);
	kb_registration_refresh(&registration);
	end_lease_call(RecordingStore::KEEP, 7);
	tick(0);
	end_lease_call(RecordingStore::GRANT, 3);
	tick(0);
	end_put(3);
}

TEST_F(Registration, ALeaseThatIsGoneIsReplacedAtOnce)
{
	time.now += KB_REGISTRATION_KEEPALIVE_INTERVAL_MS * MS;
	tick(1);
	ASSERT_EQ(1u, store.calls.size());
	store.fail(KB_ERR_NOT_FOUND);
	tick(1);
	end_lease_call(RecordingStore::GRANT, 3);
	tick(1);
	end_put(3);
}

TEST_F(Registration, ALeaveDuringAKeepAliveIsAnnouncedWhenThatEnds)
{
	time.now += KB_REGISTRATION_KEEPALIVE_INTERVAL_MS * MS;
	tick(1);
	kb_registration_set_leaving(&registration);
	end_lease_call(RecordingStore::KEEP, 7);
	tick(1);
	end_put(7);
}
