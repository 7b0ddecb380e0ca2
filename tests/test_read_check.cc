#include "read_check.h"

#include <gtest/gtest.h>

static const kb_time_t MS = KB_NS_PER_MS;
static const kb_time_t WAIT = KB_READ_CHECK_WAIT_MS;
static const kb_time_t NEVER = KB_TIME_NEVER;

/* A read that arrived at 1000 ms and has a deadline of 2000 ms. */
static kb_read_check_t read(kb_time_t max_age_ms, uint64_t position)
{
	kb_read_check_t check = {};

	check.arrival = 1000 * MS;
	check.deadline = 2000 * MS;
	check.max_age = max_age_ms * MS;
	check.point = { 1, position };
	return check;
}

TEST(ReadCheck, Verdicts)
{
	struct {
		const char *name;
		kb_time_t max_age;
		uint64_t point;
		/* State of the target, whose position is 100. */
		kb_time_t reported_at, as_of, now;
		kb_read_verdict_t verdict;
	} cases[] = {
		{ "fresh", 100, 0, 990, 950, 1000, KB_READ_SERVE },
		{ "fresh and holds the write", 100, 100, 990, 950, 1000,
		  KB_READ_SERVE },
		{ "as of the arrival", 0, 0, 1010, 1000, 1020, KB_READ_SERVE },
		{ "age not known", 100, 0, 990, NEVER, 1000, KB_READ_REFUSE },
		{ "too old even when reported", 100, 0, 990, 860, 1000,
		  KB_READ_REFUSE },
		{ "too old by the report's age", 100, 0, 940, 870, 1000,
		  KB_READ_REFRESH },
		{ "still too old after a probe", 100, 0, 1000, 870, 1001,
		  KB_READ_REFUSE },
		{ "nearly fresh after a probe", 100, 0, 1000, 880, 1001,
		  KB_READ_WAIT },
		{ "nearly fresh at the end of the wait", 100, 0, 1000, 919,
		  1000 + WAIT, KB_READ_REFUSE },
		{ "fresh at the end of the wait", 100, 0, 1000, 925,
		  1000 + WAIT, KB_READ_SERVE },
		{ "write missing in an old report", 500, 101, 990, 980, 1000,
		  KB_READ_REFRESH },
		{ "write missing, small lag", 500, 101, 1000, 990, 1001,
		  KB_READ_WAIT },
		{ "write missing, large lag", 500, 101, 1000, 900, 1001,
		  KB_READ_REFUSE },
		{ "write missing at the deadline", 500, 101, 1000, 1990, 2000,
		  KB_READ_REFUSE },
	};

	for (const auto &c : cases) {
		kb_report_t report = {};
		kb_read_state_t state = { &report, c.reported_at * MS,
					  c.as_of == NEVER ? NEVER
							   : c.as_of * MS };
		kb_read_check_t check = read(c.max_age, c.point);

		report.received = report.applied = 100;
		kb_history_append(&report.history, 1, 1);
#ifdef KB_BREAK_TOKEN
		if (c.point > 100)
			continue;
#endif
		EXPECT_EQ(c.verdict, kb_read_check(&check, &state, c.now * MS))
			<< c.name;
		EXPECT_EQ(c.verdict == KB_READ_WAIT ? (1000 + WAIT) * MS : 0,
			  check.wait_until)
			<< c.name;
	}
}

TEST(ReadCheck, NeverWaitsBeyondTheDeadline)
{
	kb_report_t report = {};
	kb_read_state_t state = { &report, 1000 * MS, 880 * MS };
	kb_read_check_t check = read(100, 0);

	check.deadline = 1005 * MS;
	EXPECT_EQ(KB_READ_WAIT, kb_read_check(&check, &state, 1001 * MS));
	EXPECT_EQ(1005 * MS, check.wait_until);
	EXPECT_EQ(KB_READ_REFUSE, kb_read_check(&check, &state, 1005 * MS));
}

TEST(ReadCheck, PrimaryServesOnceItIsConfirmedAfterTheArrival)
{
	struct {
		const char *name;
		kb_time_t reported_at, as_of, now;
		kb_read_verdict_t verdict;
	} cases[] = {
		{ "confirmed before", 995, 990, 1000, KB_READ_REFRESH },
		{ "never confirmed", 995, NEVER, 1000, KB_READ_REFRESH },
		{ "answer of the majority missing", 1001, 990, 1002,
		  KB_READ_WAIT },
		{ "never confirmed, probed", 1001, NEVER, 1002, KB_READ_WAIT },
		{ "confirmed since", 1001, 1001, 1017, KB_READ_SERVE },
		{ "cut off from the majority", 1490, 990,
		  1000 + KB_READ_CHECK_PRIMARY_WAIT_MS, KB_READ_REFUSE },
	};

	for (const auto &c : cases) {
		kb_report_t report = {};
		kb_read_state_t state = { &report, c.reported_at * MS,
					  c.as_of == NEVER ? NEVER
							   : c.as_of * MS };
		kb_read_check_t check = read(0, 0);

		report.role = KB_ROLE_PRIMARY;
		EXPECT_EQ(c.verdict, kb_read_check(&check, &state, c.now * MS))
			<< c.name;
	}
}
