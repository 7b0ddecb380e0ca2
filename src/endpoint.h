#ifndef KB_ENDPOINT_H
#define KB_ENDPOINT_H

#include "str.h"

KB_BEGIN_DECLS

/* An IP address and a port. */
typedef struct kb_endpoint {
	kb_name_t address;
	uint16_t port;
} kb_endpoint_t;

int kb_endpoint_equal(const kb_endpoint_t *a, const kb_endpoint_t *b);

KB_END_DECLS

#endif
