#include "fake_server.h"
#include "platform_store.h"

#include <string>

namespace
{

constexpr int64_t ERA_MAX = KB_STORE_ERA_MAX;

/* The platform's store, which tells its era in a header. */
class PlatformStore : public ::testing::Test
{
      protected:
	Loop loop;
	FakeServer server{ loop };
	kb_platform_store_t platform = {};
	const kb_store_keys_t keys = { KB_STR("a"), 1, 0 };
	std::string log;
	size_t answers = 0;

	PlatformStore()
	{
		kb_endpoint_t address = {};

		kb_name_set(&address.address, KB_STR("127.0.0.1"));
		address.port = server.port;
		kb_platform_store_init(&platform, loop.base, &address,
				       10 * KB_NS_PER_S);
	}

	~PlatformStore() override
	{
		kb_platform_store_finish(&platform);
	}

	kb_store_t *store()
	{
		return &platform.base;
	}

	/* An answer; without the header if `era` is empty. */
	void answer(const std::string &era, const std::string &body,
		    int status = 200)
	{
		Step step = { Step::ANSWER, status, { body } };

		if (!era.empty())
			step.headers = { { "Store-Era", era } };
		server.script.push_back(step);
	}

	static std::string text_of(int64_t revision)
	{
		return std::to_string(kb_store_era(revision)) + ":" +
		       std::to_string(kb_store_number(revision));
	}

	static void on_range(void *ctx, kb_result_t result,
			     const kb_store_range_t *range)
	{
		auto *test = static_cast<PlatformStore *>(ctx);

		test->log = kb_result_name(result);
		for (size_t i = 0; range && i < range->count; i++)
			test->log += " " +
				     std::string(range->entries[i].key.data,
						 range->entries[i].key.len) +
				     "@" + text_of(range->entries[i].revision) +
				     "/" + text_of(range->entries[i].created);
		if (range)
			test->log += " at " + text_of(range->revision);
		test->answers++;
	}

	static void on_written(void *ctx, kb_result_t result,
			       const kb_store_written_t *written)
	{
		auto *test = static_cast<PlatformStore *>(ctx);

		test->log = kb_result_name(result);
		if (!result)
			test->log += " " + text_of(written->revision);
		test->answers++;
	}

	std::string wait()
	{
		size_t before = answers;

		loop.run_until([&] { return answers > before; });
		return log;
	}

	std::string get()
	{
		EXPECT_EQ(KB_OK,
			  store()->ops->get(store(), &keys, on_range, this));
		return wait();
	}

	std::string poll(int64_t after)
	{
		EXPECT_EQ(KB_OK,
			  store()->ops->poll(store(), &keys, after, KB_NS_PER_S,
					     on_range, this));
		return wait();
	}

	std::string put(int64_t expected)
	{
		kb_store_write_t write = {};

		write.key = KB_STR("a");
		write.value = KB_STR("v");
		write.expected = expected;
		EXPECT_EQ(KB_OK,
			  store()->ops->put(store(), &write, on_written, this));
		return wait();
	}

	std::string remove(int64_t expected)
	{
		kb_store_write_t write = {};

		write.key = KB_STR("a");
		write.expected = expected;
		EXPECT_EQ(KB_OK, store()->ops->remove(store(), &write,
						      on_written, this));
		return wait();
	}

	static std::string page(const char *key, int64_t revision,
				int64_t current, bool has_more = false)
	{
		return R"({"items": [{"key": ")" + std::string(key) +
		       R"(", "value": "", "revision": )" +
		       std::to_string(revision) + R"(, "created": 3}],
		       "has_more": )" +
		       (has_more ? "true" : "false") + R"(, "current_rev": )" +
		       std::to_string(current) + "}";
	}

	static std::string event(int64_t revision, int64_t current)
	{
		return R"({"events": [{"key": "a", "value": "", "revision": )" +
		       std::to_string(revision) +
		       R"(, "created": 3}], "current_rev": )" +
		       std::to_string(current) + "}";
	}
};

const char *const MALFORMED_ERAS[] = { "x", "1x", "-1", "1.5",
				       "99999999999999999999" };

} // namespace

TEST_F(PlatformStore, RevisionsAreOfTheEraInWhichTheStoreAnswers)
{
	answer("2", page("a", 7, 9));
	EXPECT_EQ("ok a@2:7/2:3 at 2:9", get());
	answer("2", event(11, 12));
	EXPECT_EQ("ok a@2:11/2:3 at 2:12", poll(kb_store_revision(2, 9)));
	answer("2", R"({"revision": 13})");
	EXPECT_EQ("ok 2:13", put(kb_store_revision(2, 11)));
	answer("2", R"({"revision": 14})");
	EXPECT_EQ("ok 2:14", remove(kb_store_revision(2, 13)));
}

TEST_F(PlatformStore, AStoreThatTellsNoEraIsInTheFirst)
{
	answer("", page("a", 7, 9));
	EXPECT_EQ("ok a@0:7/0:3 at 0:9", get());
	answer("", event(11, 12));
	EXPECT_EQ("ok a@0:11/0:3 at 0:12", poll(9));
	answer("", R"({"revision": 13})");
	EXPECT_EQ("ok 0:13", put(11));
}

