#include "str.h"

#include <gtest/gtest.h>

TEST(Str, ExtendsIsTrueOnlyForLongerStrings)
{
	EXPECT_TRUE(kb_str_extends(KB_STR("hold/g1"), KB_STR("hold/")));
	EXPECT_TRUE(kb_str_extends(KB_STR("g"), KB_STR("")));
	EXPECT_FALSE(kb_str_extends(KB_STR("hold/"), KB_STR("hold/")));
	EXPECT_FALSE(kb_str_extends(KB_STR("held/g1"), KB_STR("hold/")));
	EXPECT_FALSE(kb_str_extends(KB_STR(""), KB_STR("")));
	EXPECT_FALSE(kb_str_extends(KB_STR("ho"), KB_STR("hold/")));
}
