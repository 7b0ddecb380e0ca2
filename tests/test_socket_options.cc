#include "http_client.h"
#include "http_server.h"
#include "rpc_fixture.h"
#include "socket_options.h"

#include <event2/http.h>
#include <chrono>
#include <dirent.h>
#include <netinet/tcp.h>

namespace
{
enum { ROUNDS = 60, ANSWER_LIMIT_MS = 20 };

int tcp_option(int fd, int name)
{
	int value = -1;
	socklen_t len = sizeof(value);

	getsockopt(fd, IPPROTO_TCP, name, &value, &len);
	return value;
}

/* Calls `seen` for both ends of each TCP connection of this process. */
void for_each_connection(const std::function<void(int)> &seen)
{
	DIR *dir = opendir("/proc/self/fd");
	struct sockaddr_storage peer;

	while (struct dirent *entry = readdir(dir)) {
		int fd = atoi(entry->d_name);
		socklen_t len = sizeof(peer);

		if (getpeername(fd, (struct sockaddr *)&peer, &len) == 0 &&
		    peer.ss_family == AF_INET)
			seen(fd);
	}
	closedir(dir);
}

void expect_no_delay_on(int ends)
{
	int count = 0;

	for_each_connection([&](int fd) {
		count++;
		EXPECT_EQ(1, tcp_option(fd, TCP_NODELAY)) << "fd " << fd;
	});
	EXPECT_EQ(ends, count);
}
} // namespace

TEST(SocketOptions, SetsNoDelayAndKeepAlive)
{
	static const kb_keepalive_t keepalive = { 7, 2, 4 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int alive = 0;
	socklen_t len = sizeof(alive);

	kb_socket_set_options(fd, nullptr);
	EXPECT_EQ(1, tcp_option(fd, TCP_NODELAY));
	getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &alive, &len);
	EXPECT_EQ(0, alive);
	kb_socket_set_options(fd, &keepalive);
	getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &alive, &len);
	EXPECT_EQ(1, alive);
	EXPECT_EQ(7, tcp_option(fd, TCP_KEEPIDLE));
	EXPECT_EQ(2, tcp_option(fd, TCP_KEEPINTVL));
	EXPECT_EQ(4, tcp_option(fd, TCP_KEEPCNT));
	close(fd);
	kb_socket_set_options(-1, &keepalive);
}

TEST_F(Rpc, NoEndOfAConnectionDelaysItsMessages)
{
	ViewCall call;

	ASSERT_EQ(KB_OK, call.start(&peer));
	expect_requests(1);
	reply(0, 1);
	expect_end(call);
	expect_no_delay_on(2);
}

/* Each second answer would wait for the caller's delayed acknowledgement. */
TEST_F(Rpc, PipelinedAnswersDoNotWaitForAcknowledgements)
{
	using clock = std::chrono::steady_clock;
	int64_t worst = 0;

	for (int round = 0; round < ROUNDS; round++) {
		ViewCall first, second;
		clock::time_point sent;

		ASSERT_EQ(KB_OK, first.start(&peer));
		ASSERT_EQ(KB_OK, second.start(&peer));
		expect_requests(2);
		reply(0, 1);
		expect_end(first);
		sent = clock::now();
		reply(0, 2);
		expect_end(second);
		worst = std::max<int64_t>(
			worst,
			std::chrono::duration_cast<std::chrono::milliseconds>(
				clock::now() - sent)
				.count());
	}
	EXPECT_LT(worst, ANSWER_LIMIT_MS);
}

TEST(SocketOptions, NoEndOfAnHttpConnectionDelaysItsMessages)
{
	Loop loop;
	struct evhttp *http = kb_http_server_new(loop.base);
	kb_http_client_t client;
	kb_http_request_t request = {};
	uint16_t port = 0;
	int answers = 0;

	/* Both ends are open while the request is served. */
	evhttp_set_gencb(
		http,
		[](struct evhttp_request *served, void *) {
			expect_no_delay_on(2);
			evhttp_send_reply(served, HTTP_OK, nullptr, nullptr);
		},
		nullptr);
	ASSERT_EQ(KB_OK,
		  kb_http_server_listen(http, "127.0.0.1", &port, nullptr));
	ASSERT_EQ(KB_OK, kb_http_client_init(&client, loop.base,
					     KB_STR("127.0.0.1"), port));
	request.method = EVHTTP_REQ_GET;
	request.path = "/";
	request.timeout = KB_NS_PER_S;
	request.done = [](void *ctx, const kb_http_answer_t *) {
		++*static_cast<int *>(ctx);
	};
	request.ctx = &answers;
	ASSERT_NE(nullptr, kb_http_client_call(&client, &request));
	loop.run_until([&] { return answers == 1; });
	kb_http_client_finish(&client);
	evhttp_free(http);
}
