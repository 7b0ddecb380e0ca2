#include "settings.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <stdio.h>

kb_result_t kb_endpoint_parse(kb_str_t text, kb_endpoint_t *endpoint)
{
	const char *colon = text.len ? memrchr(text.data, ':', text.len) : NULL;
	struct sockaddr_storage address;
	socklen_t len;
	kb_str_t host, port;
	uint64_t number;

	if (!colon)
		return KB_ERR_INVALID;
	host = (kb_str_t){ text.data, (size_t)(colon - text.data) };
	port = (kb_str_t){ colon + 1, text.len - host.len - 1 };
	if (host.len > 1 && host.data[0] == '[' &&
	    host.data[host.len - 1] == ']')
		host = (kb_str_t){ host.data + 1, host.len - 2 };
	if (kb_str_to_u64(port, &number) || !number || number > UINT16_MAX)
		return KB_ERR_INVALID;
	if (kb_name_set(&endpoint->address, host))
		return KB_ERR_INVALID;
	endpoint->port = (uint16_t)number;
	return kb_endpoint_resolve(endpoint, &address, &len);
}

kb_result_t kb_endpoint_resolve(const kb_endpoint_t *endpoint,
				struct sockaddr_storage *address,
				socklen_t *len)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)address;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;

	memset(address, 0, sizeof(*address));
	if (inet_pton(AF_INET, endpoint->address.data, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(endpoint->port);
		*len = sizeof(*v4);
		return KB_OK;
	}
	if (inet_pton(AF_INET6, endpoint->address.data, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(endpoint->port);
		*len = sizeof(*v6);
		return KB_OK;
	}
	return KB_ERR_INVALID;
}

int kb_endpoint_equal(const kb_endpoint_t *a, const kb_endpoint_t *b)
{
	return a->port == b->port &&
	       kb_name_is(&a->address, kb_name_str(&b->address));
}
