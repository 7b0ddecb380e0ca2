#include "caller_fixture.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <thread>

/* A client whose calls need no event loop. */
class PlainClient
{
      public:
	std::string received;
	/* Error that ended the last read, or 0. */
	int error = 0;

	explicit PlainClient(uint16_t port)
	    : fd(socket(AF_INET, SOCK_STREAM, 0))
	{
		struct sockaddr_in address = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(port);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&address,
				     sizeof(address)));
	}

	~PlainClient()
	{
		close(fd);
	}

	bool send(const std::string &data)
	{
		return ::send(fd, data.data(), data.size(), MSG_NOSIGNAL) ==
		       (ssize_t)data.size();
	}

	bool is_readable(int timeout_ms)
	{
		struct pollfd poll_fd = { fd, POLLIN, 0 };

		return poll(&poll_fd, 1, timeout_ms) > 0;
	}

	bool read_some()
	{
		char data[4096];
		ssize_t len = recv(fd, data, sizeof(data), 0);

		error = len < 0 ? errno : 0;
		if (len > 0)
			received.append(data, (size_t)len);
		return len > 0;
	}

	/* Reads until the end of the stream, an error or a long silence. */
	void read_all()
	{
		while (is_readable(2000))
			if (!read_some())
				return;
		error = ETIMEDOUT;
	}

	void hang_up()
	{
		shutdown(fd, SHUT_RDWR);
	}

	bool has(const char *part) const
	{
		return received.find(part) != std::string::npos;
	}

      private:
	int fd;
};

/* The host stops while callers' connections are open. */
class EndOfCallerApi : public CallerApi
{
      protected:
	void exchange(PlainClient &client, const std::string &data)
	{
		client.received.clear();
		ASSERT_TRUE(client.send(data));
		loop.run_until([&] { return client.is_readable(0); });
		client.read_some();
	}

	void end()
	{
		kb_caller_api_finish(api.get());
		running = false;
	}

	static void expect_last_answer(const PlainClient &client)
	{
		EXPECT_EQ(0, client.error) << strerror(client.error);
		EXPECT_TRUE(client.has("HTTP/1.1 408 ")) << client.received;
		EXPECT_TRUE(client.has("draining")) << client.received;
		EXPECT_TRUE(client.has("\"outcome\":\"not run\""));
		EXPECT_TRUE(client.has("Connection: close\r\n"));
	}
};

TEST_F(EndOfCallerApi, RequestAfterTheLastTurnIsAnswered)
{
	PlainClient client(api->port);

	exchange(client, request("/none", ""));
	EXPECT_TRUE(client.has("HTTP/1.1 404 "));
	client.received.clear();
	ASSERT_TRUE(client.send(request(STATEMENTS, WRITE)));
	end();
	client.read_all();
	expect_last_answer(client);
	EXPECT_TRUE(router.waiting.empty());
}

TEST_F(EndOfCallerApi, ConnectionThatWaitsToBeAcceptedIsAnswered)
{
	PlainClient client(api->port);

	ASSERT_TRUE(client.send(request(STATEMENTS, WRITE)));
	kb_caller_api_close_listener(api.get());
	client.read_all();
	expect_last_answer(client);
	end();
}

/* The answer must not be lost by a reset for bytes that arrive after it. */
TEST_F(EndOfCallerApi, RequestAfterTheAnswerCausesNoReset)
{
	PlainClient client(api->port);
	std::atomic<bool> sent{ false };

	exchange(client, request("/none", ""));
	client.received.clear();
	std::thread caller([&] {
		EXPECT_TRUE(client.is_readable(2000));
		sent = client.send(request(STATEMENTS, WRITE));
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
		client.read_all();
		client.hang_up();
	});
	end();
	caller.join();
	EXPECT_TRUE(sent);
	expect_last_answer(client);
}

/* Whether a request at the gate runs is not known when the host ends. */
TEST_F(EndOfCallerApi, RequestInFlightHasAnUnknownOutcome)
{
	PlainClient client(api->port);

	ASSERT_TRUE(client.send(request(STATEMENTS, WRITE)));
	loop.run_until([&] { return !router.waiting.empty(); });
	end();
	client.read_all();
	EXPECT_EQ(0, client.error);
	EXPECT_FALSE(client.has("not run")) << client.received;
	EXPECT_TRUE(client.has("\"outcome\":\"unknown\""));
}

TEST_F(EndOfCallerApi, ClosedConnectionsAreForgotten)
{
	for (int i = 0; i < 1000; i++) {
		PlainClient client(api->port);

		exchange(client, request("/none", "", "Connection: close\r\n"));
		client.read_all();
	}
	EXPECT_LE(api->connections.stream_capacity, 128u);
}
