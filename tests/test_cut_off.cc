#include "fake_server.h"
#include "fake_time.h"
#include "load/cut_off.h"
#include "proxy_statement.h"
#include "group_index.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host's view of a group that another host holds with three voters. */
class CutOff : public ::testing::Test
{
      protected:
	Loop loop;
	FakeTime clock;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();
	kb_proxy_group_t *groups[1] = { group.get() };
	kb_proxy_session_t *session = nullptr;
	std::vector<kb_query_answer_t> answers;

	CutOff()
	{
		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		*group = {};
		proxy->clock = &clock.base;
		proxy->groups = groups;
		proxy->group_count = 1;
		group->proxy = proxy.get();
		kb_name_set(&group->name, KB_STR("g"));
		index_group(proxy.get(), group.get());
		kb_name_set(&proxy->self.name, KB_STR("self"));
		EXPECT_EQ(KB_OK, kb_proxy_stats_init(&proxy->stats));
		EXPECT_EQ(KB_OK, kb_hosts_init_at(&proxy->hosts, loop.base,
						  &proxy->self));
		for (const char *name : { "v1", "v2", "v3", "w1", "w2" })
			add_host(name);
		group->lease.known = 1;
		group->lease.record.settled = 1;
		set_voters(&group->lease.record.voters, { "v1", "v2", "v3" });
		kb_name_set(&group->lease.record.holder, KB_STR("v1"));
		configure();
		EXPECT_EQ(KB_OK, kb_proxy_session_open(&session, proxy.get(),
						       KB_STR("db"), KB_STR(""),
						       on_answer, this));
		kb_proxy_group_mark_used(group.get(), clock.now);
		served();
	}

	~CutOff() override
	{
		kb_proxy_session_close(session);
		clear_group_index(proxy.get());
		kb_hosts_finish(&proxy->hosts);
		kb_databases_finish(&proxy->databases);
		kb_proxy_stats_finish(&proxy->stats);
		kb_proxy_loads_finish(proxy.get());
	}

	void configure()
	{
		kb_databases_t *databases = &proxy->databases;

		databases->version = 1;
		databases->databases = static_cast<kb_database_t *>(
			calloc(1, sizeof(kb_database_t)));
		databases->database_count = 1;
		kb_name_set(&databases->databases[0].name, KB_STR("db"));
		kb_name_set(&databases->databases[0].group, KB_STR("g"));
		databases->databases[0].consistency = KB_READ_STRONG;
		databases->databases[0].timeout = 1000 * MS;
		databases->databases[0].objective = 400 * MS;
	}

	void add_host(const char *name)
	{
		kb_host_info_t info = {};

		kb_name_set(&info.name, kb_str_from(name));
		kb_name_set(&info.endpoint.address, KB_STR("127.0.0.1"));
		info.endpoint.port = 1;
		kb_hosts_put(&proxy->hosts, &info)->live = 1;
	}

	static void set_voters(kb_voter_set_t *set,
			       std::initializer_list<const char *> names)
	{
		set->count = 0;
		for (const char *name : names)
			kb_name_set(&set->hosts[set->count++],
				    kb_str_from(name));
	}

	void served()
	{
		group->served_at = clock.now;
	}

	void fail(std::initializer_list<const char *> names,
		  kb_result_t result = KB_ERR_TIMEOUT)
	{
		for (const char *name : names)
			kb_proxy_host_failed(
				proxy.get(),
				kb_hosts_find(&proxy->hosts, kb_str_from(name)),
				result);
	}

	bool cut_off()
	{
		return kb_proxy_group_is_cut_off(group.get(), clock.now);
	}

	void write()
	{
		kb_query_t query = {};

		query.verb = KB_QUERY_WRITE;
		query.id = KB_STR("q1");
		query.body = KB_STR("item 1");
		kb_proxy_session_query(session, &query);
	}

      private:
	static void on_answer(void *ctx, const kb_query_answer_t *answer)
	{
		static_cast<CutOff *>(ctx)->answers.push_back(*answer);
	}
};

} // namespace

