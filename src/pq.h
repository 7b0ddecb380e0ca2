#ifndef KB_PQ_H
#define KB_PQ_H

#include "conn.h"

struct event_base;

KB_BEGIN_DECLS

/* Opens connections through libpq on an event loop. */
typedef struct kb_pq_connector {
	kb_connector_t base;
	struct event_base *loop;
} kb_pq_connector_t;

/* Initializes `connector` on `loop`, which must outlive its connections. */
void kb_pq_connector_init(kb_pq_connector_t *connector,
			  struct event_base *loop);

KB_END_DECLS

#endif
