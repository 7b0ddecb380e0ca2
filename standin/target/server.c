#include "server.h"

#include <arpa/inet.h>
#include <netinet/in.h>

enum { BACKLOG = 512 };

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *ctx)
{
	(void)listener;
	(void)address;
	(void)len;
	st_connection_accept(ctx, fd);
}

struct evconnlistener *st_listen(struct event_base *base, const char *address,
				 uint16_t port, evconnlistener_cb accepted,
				 void *ctx)
{
	struct sockaddr_in name = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	if (inet_pton(AF_INET, address, &name.sin_addr) != 1)
		return NULL;
	return evconnlistener_new_bind(
		base, accepted, ctx, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
		BACKLOG, (const struct sockaddr *)&name, sizeof(name));
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
	start_role(server);
	server->listener = st_listen(base, options->address, options->port,
				     on_accept, server);
	return server->listener ? KB_OK : KB_ERR_IO;
}

void st_server_finish(st_server_t *server)
{
	while (server->connections)
		st_connection_free(server->connections);
	if (server->listener)
		evconnlistener_free(server->listener);
	st_engine_finish(&server->engine);
}
