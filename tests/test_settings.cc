#include "settings.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

#define KEY_HEX \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char complete[] = "[host]\n"
			       "name = h1\n"
			       "data_centre = dc1\n"
			       "region = r1\n"
			       "[listen]\n"
			       "callers = 127.0.0.1:8101\n"
			       "hosts = [::1]:8301\n"
			       "[configuration]\n"
			       "seed = resources.json\n"
			       "[callers]\n"
			       "kalahari = token-1\n"
			       "[session_keys]\n"
			       "1 = " KEY_HEX "\n";

class Settings : public testing::Test
{
      protected:
	std::string faults;
	kb_settings_t *settings = nullptr;

	void TearDown() override
	{
		kb_settings_free(settings);
	}

	static void on_fault(void *ctx, const char *, int line, const char *key,
			     const char *message)
	{
		*static_cast<std::string *>(ctx) +=
			std::to_string(line) + " " + key + " " + message + "\n";
	}

	kb_result_t load(const std::string &text)
	{
		char path[] = "/tmp/kb-settings-XXXXXX";
		int fd = mkstemp(path);
		kb_result_t result;

		faults.clear();
		std::ofstream(path) << text;
		result = kb_settings_load(&settings, path, on_fault, &faults);
		close(fd);
		unlink(path);
		return result;
	}
};

TEST_F(Settings, CompleteFileLoads)
{
	ASSERT_EQ(KB_OK, load(complete)) << faults;
	EXPECT_STREQ("h1", settings->host.data);
	EXPECT_STREQ("::1", settings->listen_hosts.address.data);
	EXPECT_EQ(8301, settings->listen_hosts.port);
	EXPECT_EQ(1u, settings->caller_count);
}

TEST_F(Settings, RegionsOfDataCentresAreFound)
{
	kb_name_t centre;

	ASSERT_EQ(KB_OK, load(std::string(complete) + "[data_centres]\n"
						      "dc2 = r2\n"))
		<< faults;
	kb_name_set(&centre, KB_STR("dc2"));
	EXPECT_TRUE(kb_str_equal(KB_STR("r2"),
				 kb_settings_region(settings, &centre)));
	kb_name_set(&centre, KB_STR("dc3"));
	EXPECT_EQ(0u, kb_settings_region(settings, &centre).len);
}

TEST_F(Settings, ErrorsNameLineKeyAndReason)
{
	const struct {
		const char *line;
		const char *fault;
	} cases[] = {
		{ "[host]\ncolour = red\n", "15 host.colour is not a known" },
		{ "[hots]\nname = x\n", "15 hots.name is not a known" },
		{ "[host]\nname = h2\n", "15 host.name is given twice" },
		{ "[drain]\ngrace = 30\n", "15 drain.grace must be a dur" },
		{ "[drain]\ngrace = 2h\n", "15 drain.grace is out of range" },
		{ "[limits]\nbody = 64 KB\n", "15 limits.body must be a size" },
		{ "[limits]\nbody = 1B\n", "15 limits.body is out of range" },
		{ "[limits]\nrequests = -1\n", "15 limits.requests must be" },
		{ "[limits]\nrequests = 0\n", "15 limits.requests is out" },
		{ "[trace]\nsampling = 150%\n", "15 trace.sampling must be" },
		{ "[trace]\nsampling = nan%\n", "15 trace.sampling must be" },
		{ "[listen]\noperators = localhost:1\n",
		  "15 listen.operators" },
		{ "[listen]\noperators = 127.0.0.1:0\n",
		  "15 listen.operators" },
		{ "[peers]\nh2 = 127.0.0.1:1 dc1\n", "15 peers.h2 must be" },
		{ "[peers]\nh2 = 127.0.0.1:1 a b c\n", "15 peers.h2 must be" },
		{ "[operators]\nanna = admin tok\n", "15 operators.anna must" },
		{ "[operators]\nanna = read short\n",
		  "15 operators.anna needs" },
		{ "[operators]\nanna = read short 0123456789abcdef\n",
		  "15 operators.anna needs" },
		{ "[operators]\na b = read 0123456789abcdef\n",
		  "15 operators.a b may have" },
		{ "[listen]\noperators = 127.0.0.1:1\n", "0 store.address is" },
		{ "[callers]\nother = token-1\n", "15 callers.other has the" },
		{ "[session_keys]\n2 = 0011\n", "15 session_keys.2 must be" },
		{ "[session_keys]\nx = " KEY_HEX "\n",
		  "15 session_keys.x must" },
		{ "[host\n", "14  is not of the form" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.line);
		EXPECT_EQ(KB_ERR_SETTINGS,
			  load(complete + std::string(c.line)));
		EXPECT_NE(std::string::npos, faults.find(c.fault)) << faults;
	}
}

TEST_F(Settings, EveryMissingKeyIsNamed)
{
	EXPECT_EQ(KB_ERR_SETTINGS, load(""));
	for (const char *key :
	     { "host.name", "host.data_centre", "host.region", "listen.callers",
	       "listen.hosts", "session_keys", "callers", "store.address" })
		EXPECT_NE(std::string::npos, faults.find(key)) << key;
	EXPECT_EQ(KB_ERR_IO, kb_settings_load(&settings, "/nonexistent",
					      nullptr, nullptr));
}

TEST_F(Settings, PaceIsOnByItsFlagOnly)
{
	struct {
		const char *text;
		int pace;
	} cases[] = {
		{ "", 0 },
		{ "[targets]\npace = false\n", 0 },
		{ "[targets]\npace = true\n", 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.text);
		ASSERT_EQ(KB_OK, load(std::string(complete) + c.text))
			<< faults;
		EXPECT_EQ(c.pace, settings->pace);
		kb_settings_free(settings);
		settings = nullptr;
	}
}
