#include "load/move_time.h"

#include <gtest/gtest.h>

/* A burst after a cut, when the former holders want their groups back. */
TEST(MoveTime, AGroupIsNotMovedWhileStatementsWaitForItsTarget)
{
	struct {
		int wanted_s;
		unsigned waiting, slots;
		int move;
	} cases[] = {
		{ 2, 0, 6, 0 },	 { 3, 0, 6, 1 },   { 3, 5, 6, 1 },
		{ 3, 6, 6, 0 },	 { 14, 60, 6, 0 }, { 15, 60, 6, 1 },
		{ 14, 0, 6, 1 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.move,
			  kb_move_time_has_come(c.wanted_s * KB_NS_PER_S,
						c.waiting, c.slots))
			<< c.wanted_s << " s, " << c.waiting << " waiting";
}
