#include "server.h"

#include "listen.h"

#include <string.h>

static int is_frozen(const st_server_t *server)
{
	return server->faults.partition || server->faults.stalled;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *ctx)
{
	(void)listener;
	(void)address;
	(void)len;
	st_connection_accept(ctx, fd);
}

static void on_appended(st_engine_listener_t *listener)
{
	st_server_t *server = (st_server_t *)listener;

	st_source_push(&server->source);
}

static void on_role_changed(st_engine_listener_t *listener)
{
	st_server_t *server = (st_server_t *)listener;

	st_source_on_role_change(&server->source);
	st_follower_on_role_change(&server->follower);
}

static const st_engine_listener_ops_t listener_ops = {
	.appended = on_appended,
	.role_changed = on_role_changed,
};

static void on_stall_end(evutil_socket_t fd, short what, void *ctx)
{
	st_server_t *server = ctx;

	(void)fd;
	(void)what;
	server->faults.stalled = 0;
	st_server_update_frozen(server);
}

static void start_role(st_server_t *server)
{
	const st_options_t *options = server->options;
	kb_str_t name = kb_str_from(options->name);

	if (options->primary_term) {
		st_engine_fence(&server->engine, options->primary_term, name);
		st_engine_promote(&server->engine, options->primary_term, name);
	}
	if (options->follow_port)
		st_engine_follow(&server->engine, 0,
				 kb_name_str(&options->follow_address),
				 options->follow_port);
}

kb_result_t st_server_init(st_server_t *server, struct event_base *base,
			   const st_options_t *options)
{
	memset(server, 0, sizeof(*server));
	server->base = base;
	server->options = options;
	st_engine_init(&server->engine);
	st_slots_init(&server->slots, base, options->slots);
	server->stall_timer = evtimer_new(base, on_stall_end, server);
	if (!server->stall_timer ||
	    st_follower_init(&server->follower, base, &server->engine))
		return KB_ERR_NO_MEMORY;
	server->follower.receive_lag_ms = options->receive_lag_ms;
	server->follower.apply_lag_ms = options->apply_lag_ms;
	if (st_source_init(&server->source, base, &server->engine,
			   options->address,
			   (uint16_t)(options->port + ST_REPLICATION_OFFSET)))
		return KB_ERR_IO;
	server->listener = st_listen(base, options->address, options->port,
				     on_accept, server);
	if (!server->listener)
		return KB_ERR_IO;
	server->engine_listener.ops = &listener_ops;
	server->engine.listener = &server->engine_listener;
	start_role(server);
	return KB_OK;
}

void st_server_finish(st_server_t *server)
{
	while (server->connections)
		st_connection_free(server->connections);
	if (server->listener)
		evconnlistener_free(server->listener);
	if (server->source.engine)
		st_source_finish(&server->source);
	if (server->follower.engine)
		st_follower_finish(&server->follower);
	if (server->stall_timer)
		event_free(server->stall_timer);
	st_engine_finish(&server->engine);
}

void st_server_update_frozen(st_server_t *server)
{
	int frozen = is_frozen(server);
	st_connection_t *next;

	if (frozen)
		evconnlistener_disable(server->listener);
	else
		evconnlistener_enable(server->listener);
	for (st_connection_t *c = server->connections; c; c = next) {
		next = c->next;
		st_connection_set_frozen(c, frozen);
	}
	st_source_set_frozen(&server->source, frozen);
	st_follower_set_frozen(&server->follower, frozen);
}