TEST(CutOffDecide, NeedsASilentMajorityAndATimeWithoutService)
{
	struct {
		kb_time_t unserved;
		unsigned voters, silent;
		int cut_off;
	} cases[] = {
		{ 5000 * MS, 5, 3, 1 }, { 5000 * MS, 5, 2, 0 },
		{ 5000 * MS, 0, 0, 0 }, { 5000 * MS, 1, 1, 1 },
		{ 700 * MS, 3, 3, 1 },	{ 699 * MS, 3, 3, 0 },
		{ 0, 3, 3, 0 },
	};

	for (const auto &c : cases) {
		kb_cut_off_view_t view = { c.unserved, c.voters, c.silent };

		EXPECT_EQ(c.cut_off, kb_cut_off_decide(&view))
			<< c.unserved << " " << c.silent;
	}
}

TEST_F(CutOff, AStatementIsRefusedAtOnceAndSentToAnotherHost)
{
	fail({ "v1", "v2" });
	clock.now += 800 * MS;
	write();
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_ERR_NO_PRIMARY, answers[0].result);
	EXPECT_TRUE(answers[0].try_other_host);
	EXPECT_LE(answers[0].retry, 50 * MS);
	EXPECT_EQ(1u, proxy->stats.cut_off);
	EXPECT_EQ(0u, session->attempts);
}

/* A holder that fails alone is replaced while the statement waits. */
TEST_F(CutOff, AFailedHolderWithVotersThatAnswerIsWaitedFor)
{
	fail({ "v1" });
	clock.now += 800 * MS;
	EXPECT_FALSE(cut_off());
	write();
	EXPECT_TRUE(answers.empty());
}

/* A write to a silent host would only end with an unknown outcome. */
TEST_F(CutOff, NothingIsSentToASilentHolder)
{
	fail({ "v1" });
	clock.now += 400 * MS;
	write();
	EXPECT_TRUE(answers.empty());
	EXPECT_EQ(0u, session->attempts);
	/* It was seen serving after all. */
	served();
	clock.now += 100 * MS;
	kb_proxy_sessions_tick(proxy.get(), clock.now);
	EXPECT_EQ(1u, session->attempts);
	/* Ends the call. */
	kb_rpc_peer_reset(&kb_hosts_find(&proxy->hosts, KB_STR("v1"))->peer);
}

/* Processes that are restarted refuse connections and are back soon. */
TEST_F(CutOff, VotersThatRefuseConnectionsAreNotBehindACut)
{
	fail({ "v1", "v2", "v3" }, KB_ERR_CLOSED);
	clock.now += 800 * MS;
	EXPECT_FALSE(cut_off());
}

TEST_F(CutOff, AHostThatHasNeverSeenTheGroupServedKnowsNothing)
{
	group->served_at = 0;
	fail({ "v1", "v2", "v3" });
	clock.now += 5000 * MS;
	EXPECT_FALSE(cut_off());
}

/* A host on this side has taken the key, but may not serve. */
TEST_F(CutOff, ANewHolderWithoutTheFormerVotersCannotServe)
{
	kb_lease_record_t *record = &group->lease.record;

	record->settled = 0;
	record->former_voters = record->voters;
	set_voters(&record->voters, { "w1", "w2" });
	kb_name_set(&record->holder, KB_STR("w1"));
	fail({ "v2", "v3" });
	clock.now += 800 * MS;
	EXPECT_TRUE(cut_off());
	record->settled = 1;
	EXPECT_FALSE(cut_off());
}

TEST_F(CutOff, EndsWhenTheGroupIsSeenServed)
{
	fail({ "v1", "v2", "v3" });
	clock.now += 800 * MS;
	EXPECT_TRUE(cut_off());
	served();
	EXPECT_FALSE(cut_off());
}

TEST_F(CutOff, VotersInDoubtArePinged)
{
	const kb_host_t *voter = kb_hosts_find(&proxy->hosts, KB_STR("v2"));

	cut_off();
	EXPECT_FALSE(voter->pinging);
	clock.now += 400 * MS;
	cut_off();
	EXPECT_TRUE(voter->pinging);
	EXPECT_FALSE(kb_hosts_find(&proxy->hosts, KB_STR("w1"))->pinging);
}