TEST_F(PlatformStore, TheLastEraAndNumberFitIntoARevision)
{
	answer(std::to_string(ERA_MAX),
	       page("a", KB_STORE_NUMBER_MAX, KB_STORE_NUMBER_MAX));
	EXPECT_EQ("ok a@" + text_of(INT64_MAX) + "/" +
			  text_of(kb_store_revision(ERA_MAX, 3)) + " at " +
			  text_of(INT64_MAX),
		  get());
	answer("1", page("a", 7, KB_STORE_NUMBER_MAX + 1));
	EXPECT_EQ(kb_result_name(KB_ERR_PROTOCOL), get());
}

TEST_F(PlatformStore, AnEraThatCannotBeReadIsNoBasisOfARevision)
{
	std::vector<std::string> eras(std::begin(MALFORMED_ERAS),
				      std::end(MALFORMED_ERAS));

	eras.push_back(std::to_string(ERA_MAX + 1));
	for (const std::string &era : eras) {
		answer(era, page("a", 7, 9));
		EXPECT_EQ(kb_result_name(KB_ERR_PROTOCOL), get()) << era;
		answer(era, event(11, 12));
		EXPECT_EQ(kb_result_name(KB_ERR_PROTOCOL), poll(9)) << era;
		/* The store has accepted it all the same. */
		answer(era, R"({"revision": 13})");
		EXPECT_EQ(kb_result_name(KB_ERR_UNKNOWN), put(11)) << era;
		answer(era, R"({"revision": 13})");
		EXPECT_EQ(kb_result_name(KB_ERR_UNKNOWN), put(KB_STORE_ANY))
			<< era;
	}
}

/* The number may have been given out again, and the store finds it. */
TEST_F(PlatformStore, APollDoesNotContinueInALaterEra)
{
	answer("2", event(501, 502));
	EXPECT_EQ(kb_result_name(KB_ERR_NOT_FOUND),
		  poll(kb_store_revision(1, 500)));
	answer("2", R"({"events": [], "current_rev": 500})");
	EXPECT_EQ(kb_result_name(KB_ERR_NOT_FOUND),
		  poll(kb_store_revision(1, 500)));
	answer("2", "", 410);
	EXPECT_EQ(kb_result_name(KB_ERR_NOT_FOUND),
		  poll(kb_store_revision(1, 500)));
}

TEST_F(PlatformStore, TheStoreIsToldNumbersWithoutTheirEra)
{
	answer("3", event(11, 12));
	poll(kb_store_revision(3, 9));
	EXPECT_EQ("/v1/kv-watch?prefix=a&after=9&wait_ms=1000",
		  server.requests[0].path);
	answer("3", R"({"revision": 14})");
	put(kb_store_revision(3, 11));
	EXPECT_NE(std::string::npos,
		  server.requests[1].body.find(
			  R"("expect":[{"key":"a","revision":11}])"))
		<< server.requests[1].body;
	answer("3", R"({"revision": 15})");
	remove(kb_store_revision(3, 14));
	EXPECT_NE(std::string::npos,
		  server.requests[2].body.find(
			  R"("expect":[{"key":"a","revision":14}])"))
		<< server.requests[2].body;
}

TEST_F(PlatformStore, PagesFromBeforeAndAfterARestoreAreNoCopy)
{
	answer("1", page("a", 7, 500, true));
	answer("2", page("b", 8, 20));
	EXPECT_EQ(kb_result_name(KB_ERR_NOT_FOUND), get());
	EXPECT_EQ("/v1/kv-range?prefix=a&after=a", server.requests[1].path);
	/* The era of the failed read is not kept. */
	answer("2", page("a", 7, 20, true));
	answer("2", page("b", 8, 21));
	EXPECT_EQ("ok a@2:7/2:3 b@2:8/2:3 at 2:20", get());
}

/* The store compares numbers; the condition held by chance. */
TEST_F(PlatformStore, AWriteOnARevisionOfAnEarlierEraCountsAsUnknown)
{
	answer("2", R"({"revision": 21})");
	EXPECT_EQ(kb_result_name(KB_ERR_UNKNOWN),
		  put(kb_store_revision(1, 20)));
	answer("2", R"({"revision": 22})");
	EXPECT_EQ(kb_result_name(KB_ERR_UNKNOWN),
		  remove(kb_store_revision(1, 21)));
	answer("2", R"({"items": []})", 412);
	EXPECT_EQ(kb_result_name(KB_ERR_CONFLICT),
		  put(kb_store_revision(1, 20)));
}

TEST_F(PlatformStore, AWriteOfAMissingOrAnyKeyHoldsInEveryEra)
{
	answer("1", R"({"revision": 20})");
	EXPECT_EQ("ok 1:20", put(KB_STORE_ABSENT));
	answer("2", R"({"revision": 18})");
	EXPECT_EQ("ok 2:18", put(KB_STORE_ABSENT));
	answer("2", R"({"revision": 19})");
	EXPECT_EQ("ok 2:19", put(KB_STORE_ANY));
	answer("3", R"({"revision": 17})");
	EXPECT_EQ("ok 3:17", remove(KB_STORE_ANY));
}

TEST_F(PlatformStore, AnAnswerWithoutItsEraIsNoneOnceTheStoreHasToldOne)
{
	answer("2", R"({"items": [], "current_rev": 7})");
	EXPECT_EQ("ok at 2:7", get());
	answer("", R"({"items": [], "current_rev": 8})");
	EXPECT_EQ("protocol", get());
}
