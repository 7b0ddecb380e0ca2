#include "fake_link_connector.h"
#include "lease_order.h"
#include "proxy_internal.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A group of three targets whose only voter is this host. */
class ProxyVacancy : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();
	kb_lease_ops_t ops{};

	ProxyVacancy()
	{
		kb_name_t self;

		*proxy = {};
		*group = {};
		time.now = 100 * KB_NS_PER_S;
		proxy->clock = &time.base;
		proxy->setup.connector = &connector.base;
		kb_name_set(&self, KB_STR("self"));
		proxy->self.name = self;
		EXPECT_EQ(KB_OK, kb_hosts_init_at(&proxy->hosts, nullptr,
						  &proxy->self));
		group->proxy = proxy.get();
		kb_name_set(&group->name, KB_STR("g"));
		kb_name_set(&group->primary, KB_STR("p"));
		group->primary_term = 4;
		add("p");
		add("q");
		add("r");
		ops.changed = [](void *, kb_lease_t *) {};
		kb_lease_init(&group->lease, &ops, nullptr, &group->name, &self,
			      0, time.now);
		read_key();
	}

	~ProxyVacancy() override
	{
		kb_proxy_probes_finish(group.get());
		kb_target_list_finish(&proxy->targets);
		kb_hosts_finish(&proxy->hosts);
	}

	/* `address_of`: the target whose address it has, else its own. */
	void add(const char *name, bool leaving = false,
		 const char *address_of = nullptr, uint64_t started_at = 0)
	{
		kb_target_entry_t entry = {};

		entry.leaving = leaving;
		entry.place.group = group->name;
		kb_name_set(&entry.place.target, kb_str_from(name));
		kb_name_set(&entry.place.endpoint.address,
			    kb_str_from(address_of ? address_of : name));
		entry.started_at_ms = started_at;
		kb_target_list_put(&proxy->targets, &entry);
	}

	/* The store's entry of a target is removed. */
	void remove_entry(const char *name)
	{
		kb_proxy_vacancy_sync_targets(group.get(), time.now);
		kb_target_list_remove(&proxy->targets, kb_str_from(name));
		kb_proxy_vacancy_sync_targets(group.get(), time.now);
	}

	/* Another host holds the group, and it is lost. */
	void read_key()
	{
		kb_lease_record_t record = {};

		kb_name_set(&record.holder, KB_STR("lost"));
		record.settled = 1;
		record.voters.count = 1;
		record.voters.hosts[0] = proxy->self.name;
		kb_lease_on_read(&group->lease, time.now, KB_OK, &record, 5,
				 time.now);
	}

	void grant()
	{
		kb_name_t lost;

		kb_name_set(&lost, KB_STR("lost"));
		EXPECT_TRUE(
			kb_lease_grant(&group->lease, &lost, 5, 1, time.now));
	}

	/* Requests the watermark of the vacant group and runs a tick. */
	kbs_stamp ask()
	{
		kbs_stamp stamp = {};

		kb_proxy_vacancy_watermark(group.get(), &stamp);
		kb_proxy_vacancy_tick(group.get(), time.now);
		return stamp;
	}

	/* A target answers the STATUS that it was sent last. */
	void report(const char *target, bool primary, uint64_t term,
		    uint64_t position)
	{
		kb_reply_t reply = {};
		FakeLink *link = nullptr;

		for (FakeLink *each : connector.links)
			if (!each->closed && each->target == target)
				link = each;
		ASSERT_NE(nullptr, link) << target;
		if (link->opening)
			connector.opened(link);
		ASSERT_TRUE(link->waiting) << target;
		link->waiting = false;
		reply.signature = reply.message = KB_STR("");
		reply.report.is_primary = primary;
		reply.report.term = term;
		reply.report.received = { term, position };
		link->base.events->answered(link->base.ctx, &reply);
	}

	/* Reports of a group without a later primary than p. */
	void report_all(uint64_t position)
	{
		report("p", true, 4, position);
		report("q", false, 4, position - 1);
		report("r", false, 4, position - 2);
	}
};

} // namespace

