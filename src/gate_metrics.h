#ifndef KB_GATE_METRICS_H
#define KB_GATE_METRICS_H

#include "group_service.h"

struct evbuffer;

KB_BEGIN_DECLS

/* Writes the metrics of the groups that this host serves and their gates. */
void kb_gate_metrics_write(const kb_group_services_t *services,
			   struct evbuffer *out);

KB_END_DECLS

#endif
