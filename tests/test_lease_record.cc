#include "lease_record.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <string>

namespace
{

kb_lease_record_t example()
{
	kb_lease_record_t record = {};
	kb_name_t copy;

	kb_name_set(&record.holder, KB_STR("h1"));
	record.settled = 1;
	record.grant = 41;
	record.voters.count = 1;
	record.voters.hosts[0] = record.holder;
	record.orders_unknown = 1;
	record.departures.count = 2;
	record.departures.truncated = 1;
	for (kb_departure_t *each : { &record.departures.departures[0],
				      &record.departures.departures[1] }) {
		kb_name_set(&each->target, KB_STR("t2"));
		kb_name_set(&each->endpoint.address, KB_STR("10.0.0.2"));
		each->endpoint.port = 5432;
		each->started_at_ms = 1700000000001;
	}
	kb_name_set(&record.departures.departures[1].heir, KB_STR("t5"));
	record.order.number = 3;
	record.order.term = 7;
	kb_name_set(&record.order.target, KB_STR("t2"));
	kb_name_set(&record.order.earlier, KB_STR("t3"));
	record.order.served_term = 8;
	record.order.unanswered.count = 2;
	kb_name_set(&record.order.unanswered.names[0], KB_STR("t3"));
	kb_name_set(&record.order.unanswered.names[1], KB_STR("t4"));
	for (const char *name : { "t1", "t2" }) {
		kb_name_set(&copy, kb_str_from(name));
		kb_target_names_add(&record.copies, &copy);
		kb_target_names_add(&record.standbys, &copy);
	}
	return record;
}

std::string format(const kb_lease_record_t &record)
{
	char *text = kb_lease_record_format(&record);
	std::string copy = text;

	free(text);
	return copy;
}

kb_result_t parse(kb_lease_record_t *record, const std::string &text)
{
	return kb_lease_record_parse(record, { text.data(), text.size() });
}

std::string replaced(std::string text, const std::string &from,
		     const std::string &to)
{
	return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(LeaseRecord, AnOrderAndCopiesAreRead)
{
	kb_lease_record_t record = example();
	kb_lease_record_t read;

	ASSERT_EQ(KB_OK, parse(&read, format(record)));
	EXPECT_TRUE(kb_promotion_order_equal(&record.order, &read.order));
	EXPECT_EQ(41, read.grant);
	EXPECT_TRUE(kb_target_names_equal(&record.copies, &read.copies));
	EXPECT_TRUE(kb_target_names_equal(&record.standbys, &read.standbys));
	EXPECT_TRUE(read.orders_unknown);
	EXPECT_TRUE(kb_departures_equal(&record.departures, &read.departures));
	read.departures.departures[0].heir = read.order.target;
	EXPECT_FALSE(kb_departures_equal(&record.departures, &read.departures));
}

/* As hosts of an earlier version write it. */
TEST(LeaseRecord, ARecordWithoutAnOrderOrCopiesIsRead)
{
	kb_lease_record_t record = example();
	kb_lease_record_t read;

	record.order = {};
	record.copies.count = 0;
	record.standbys.count = 0;
	record.departures.count = 0;
	std::string text = replaced(format(record), "\"grant\":41,", "");
	text = replaced(text, ",\"ordersUnknown\":true", "");
	text = replaced(text, ",\"moreCopies\":true", "");

	EXPECT_EQ(std::string::npos, text.find("promotion"));
	EXPECT_EQ(std::string::npos, text.find("copies"));
	EXPECT_EQ(std::string::npos, text.find("standbys"));
	ASSERT_EQ(KB_OK, parse(&read, text));
	EXPECT_EQ(0u, read.order.number);
	EXPECT_EQ(0, read.grant);
	EXPECT_EQ(0u, read.copies.count);
	EXPECT_EQ(0u, read.standbys.count);
	EXPECT_EQ(0u, read.departures.count);
	EXPECT_FALSE(read.departures.truncated);
	EXPECT_FALSE(read.orders_unknown);
}

TEST(LeaseRecord, AMalformedOrderOrCopyIsRejected)
{
	std::string text = format(example());
	std::string many = "\"copies\":[";
	kb_lease_record_t read;

	for (int i = 0; i < 17; i++)
		many += "\"t" + std::to_string(i) + "\",";
	many.back() = ']';
	for (const std::string &bad : {
		     replaced(text, "\"grant\":41", "\"grant\":\"41\""),
		     replaced(text, "\"number\":3", "\"number\":-3"),
		     replaced(text, "\"term\":7", "\"term\":\"7\""),
		     replaced(text, "\"target\":\"t2\"", "\"target\":2"),
		     replaced(text, "\"earlier\":\"t3\"", "\"earlier\":3"),
		     replaced(text, "\"served\":8", "\"served\":-8"),
		     replaced(text, "\"served\":8", "\"served\":\"8\""),
		     replaced(text, "\"unanswered\":[\"t3\",\"t4\"]",
			      "\"unanswered\":\"t3\""),
		     replaced(text, "[\"t3\",\"t4\"]", "[\"t3\",4]"),
		     replaced(text, "[\"t3\",\"t4\"]",
			      "[\"a\",\"b\",\"c\",\"d\",\"e\"]"),
		     replaced(text, "\"target\":\"t2\"",
			      "\"target\":\"" + std::string(300, 'x') + "\""),
		     replaced(text, "\"copies\":[\"t1\",\"t2\"]",
			      "\"copies\":{}"),
		     replaced(text, "\"copies\":[\"t1\",\"t2\"]",
			      "\"copies\":[1]"),
		     replaced(text, "\"copies\":[\"t1\",\"t2\"]", many),
		     replaced(text, "\"standbys\":[\"t1\",\"t2\"]",
			      "\"standbys\":[1]"),
		     replaced(text, "\"ordersUnknown\":true",
			      "\"ordersUnknown\":2"),
		     replaced(text, "\"port\":5432", "\"port\":65536"),
		     replaced(text, "\"port\":5432", "\"port\":-1"),
		     replaced(text, "1700000000001", "-1"),
		     replaced(text, ",\"heir\":\"t5\"", ""),
		     replaced(text, "\"moreCopies\":true", "\"moreCopies\":[]"),
	     })
		EXPECT_EQ(KB_ERR_PROTOCOL, parse(&read, bad)) << bad;
}
