#ifndef RAW_CLIENT_H
#define RAW_CLIENT_H

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <cstdlib>
#include <string>

/* A TCP client that sends raw bytes and records what it receives. */
class RawClient
{
      public:
	std::string received;
	bool closed = false;

	RawClient(struct event_base *loop, uint16_t port)
	    : stream(bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE))
	{
		struct sockaddr_in address = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(port);
		bufferevent_setcb(stream, on_read, nullptr, on_event, this);
		bufferevent_enable(stream, EV_READ | EV_WRITE);
		EXPECT_EQ(0, bufferevent_socket_connect(
				     stream, (struct sockaddr *)&address,
				     sizeof(address)));
	}

	~RawClient()
	{
		bufferevent_free(stream);
	}

	void send(const std::string &data)
	{
		bufferevent_write(stream, data.data(), data.size());
	}

	/* Status code of the first HTTP response, or 0 if none was received. */
	int status() const
	{
		return received.size() > 12 ? atoi(&received[9]) : 0;
	}

	/*
	 * Whether a response with Content-Length is complete, or the
	 * connection was closed.
	 */
	bool complete() const
	{
		size_t head = received.find("\r\n\r\n");
		size_t length = received.find("Content-Length: ");

		return closed ||
		       (head != std::string::npos &&
			length != std::string::npos &&
			received.size() >=
				head + 4 +
					(size_t)atoi(&received[length + 16]));
	}

	bool has(const char *part) const
	{
		return received.find(part) != std::string::npos;
	}

      private:
	struct bufferevent *stream;

	static void on_read(struct bufferevent *stream, void *ctx)
	{
		auto *client = static_cast<RawClient *>(ctx);
		char data[4096];
		size_t len;

		while ((len = bufferevent_read(stream, data, sizeof(data))))
			client->received.append(data, len);
	}

	static void on_event(struct bufferevent *, short what, void *ctx)
	{
		if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
			static_cast<RawClient *>(ctx)->closed = true;
	}
};

#endif
