#include "account.h"

#include <gtest/gtest.h>
#include <string>

#define TOKEN "0123456789abcdef"

class Account : public testing::Test
{
      protected:
	kb_accounts_t accounts;

	void SetUp() override
	{
		kb_accounts_init(&accounts);
		EXPECT_EQ(KB_OK,
			  kb_accounts_add(&accounts, KB_STR("anna"),
					  KB_ACCOUNT_WRITE, KB_STR(TOKEN)));
		EXPECT_EQ(KB_OK,
			  kb_accounts_add(&accounts, KB_STR("rita"),
					  KB_ACCOUNT_READ, KB_STR("other")));
	}

	void TearDown() override
	{
		kb_accounts_finish(&accounts);
	}
};

TEST_F(Account, RefusesEmptyTokensAndNamesThatDoNotFit)
{
	std::string name(KB_NAME_MAX_BYTES + 1, 'a');

	EXPECT_EQ(KB_ERR_INVALID, kb_accounts_add(&accounts, KB_STR("a"),
						  KB_ACCOUNT_READ, KB_STR("")));
	EXPECT_EQ(KB_ERR_INVALID,
		  kb_accounts_add(&accounts, KB_STR(""), KB_ACCOUNT_READ,
				  KB_STR(TOKEN)));
	EXPECT_EQ(KB_ERR_INVALID,
		  kb_accounts_add(&accounts, { name.data(), name.size() },
				  KB_ACCOUNT_READ, KB_STR(TOKEN)));
	EXPECT_EQ(2u, accounts.count);
}

TEST_F(Account, RefusesForeignSchemesAndTokens)
{
	for (const char *header :
	     { "", "Bearer ", "Bearer", "Basic " TOKEN,
	       "Bearer 0123456789abcde", "Bearer " TOKEN "0", "Bearer  " TOKEN,
	       TOKEN })
		EXPECT_EQ(nullptr, kb_accounts_find(&accounts, header))
			<< header;
	EXPECT_EQ(nullptr, kb_accounts_find(&accounts, nullptr));
}

TEST_F(Account, FindsTheBearerWithItsRole)
{
	const kb_account_t *anna = kb_accounts_find(&accounts, "bearer " TOKEN);
	const kb_account_t *rita = kb_accounts_find(&accounts, "Bearer other");

	ASSERT_NE(nullptr, anna);
	ASSERT_NE(nullptr, rita);
	EXPECT_STREQ("anna", anna->name.data);
	EXPECT_EQ(KB_ACCOUNT_WRITE, anna->role);
	EXPECT_EQ(KB_ACCOUNT_READ, rita->role);
}
