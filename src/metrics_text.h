#ifndef KB_METRICS_TEXT_H
#define KB_METRICS_TEXT_H

#include "kumquatbridge.h"

struct evbuffer;

KB_BEGIN_DECLS

/* Writes metrics in the Prometheus text format, each family once. */

/* Begins a family of type "counter" or "gauge". */
void kb_metrics_text_family(struct evbuffer *out, const char *name,
			    const char *type, const char *help);

/* Adds a value of the family begun last; `label` may be NULL. */
void kb_metrics_text_value(struct evbuffer *out, const char *name,
			   const char *label, const char *label_value,
			   double value);

/* Writes a family that has one value without a label. */
void kb_metrics_text_counter(struct evbuffer *out, const char *name,
			     const char *help, uint64_t value);

/* Returns a duration in seconds. */
double kb_metrics_text_seconds(kb_time_t duration);

KB_END_DECLS

#endif
