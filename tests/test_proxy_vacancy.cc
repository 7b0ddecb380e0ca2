#include "fake_link_connector.h"
#include "proxy_internal.h"

#include <gtest/gtest.h>
#include <memory>

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

	void add(const char *name)
	{
		kb_target_entry_t entry = {};

		entry.place.group = group->name;
		kb_name_set(&entry.place.target, kb_str_from(name));
		kb_target_list_put(&proxy->targets, &entry);
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

	void report(const char *target, bool primary, uint64_t term,
		    uint64_t position)
	{
		kb_target_report_t report = {};

		report.is_primary = primary;
		report.term = term;
		report.received = { term, position };
		kb_proxy_vacancy_on_probe(group.get(), kb_str_from(target),
					  &report);
	}
};

} // namespace

TEST_F(ProxyVacancy, NeedsAMajorityOfTargetsInThePrimarysTerm)
{
	time.now += 2000 * MS;
	EXPECT_FALSE(ask().valid);
	EXPECT_EQ(3u, group->vacancy.probed);
	report("p", true, 4, 70);
	EXPECT_FALSE(ask().valid) << "one target of three is no majority";
	report("q", false, 4, 69);
	kbs_stamp stamp = ask();
	EXPECT_TRUE(stamp.valid);
	EXPECT_TRUE(stamp.vacant);
	EXPECT_EQ(70u, stamp.point.position);
}

TEST_F(ProxyVacancy, ATargetInALaterTermRulesItOut)
{
	time.now += 2000 * MS;
	ask();
	report("q", false, 5, 80);
	report("p", true, 4, 70);
	report("r", false, 4, 70);
	EXPECT_FALSE(ask().valid);
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
	EXPECT_EQ(0u, group->vacancy.probed);
	time.now += 400 * MS;
	ask();
	EXPECT_EQ(3u, group->vacancy.probed);
}

TEST_F(ProxyVacancy, IsReportedForAShortTimeAndForItsRevisionOnly)
{
	time.now += 2000 * MS;
	ask();
	report("p", true, 4, 70);
	report("q", false, 4, 70);
	EXPECT_TRUE(ask().valid);
	group->lease.revision++;
	EXPECT_FALSE(ask().valid);
	group->lease.revision--;
	time.now += 700 * MS;
	EXPECT_FALSE(ask().valid);
}