TEST_F(ProxyVacancy, NeedsAReportOfEachTargetInThePrimarysTerm)
{
	time.now += 2000 * MS;
	EXPECT_FALSE(ask().valid);
	EXPECT_TRUE(group->vacancy.probed);
	report("p", true, 4, 70);
	EXPECT_FALSE(ask().valid) << "one target of three";
	report("q", false, 4, 69);
	EXPECT_FALSE(ask().valid) << "two targets of three";
	report("r", false, 4, 10);
	kbs_stamp stamp = ask();
	EXPECT_TRUE(stamp.valid);
	EXPECT_TRUE(stamp.vacant);
	EXPECT_EQ(70u, stamp.point.position);
}

/*
 * review/5: reads are bounded by the position of a replaced primary. The three
 * targets report in each order; q was promoted, r has received nothing since.
 */
TEST_F(ProxyVacancy, AReplacedPrimaryBoundsNothingInWhateverOrderTargetsReport)
{
	std::vector<std::string> order = { "p", "q", "r" };

	do {
		/* Each order is that of a host which has heard of nothing. */
		kb_proxy_probes_finish(group.get());
		group->vacancy = {};
		time.now += 2000 * MS;
		ask();
		for (const std::string &target : order) {
			if (target == "q")
				report("q", true, 5, 80);
			else
				report(target.c_str(), target == "p", 4, 70);
			EXPECT_FALSE(ask().valid)
				<< order[0] << order[1] << order[2];
		}
	} while (std::next_permutation(order.begin(), order.end()));
}

/* The new primary does not answer at all. */
TEST_F(ProxyVacancy, ASilentTargetMayHaveBeenPromoted)
{
	time.now += 2000 * MS;
	ask();
	report("p", true, 4, 70);
	report("r", false, 4, 70);
	EXPECT_FALSE(ask().valid);
}

/* A later term that was reported once is not forgotten by the next check. */
TEST_F(ProxyVacancy, ALaterTermIsRememberedByLaterChecks)
{
	time.now += 2000 * MS;
	ask();
	report("q", false, 5, 80);
	report("p", true, 4, 70);
	report("r", false, 4, 70);
	time.now += 300 * MS;
	ask();
	report_all(71);
	EXPECT_FALSE(ask().valid);
}

TEST_F(ProxyVacancy, ALaterTermEndsAVacancyThatWasFound)
{
	time.now += 2000 * MS;
	ask();
	report_all(70);
	EXPECT_TRUE(ask().valid);
	time.now += 300 * MS;
	ask();
	report("q", true, 5, 80);
	EXPECT_FALSE(ask().valid);
}

/*
 * A target that is promoted after it reported its term has acknowledged none of
 * the commits up to the request for that report.
 */
TEST_F(ProxyVacancy, HoldsUpToTheFirstRequestForAReport)
{
	time.now += 2000 * MS;
	ask();
	kb_time_t requested_at = time.now;
	report("q", false, 4, 69);
	report("r", false, 4, 69);
	time.now += 260 * MS;
	ask();
	report("p", true, 4, 90);
	kbs_stamp stamp = ask();
	ASSERT_TRUE(stamp.valid);
	EXPECT_EQ(90u, stamp.point.position);
	EXPECT_EQ(time.now - requested_at, stamp.age_us * KB_NS_PER_US);
	/* The next reports move it on. */
	report("q", false, 4, 69);
	report("r", false, 4, 69);
	EXPECT_EQ(requested_at, group->vacancy.found_at);
	time.now += 260 * MS;
	ask();
	report("p", true, 4, 95);
	EXPECT_EQ(requested_at + 260 * MS, group->vacancy.found_at);
}

/* Its entry expired, but it may be back and be promoted behind the cut. */
TEST_F(ProxyVacancy, ATargetWhoseEntryExpiredMayHaveBeenPromoted)
{
	time.now += 2000 * MS;
	remove_entry("r");
	ask();
	report("p", true, 4, 70);
	report("q", false, 4, 70);
	EXPECT_FALSE(ask().valid);
}

