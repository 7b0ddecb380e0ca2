#ifndef KB_METRICS_TEXT_H
#define KB_METRICS_TEXT_H

#include "kumquatbridge.h"

struct evbuffer;

KB_BEGIN_DECLS

/* Metrics in the Prometheus text format. Each family is written once. */

/* Begins a family of type "counter" or "gauge". */
void kb_metrics_text_family(struct evbuffer *out, const char *name,
			    const char *type, const char *help);

/* Writes a sample of the family begun last; `label` may be NULL. */
void kb_metrics_text_value(struct evbuffer *out, const char *name,
			   const char *label, const char *label_value,
			   double value);

/* Writes a counter family with a single sample without a label. */
void kb_metrics_text_counter(struct evbuffer *out, const char *name,
			     const char *help, uint64_t value);

/* Converts a duration to seconds. */
double kb_metrics_text_seconds(kb_time_t duration);

KB_END_DECLS

#endif
