#include "listen.h"

#include <arpa/inet.h>

enum { BACKLOG = 512 };

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
