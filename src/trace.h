#ifndef KB_TRACE_H
#define KB_TRACE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

#define KB_TRACE_ID_BYTES 16
#define KB_SPAN_ID_BYTES 8
/* Length of a traceparent header of version 00, without its final NUL. */
#define KB_TRACEPARENT_BYTES 55

/* Where a request is within its trace (W3C Trace Context). */
typedef struct kb_trace_context {
	uint8_t trace[KB_TRACE_ID_BYTES];
	uint8_t span[KB_SPAN_ID_BYTES];
	/* Spans are recorded if set. */
	int sampled;
} kb_trace_context_t;

/*
 * Parses a traceparent header of any version. Returns KB_ERR_INVALID, leaving
 * `context` all zero, if it is malformed.
 */
kb_result_t kb_trace_context_parse(kb_trace_context_t *context, kb_str_t text);

/* Writes a traceparent header of version 00 that ends in NUL. */
void kb_trace_context_format(const kb_trace_context_t *context,
			     char text[KB_TRACEPARENT_BYTES + 1]);

/* The hops of a request. */
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

/* Returns the name of a hop, such as "queue". */
const char *kb_span_kind_name(kb_span_kind_t kind);

/* One hop; all zero if it is not recorded. */
typedef struct kb_span {
	kb_trace_context_t context;
	/* Span above it, or all zero. */
	uint8_t parent[KB_SPAN_ID_BYTES];
	kb_span_kind_t kind;
	/* Wall-clock time. */
	kb_time_t start;
	kb_time_t end;
	kb_result_t result;
	/* Database group and target or host that it concerns, or NULL. */
	const char *group;
	const char *peer;
} kb_span_t;

typedef struct kb_trace_exporter kb_trace_exporter_t;

/* Operations of an exporter. */
typedef struct kb_trace_exporter_ops {
	/* Takes a span that has ended; `span` lives until the return. */
	void (*export_span)(kb_trace_exporter_t *exporter,
			    const kb_span_t *span);
} kb_trace_exporter_ops_t;

/* Where spans go; the first member of an implementation. */
struct kb_trace_exporter {
	const kb_trace_exporter_ops_t *ops;
};

/* Records the spans of one host. */
typedef struct kb_trace {
	/* NULL records nothing. */
	kb_trace_exporter_t *exporter;
	kb_clock_t *clock;
	/* Part of the requests without a sampled trace that are traced. */
	double sampling;
} kb_trace_t;

/*
 * Begins the span of a caller's request. `traceparent` may be NULL; if it is
 * valid the span belongs to its trace, else a new trace begins.
 */
void kb_trace_begin_caller(kb_trace_t *trace, kb_span_t *span,
			   const char *traceparent);

/* Begins a span below `parent` if that is sampled. */
void kb_trace_begin(kb_trace_t *trace, kb_span_t *span, kb_span_kind_t kind,
		    const kb_trace_context_t *parent);

/* Exports `span` if it was begun and is recorded; `span` is zeroed. */
void kb_trace_end(kb_trace_t *trace, kb_span_t *span, kb_result_t result,
		  const char *group, const char *peer);

KB_END_DECLS

#endif
