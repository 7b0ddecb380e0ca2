#ifndef KB_TESTS_FAKE_SERVER_H
#define KB_TESTS_FAKE_SERVER_H

#include "str.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <gtest/gtest.h>
#include <arpa/inet.h>
#include <csignal>
#include <deque>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <utility>
#include <vector>

/* An event loop that fails the test if it runs for longer than 20 s. */
class Loop
{
      public:
	struct event_base *base = event_base_new();

	Loop()
	{
		signal(SIGPIPE, SIG_IGN);
	}

	~Loop()
	{
		event_base_free(base);
	}

	void run_until(const std::function<bool()> &done)
	{
		const struct timeval limit = { 20, 0 };
		bool expired = false;
		auto on_limit = [](evutil_socket_t, short, void *ctx) {
			*static_cast<bool *>(ctx) = true;
		};
		struct event *timer =
			event_new(base, -1, 0, on_limit, &expired);

		event_add(timer, &limit);
		while (!done() && !expired)
			event_base_loop(base, EVLOOP_ONCE);
		event_free(timer);
		ASSERT_FALSE(expired) << "the expected event did not occur";
	}
};

/* Action of the server on one request. */
struct Step {
	enum { ANSWER, CLOSE, HANG, STREAM, STREAM_CLOSE } action;
	int status;
	/* Body, or the parts of a stream. */
	std::vector<std::string> parts;
	/* Names and values. Not for streams. */
	std::vector<std::pair<std::string, std::string>> headers = {};
};

/* An HTTP server on the loopback address that runs a script of steps. */
class FakeServer
{
      public:
	struct Request {
		std::string method, path, body;
	};
	std::deque<Step> script;
	std::vector<Request> requests;
	uint16_t port = 0;

	explicit FakeServer(Loop &loop) : http(evhttp_new(loop.base))
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);
		auto *bound =
			evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);

		getsockname(evhttp_bound_socket_get_fd(bound),
			    reinterpret_cast<struct sockaddr *>(&address),
			    &len);
		port = ntohs(address.sin_port);
		evhttp_set_gencb(http, on_request, this);
	}

	~FakeServer()
	{
		evhttp_free(http);
	}

      private:
	struct evhttp *http;

	static void on_request(struct evhttp_request *request, void *ctx)
	{
		static_cast<FakeServer *>(ctx)->handle(request);
	}

	static void send(struct evhttp_request *request,
			 const std::string &part)
	{
		struct evbuffer *buffer = evbuffer_new();

		evbuffer_add(buffer, part.data(), part.size());
		evhttp_send_reply_chunk(request, buffer);
		evbuffer_free(buffer);
	}

	/* Ends the reply if the client has closed the stream's connection. */
	static void on_close(struct evhttp_connection *, void *ctx)
	{
		auto *request = static_cast<struct evhttp_request *>(ctx);

		if (!evhttp_request_get_connection(request))
			evhttp_send_reply_end(request);
	}

	static void cut(struct evhttp_request *request)
	{
		shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(
				 evhttp_request_get_connection(request))),
			 SHUT_RDWR);
		evhttp_send_reply(request, HTTP_SERVUNAVAIL, nullptr, nullptr);
	}

	void handle(struct evhttp_request *request)
	{
		struct evbuffer *input =
			evhttp_request_get_input_buffer(request);
		size_t len = evbuffer_get_length(input);
		std::string body(len, 0);
		Step step = { Step::ANSWER, HTTP_NOTFOUND, { "" } };

		evbuffer_copyout(input, &body[0], len);
		requests.push_back(
			{ evhttp_request_get_command(request) == EVHTTP_REQ_GET
				  ? "GET"
				  : "POST",
			  evhttp_request_get_uri(request), body });
		if (!script.empty()) {
			step = script.front();
			script.pop_front();
		}
		run(request, step);
	}

	static void run(struct evhttp_request *request, const Step &step)
	{
		struct evbuffer *buffer;

		switch (step.action) {
		case Step::ANSWER:
			for (const auto &header : step.headers)
				evhttp_add_header(
					evhttp_request_get_output_headers(
						request),
					header.first.c_str(),
					header.second.c_str());
			buffer = evbuffer_new();
			evbuffer_add(buffer, step.parts[0].data(),
				     step.parts[0].size());
			evhttp_send_reply(request, step.status, "", buffer);
			evbuffer_free(buffer);
			break;
		case Step::CLOSE:
			cut(request);
			break;
		case Step::HANG:
			break;
		case Step::STREAM:
		case Step::STREAM_CLOSE:
			evhttp_send_reply_start(request, HTTP_OK, "OK");
			evhttp_connection_set_closecb(
				evhttp_request_get_connection(request),
				on_close, request);
			for (const auto &part : step.parts)
				send(request, part);
			if (step.action == Step::STREAM)
				break;
			evhttp_connection_set_closecb(
				evhttp_request_get_connection(request), nullptr,
				nullptr);
			evhttp_send_reply_end(request);
			break;
		}
	}
};

#endif
