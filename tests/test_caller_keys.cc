#include "caller_listener.h"
#include "fake_server.h"
#include "fake_time.h"
#include "proxy_internal.h"
#include "raw_client.h"

#include <event2/listener.h>
#include <gtest/gtest.h>
#include <initializer_list>
#include <memory>
#include <utility>

namespace
{

uint16_t port_of(struct evconnlistener *listener)
{
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);

	getsockname(evconnlistener_get_fd(listener),
		    (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

kb_endpoint_t loopback(uint16_t port)
{
	kb_endpoint_t endpoint{};

	kb_name_set(&endpoint.address, KB_STR("127.0.0.1"));
	endpoint.port = port;
	return endpoint;
}

using Keys = std::initializer_list<std::pair<const char *, const char *>>;

/* Callers of a host with a database that is public and one that is not. */
class CallerKeys : public ::testing::Test
{
      protected:
	Loop loop;
	FakeTime clock;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	kb_caller_listener_t listener;
	uint16_t port = 0;

	CallerKeys()
	{
		kb_endpoint_t address = loopback(0);

		*proxy = {};
		proxy->clock = &clock.base;
		EXPECT_EQ(KB_OK, kb_proxy_stats_init(&proxy->stats));
		configure(1, { { "red", "r1" }, { "blue", "b 1" } });
		EXPECT_EQ(KB_OK,
			  kb_caller_listener_init(&listener, loop.base,
						  proxy.get(), &address));
		port = port_of(listener.evlistener);
	}

	~CallerKeys() override
	{
		kb_caller_listener_finish(&listener);
		kb_databases_finish(&proxy->databases);
		kb_proxy_stats_finish(&proxy->stats);
	}

	/* Configures teams that have one key each. */
	void configure(uint64_t version, Keys keys)
	{
		kb_databases_t next{};

		next.version = version;
		next.databases = static_cast<kb_database_t *>(
			calloc(2, sizeof(kb_database_t)));
		next.database_count = 2;
		kb_name_set(&next.databases[0].name, KB_STR("db"));
		kb_name_set(&next.databases[1].name, KB_STR("open"));
		next.databases[1].is_public = 1;
		next.teams.configured = 1;
		for (const auto &key : keys) {
			kb_team_t team{};

			kb_name_set(&team.name, kb_str_from(key.first));
			kb_teams_add(&next.teams, &team);
			kb_teams_add_key(&next.teams, kb_str_from(key.first),
					 kb_str_from(key.second));
		}
		kb_databases_replace(&proxy->databases, &next);
	}

	/* Sends a line and returns what came until READY or the close. */
	std::string ask(RawClient *client, const char *line)
	{
		client->received.clear();
		client->send(std::string(line) + "\r\n");
		loop.run_until(
			[&] { return client->closed || client->has("READY"); });
		return client->received;
	}
};

} // namespace

TEST_F(CallerKeys, AnUnknownKeyIsRefusedAndClosed)
{
	for (const char *start :
	     { "START db", "START db ", "START db r2", "START db r1 ",
	       "START db r1 x", "START db b" }) {
		SCOPED_TRACE(start);
		RawClient client(loop.base, port);
		std::string answer = ask(&client, start);

		EXPECT_EQ(0u, answer.find("ERR NOAUTH ")) << answer;
		EXPECT_FALSE(client.has("READY"));
		loop.run_until([&] { return client.closed; });
	}
	EXPECT_EQ(6u, proxy->stats.keys_refused);
	EXPECT_EQ(0u, proxy->session_count);
}

TEST_F(CallerKeys, AKnownKeyAndAPublicDatabaseAreServed)
{
	for (const char *start : { "START db r1", "START db b 1", "START open",
				   "START open r1", "START open unknown" }) {
		SCOPED_TRACE(start);
		RawClient client(loop.base, port);

		EXPECT_EQ("READY I -\r\n", ask(&client, start));
	}
}

TEST_F(CallerKeys, AnUnknownDatabaseIsToldApartFromAKey)
{
	RawClient client(loop.base, port);

	EXPECT_EQ(0u, ask(&client, "START none r1").find("ERR NODB "));
}

TEST_F(CallerKeys, ARemovedKeyIsRefusedInOpenSessions)
{
	RawClient red(loop.base, port), blue(loop.base, port),
		open(loop.base, port);

	ask(&red, "START db r1");
	ask(&blue, "START db b 1");
	ask(&open, "START open r1");
	configure(2, { { "red", "r2" }, { "blue", "b 1" } });
	for (const char *line :
	     { "QUERY q1 BEGIN", "QUERY q2 ROLLBACK", "QUERY q3 BEGIN READ" }) {
		EXPECT_EQ(std::string::npos, ask(&blue, line).find("ERR"));
		EXPECT_EQ(std::string::npos, ask(&open, line).find("ERR"));
	}
	std::string answer = ask(&red, "QUERY q4 READ x");
	EXPECT_EQ(0u, answer.find("ERR NOAUTH ")) << answer;
	EXPECT_NE(std::string::npos, answer.find("\r\nREADY I -\r\n"));
	loop.run_until([&] { return red.closed; });
}

TEST_F(CallerKeys, AnOpenTransactionGoesOn)
{
	RawClient client(loop.base, port);

	ask(&client, "START db r1");
	ask(&client, "QUERY q1 BEGIN");
	configure(2, {});
	EXPECT_EQ("DONE -\r\nREADY T -\r\n", ask(&client, "QUERY q2 SET a b"));
	EXPECT_EQ("DONE -\r\nREADY I -\r\n", ask(&client, "QUERY q3 ROLLBACK"));
	EXPECT_EQ(0u, ask(&client, "QUERY q4 BEGIN").find("ERR NOAUTH "));
}
