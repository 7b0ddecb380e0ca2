#include "open_orders.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

kb_name_t name_of(const char *text)
{
	kb_name_t name;

	kb_name_set(&name, kb_str_from(text));
	return name;
}

/* The targets that are still open at `now`. */
size_t open_at(kb_open_orders_t &orders, kb_time_t now)
{
	kb_open_orders_expire(&orders, now);
	return orders.count;
}

} // namespace

TEST(OpenOrders, ARequestWithoutAnAnswerStaysOpenForItsTime)
{
	kb_open_orders_t orders = {};
	kb_name_t target = name_of("t");
	kb_time_t end = KB_OPEN_ORDERS_UNANSWERED_MAX_S * KB_NS_PER_S;

	EXPECT_TRUE(kb_open_orders_add(&orders, &target, 0));
	EXPECT_EQ(1u, open_at(orders, end - 1));
	EXPECT_EQ(0u, open_at(orders, end));
}

TEST(OpenOrders, AnAnswerEndsARequest)
{
	for (bool accepted : { false, true }) {
		kb_open_orders_t orders = {};
		kb_name_t target = name_of("t");

		kb_open_orders_add(&orders, &target, 0);
		kb_open_orders_on_answer(&orders, KB_STR("t"), accepted,
					 100 * MS);
		EXPECT_EQ(accepted ? 1u : 0u, open_at(orders, 100 * MS));
		EXPECT_EQ(0u, open_at(orders, 2100 * MS));
	}
}

/* The answer to a repeated request tells nothing about the first one. */
TEST(OpenOrders, ALostAnswerKeepsATargetOpenWhenTheNextRequestIsAnswered)
{
	kb_open_orders_t orders = {};
	kb_order_targets_t names;
	kb_name_t target = name_of("t");

	kb_open_orders_add(&orders, &target, 0);
	kb_open_orders_names(&orders, &target, &names);
	EXPECT_EQ(1u, names.count);
	kb_open_orders_add(&orders, &target, 2000 * MS);
	kb_open_orders_on_answer(&orders, KB_STR("t"), 1, 2100 * MS);
	EXPECT_EQ(1u, open_at(orders, 21000 * MS));
	EXPECT_EQ(0u, open_at(orders, 22000 * MS));
}

/* An accepted request is named by orders to promote other targets only. */
TEST(OpenOrders, AnAcceptedRequestIsNotNamedByItsOwnOrder)
{
	kb_open_orders_t orders = {};
	kb_order_targets_t names;
	kb_name_t target = name_of("t");
	kb_name_t other = name_of("u");

	kb_open_orders_add(&orders, &target, 0);
	kb_open_orders_on_answer(&orders, KB_STR("t"), 1, 0);
	kb_open_orders_names(&orders, &target, &names);
	EXPECT_EQ(0u, names.count);
	kb_open_orders_names(&orders, &other, &names);
	EXPECT_EQ(1u, names.count);
}

/* A request that could not be remembered is not sent. */
TEST(OpenOrders, NoRequestIsAddedForTooManyTargets)
{
	kb_open_orders_t orders = {};
	kb_order_targets_t more = {};
	kb_name_t first = name_of("0");

	for (char digit = '0'; digit < '0' + KB_ORDER_TARGETS_MAX; digit++) {
		char text[] = { digit, 0 };
		kb_name_t target = name_of(text);

		EXPECT_TRUE(kb_open_orders_add(&orders, &target, 0));
	}
	more.count = 1;
	more.names[0] = name_of("x");
	EXPECT_FALSE(kb_open_orders_add(&orders, &more.names[0], 0));
	kb_open_orders_add_all(&orders, &more, 0);
	EXPECT_EQ(size_t{ KB_ORDER_TARGETS_MAX }, orders.count);
	EXPECT_TRUE(kb_open_orders_add(&orders, &first, 0));
}
