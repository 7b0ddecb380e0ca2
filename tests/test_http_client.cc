#include "fake_server.h"
#include "http_client.h"

#include <cerrno>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{

/* A server that accepts a connection, reads a request and never answers. */
class SilentServer
{
      public:
	uint16_t port;

	SilentServer()
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listener, reinterpret_cast<sockaddr *>(&address), len);
		listen(listener, 1);
		getsockname(listener, reinterpret_cast<sockaddr *>(&address),
			    &len);
		port = ntohs(address.sin_port);
	}

	~SilentServer()
	{
		close(listener);
		if (fd >= 0)
			close(fd);
	}

	void accept_request()
	{
		char bytes[4096];

		fd = accept(listener, nullptr, nullptr);
		ASSERT_GT(recv(fd, bytes, sizeof(bytes), 0), 0);
	}

	/*
	 * Whether the connection ends with a reset, which may follow the end of
	 * the stream; waits for its end.
	 */
	bool is_reset() const
	{
		struct pollfd reset = { fd, 0, 0 };
		char bytes[4096];
		ssize_t len;

		while ((len = recv(fd, bytes, sizeof(bytes), 0)) > 0)
			;
		return (len < 0 && errno == ECONNRESET) ||
		       poll(&reset, 1, 1000) == 1;
	}

      private:
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int fd = -1;
};

/* A call to a server of the loopback address. */
struct Call {
	kb_http_client_t client;
	kb_http_call_t *call = nullptr;
	bool ended = false;
	kb_result_t result = KB_OK;

	Call(const Loop &loop, uint16_t port, kb_time_t timeout,
	     bool reset_at_exit = false)
	{
		kb_http_request_t request = {};

		kb_http_client_init(&client, loop.base, KB_STR("127.0.0.1"),
				    port);
		request.method = EVHTTP_REQ_POST;
		request.path = "/order";
		request.body = KB_STR("{}");
		request.timeout = timeout;
		request.done = on_done;
		request.ctx = this;
		request.reset_at_exit = reset_at_exit;
		call = kb_http_client_call(&client, &request);
	}

	~Call()
	{
		kb_http_client_finish(&client);
	}

	/* Lets the request go out. */
	static void run_shortly(const Loop &loop)
	{
		struct timeval pause = { 0, 50000 };

		event_base_loopexit(loop.base, &pause);
		event_base_dispatch(loop.base);
	}

	static void on_done(void *ctx, const kb_http_answer_t *answer)
	{
		static_cast<Call *>(ctx)->ended = true;
		static_cast<Call *>(ctx)->result = answer->result;
	}
};

} // namespace

/*
 * review/6: an order to promote that a cut holds up takes effect after it has
 * timed out, as its connection was closed without a reset.
 */
TEST(HttpClient, ACallThatTimesOutResetsItsConnection)
{
	SilentServer server;
	Loop loop;

	{
		Call call(loop, server.port, 200 * KB_NS_PER_MS);

		Call::run_shortly(loop);
		server.accept_request();
		loop.run_until([&] { return call.ended; });
		EXPECT_EQ(KB_ERR_TIMEOUT, call.result);
	}
	EXPECT_TRUE(server.is_reset());
}

/* A write to the store that is given up does not take effect later. */
TEST(HttpClient, ACancelledCallResetsItsConnection)
{
	SilentServer server;
	Loop loop;

	{
		Call call(loop, server.port, KB_NS_PER_S);

		Call::run_shortly(loop);
		server.accept_request();
		kb_http_client_cancel(call.call);
		EXPECT_FALSE(call.ended);
	}
	EXPECT_TRUE(server.is_reset());
}

/* The same, but the holder is killed while its order is held up. */
TEST(HttpClient, AnOrderIsResetIfItsProcessEnds)
{
	SilentServer server;
	pid_t child = fork();

	if (!child) {
		Loop loop;
		Call call(loop, server.port, 20 * KB_NS_PER_S, true);

		event_base_dispatch(loop.base);
		_exit(0);
	}
	server.accept_request();
	kill(child, SIGKILL);
	waitpid(child, nullptr, 0);
	EXPECT_TRUE(server.is_reset());
}
