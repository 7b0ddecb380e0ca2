#ifndef RPC_FIXTURE_H
#define RPC_FIXTURE_H

#include "fake_server.h"
#include "gen/kumquat_rpc.h"
#include "rpc_peer.h"
#include "rpc_server.h"

#include <event2/listener.h>
#include <memory>

/* A call of the procedure VIEW and its result. */
struct ViewCall {
	int ended = 0;
	kb_result_t result = KB_OK;
	uint64_t term = 0;
	std::function<void()> then;

	static void on_done(void *ctx, kb_result_t result, void *res)
	{
		auto *call = static_cast<ViewCall *>(ctx);

		call->ended++;
		call->result = result;
		EXPECT_EQ(result == KB_OK, res != nullptr);
		if (res)
			call->term = static_cast<kbx_view_res *>(res)->term;
		if (call->then)
			call->then();
	}

	kb_result_t start(kb_rpc_peer_t *peer, const char *group = "race-1",
			  kb_time_t timeout = 15 * KB_NS_PER_S,
			  uint32_t procedure = KUMQUAT_VIEW)
	{
		kbx_view_args args = { const_cast<char *>(group) };
		kb_rpc_call_t call = {};

		call.procedure = procedure;
		call.encode = (xdrproc_t)xdr_kbx_view_args;
		call.args = &args;
		call.decode = (xdrproc_t)xdr_kbx_view_res;
		call.res_size = sizeof(kbx_view_res);
		call.timeout = timeout;
		call.done = on_done;
		call.ctx = this;
		return kb_rpc_peer_call(peer, &call);
	}
};

/* A TCP server on the loopback address that sends and records raw bytes. */
class RawServer
{
      public:
	uint16_t port = 0;
	std::string received;
	int connections = 0;
	int closed = 0;

	explicit RawServer(struct event_base *loop, uint16_t wanted = 0)
	    : loop(loop)
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(wanted);
		listener = evconnlistener_new_bind(
			loop, on_accept, this,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
			(struct sockaddr *)&address, sizeof(address));
		EXPECT_NE(nullptr, listener);
		getsockname(evconnlistener_get_fd(listener),
			    (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
	}

	~RawServer()
	{
		hang_up();
		evconnlistener_free(listener);
	}

	void hang_up()
	{
		if (stream)
			bufferevent_free(stream);
		stream = nullptr;
	}

	void send(const std::string &data)
	{
		bufferevent_write(stream, data.data(), data.size());
	}

	/* Frees the stream when the peer has closed it. */
	static void on_event(struct bufferevent *, short what, void *ctx)
	{
		auto *server = static_cast<RawServer *>(ctx);

		if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
			return;
		server->closed++;
		server->hang_up();
	}

      private:
	struct event_base *loop;
	struct evconnlistener *listener;
	struct bufferevent *stream = nullptr;

	static void on_read(struct bufferevent *stream, void *ctx)
	{
		auto *server = static_cast<RawServer *>(ctx);
		char data[4096];
		size_t len;

		while ((len = bufferevent_read(stream, data, sizeof(data))))
			server->received.append(data, len);
	}

	static void on_accept(struct evconnlistener *, evutil_socket_t fd,
			      struct sockaddr *, int, void *ctx)
	{
		auto *server = static_cast<RawServer *>(ctx);

		server->hang_up();
		server->connections++;
		server->stream = bufferevent_socket_new(server->loop, fd,
							BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(server->stream, on_read, nullptr, on_event,
				  server);
		bufferevent_enable(server->stream, EV_READ | EV_WRITE);
	}
};

static inline std::string take_text(struct evbuffer *buffer)
{
	std::string text(evbuffer_get_length(buffer), 0);

	evbuffer_remove(buffer, &text[0], text.size());
	evbuffer_free(buffer);
	return text;
}

/* Returns an encoded reply to a call of VIEW. */
static inline std::string reply_to(uint32_t xid, uint64_t term,
				   enum accept_stat status = SUCCESS)
{
	struct evbuffer *buffer = evbuffer_new();
	kbx_view_res res = { 0, term };

	EXPECT_EQ(KB_OK, kb_rpc_frame_write_reply(
				 buffer, xid, status,
				 status == SUCCESS ? (xdrproc_t)xdr_kbx_view_res
						   : nullptr,
				 &res));
	return take_text(buffer);
}

/* Returns an encoded call of VIEW. */
static inline std::string call_of(uint32_t xid, const char *group = "race-1")
{
	struct evbuffer *buffer = evbuffer_new();
	kbx_view_args args = { const_cast<char *>(group) };

	EXPECT_EQ(KB_OK,
		  kb_rpc_frame_write_call(buffer, xid, KUMQUAT_VIEW,
					  (xdrproc_t)xdr_kbx_view_args, &args));
	return take_text(buffer);
}

/* A server whose requests are answered by the test, and a peer calling it. */
class Rpc : public testing::Test
{
      protected:
	Loop loop;
	kb_rpc_server_t server;
	kb_rpc_peer_t peer;
	uint16_t port = 0;
	std::vector<kb_rpc_request_t *> requests;
	std::vector<std::string> groups;

	void SetUp() override
	{
		struct sockaddr_in address = {};
		socklen_t len = sizeof(address);
		kb_rpc_procedure_t view = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(KB_OK, kb_rpc_server_init(&server, loop.base,
						    (struct sockaddr *)&address,
						    sizeof(address)));
		getsockname(evconnlistener_get_fd(server.listener),
			    (struct sockaddr *)&address, &len);
		port = ntohs(address.sin_port);
		view.number = KUMQUAT_VIEW;
		view.args = (xdrproc_t)xdr_kbx_view_args;
		view.args_size = sizeof(kbx_view_args);
		view.res = (xdrproc_t)xdr_kbx_view_res;
		view.serve = serve;
		view.ctx = this;
		ASSERT_EQ(KB_OK, kb_rpc_server_add(&server, &view));
		connect(port);
	}

	void TearDown() override
	{
		kb_rpc_peer_finish(&peer);
		kb_rpc_server_finish(&server);
		while (!requests.empty())
			reply(0, 0);
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	}

	void connect(uint16_t to, size_t limit = 8)
	{
		ASSERT_EQ(KB_OK,
			  kb_rpc_peer_init(&peer, loop.base,
					   KB_STR("127.0.0.1"), to, limit));
	}

	void reply(size_t index, uint64_t term)
	{
		kbx_view_res res = { 0, term };

		kb_rpc_server_reply(requests[index], &res);
		requests.erase(requests.begin() + (long)index);
		groups.erase(groups.begin() + (long)index);
	}

	void expect_requests(size_t count)
	{
		loop.run_until([&] { return requests.size() == count; });
	}

	void expect_end(const ViewCall &call)
	{
		loop.run_until([&] { return call.ended > 0; });
		EXPECT_EQ(1, call.ended);
	}

	static void serve(void *ctx, kb_rpc_request_t *request, void *args)
	{
		auto *test = static_cast<Rpc *>(ctx);

		test->requests.push_back(request);
		test->groups.push_back(
			static_cast<kbx_view_args *>(args)->group);
	}
};

#endif