/* review/11: the entry of a target that is leaving expires by silence, too. */
TEST_F(ProxyVacancy, ATargetThatHasLeftIsNotWaitedForOnceItsHeirAnswers)
{
	time.now += 2000 * MS;
	add("r", true, "r", 3);
	remove_entry("r");
	ask();
	report("p", true, 4, 70);
	report("q", false, 4, 70);
	EXPECT_FALSE(ask().valid);
	add("s", false, "r", 5);
	time.now += 300 * MS;
	ask();
	report("p", true, 4, 70);
	report("q", false, 4, 70);
	EXPECT_FALSE(ask().valid);
	report("s", false, 4, 70);
	EXPECT_TRUE(ask().valid);
}

/*
 * The ordered target's entry expired with the store down; this host started
 * later and has never seen it.
 */
TEST_F(ProxyVacancy, AStandbyThatThisHostHasNeverSeenMayLead)
{
	kb_name_t standby;

	kb_name_set(&standby, KB_STR("x"));
	kb_target_names_add(&group->lease.record.standbys, &standby);
	time.now += 2000 * MS;
	ask();
	report_all(70);
	EXPECT_FALSE(ask().valid);
	add("x");
	time.now += 300 * MS;
	ask();
	report_all(71);
	EXPECT_FALSE(ask().valid);
	report("x", false, 4, 60);
	EXPECT_TRUE(ask().valid);
}

/* A holder that does not know that it is leaving can't order it for long. */
TEST_F(ProxyVacancy, ATargetThatHasLeftMayLeadForSomeTime)
{
	for (bool leaving : { false, true }) {
		kb_proxy_probes_finish(group.get());
		group->vacancy = {};
		add("r", leaving);
		remove_entry("r");
		kb_time_t removed_at = time.now;
		for (kb_time_t waited : { 2, 39, 41 }) {
			time.now = removed_at + waited * KB_NS_PER_S;
			ask();
			report("p", true, 4, 70);
			report("q", false, 4, 70);
			EXPECT_EQ(leaving && waited == 41, ask().valid)
				<< waited;
		}
	}
}

/* The voters on this side have been told of an order to an unknown target. */
TEST_F(ProxyVacancy, AnOpenOrderToATargetWithoutAnEntryRulesItOut)
{
	kb_promotion_order_t order = {};

	order.number = 1;
	order.term = 4;
	kb_name_set(&order.target, KB_STR("x"));
	kb_lease_learn_order(&group->lease, &order);
	time.now += 2000 * MS;
	ask();
	report_all(70);
	EXPECT_FALSE(ask().valid);
	add("x");
	time.now += 300 * MS;
	ask();
	report_all(71);
	EXPECT_FALSE(ask().valid);
	report("x", false, 4, 60);
	EXPECT_TRUE(ask().valid);
}

TEST_F(ProxyVacancy, APrimaryThatSteppedDownRulesItOut)
{
	time.now += 2000 * MS;
	ask();
	report("p", false, 4, 70);
	report("q", false, 4, 70);
	report("r", false, 4, 70);
	EXPECT_FALSE(ask().valid);
}

TEST_F(ProxyVacancy, ARecentGrantOfAVoterRulesItOut)
{
	time.now += 2000 * MS;
	grant();
	time.now += (KB_LEASE_DURATION_MS - 100) * MS;
	ask();
	EXPECT_TRUE(connector.links.empty());
	time.now += 400 * MS;
	ask();
	EXPECT_EQ(3u, connector.links.size());
}

TEST_F(ProxyVacancy, IsReportedForAShortTimeAndForItsRevisionOnly)
{
	time.now += 2000 * MS;
	ask();
	report_all(70);
	EXPECT_TRUE(ask().valid);
	group->lease.revision++;
	EXPECT_FALSE(ask().valid);
	group->lease.revision--;
	time.now += 700 * MS;
	EXPECT_FALSE(ask().valid);
}
