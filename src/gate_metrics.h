#ifndef KB_GATE_METRICS_H
#define KB_GATE_METRICS_H

#include "group_service.h"

struct evbuffer;

KB_BEGIN_DECLS

/* Appends the metrics of this host's groups and their gates to `out`. */
void kb_gate_metrics_write(const kb_group_services_t *services,
			   struct evbuffer *out);

KB_END_DECLS

#endif
