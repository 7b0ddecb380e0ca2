#ifndef KB_TRACE_H
#define KB_TRACE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

#define KB_TRACE_ID_BYTES 16
#define KB_SPAN_ID_BYTES 8
/* Length of a traceparent header of version 00, without its final NUL. */
#define KB_TRACEPARENT_BYTES 55

/* Position of a request within its trace (W3C Trace Context). */
typedef struct kb_trace_context {
	uint8_t trace[KB_TRACE_ID_BYTES];
	uint8_t span[KB_SPAN_ID_BYTES];
	/* Whether spans are recorded. */
	int sampled;
} kb_trace_context_t;

/*
 * Parses a traceparent header of any version. Returns KB_ERR_INVALID, leaving
 * `context` all zero, if it is malformed.
 */
kb_result_t kb_trace_context_parse(kb_trace_context_t *context, kb_str_t text);

/* Writes a traceparent header of version 00 with a final NUL. */
void kb_trace_context_format(const kb_trace_context_t *context,
			     char text[KB_TRACEPARENT_BYTES + 1]);

/* Kinds of spans of a request. */
typedef enum kb_span_kind {
	/* The HTTP exchange with the caller. */
	KB_SPAN_CALLER,
	/* A call to another host. */
	KB_SPAN_FORWARD,
	/* The wait for a slot of the target. */
	KB_SPAN_QUEUE,
	/* The wait for a connection to the target. */
	KB_SPAN_CONNECTION,
	/* The execution on the target. */
	KB_SPAN_STATEMENT,
	/* The wait until a majority confirms the primary. */
	KB_SPAN_CONFIRMATION,
} kb_span_kind_t;

/* Returns the name of a kind of span, such as "queue". */
const char *kb_span_kind_name(kb_span_kind_t kind);

/* A span; all zero if it is not recorded. */
typedef struct kb_span {
	kb_trace_context_t context;
	/* Id of the parent span, or all zero. */
	uint8_t parent[KB_SPAN_ID_BYTES];
	kb_span_kind_t kind;
	/* Wall-clock time. */
	kb_time_t start;
	kb_time_t end;
	kb_result_t result;
	/* Database group, and target or host, of the operation, or NULL. */
	const char *group;
	const char *peer;
} kb_span_t;

typedef struct kb_trace_exporter kb_trace_exporter_t;

/* Operations of an exporter. */
typedef struct kb_trace_exporter_ops {
	/* Exports a span that has ended; `span` is valid until the return. */
	void (*export_span)(kb_trace_exporter_t *exporter,
			    const kb_span_t *span);
} kb_trace_exporter_ops_t;

/* Destination of spans; the first member of an implementation. */
struct kb_trace_exporter {
	const kb_trace_exporter_ops_t *ops;
};

/* Records the spans of one host. */
typedef struct kb_trace {
	/* NULL disables recording. */
	kb_trace_exporter_t *exporter;
	kb_clock_t *clock;
	/* Fraction, 0 to 1, of the requests to trace that do not arrive with a
	 * sampled trace context. */
	double sampling;
} kb_trace_t;

/*
 * Begins the span of a caller's request. If `traceparent` is valid, the span
 * belongs to its trace, else to a new one. It may be NULL.
 */
void kb_trace_begin_caller(kb_trace_t *trace, kb_span_t *span,
			   const char *traceparent);

/* Begins a child span of `parent` if that is sampled. */
void kb_trace_begin(kb_trace_t *trace, kb_span_t *span, kb_span_kind_t kind,
		    const kb_trace_context_t *parent);

/* Ends `span`, exports it if it is recorded, and zeroes it. */
void kb_trace_end(kb_trace_t *trace, kb_span_t *span, kb_result_t result,
		  const char *group, const char *peer);

KB_END_DECLS

#endif
