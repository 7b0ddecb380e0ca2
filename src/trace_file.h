#ifndef KB_TRACE_FILE_H
#define KB_TRACE_FILE_H

#include "str.h"
#include "trace.h"

#include <stdio.h>

struct event;
struct event_base;

KB_BEGIN_DECLS

/*
 * Appends spans to a file as lines of OTLP/JSON. Stops at the first write
 * error.
 */
typedef struct kb_trace_file {
	kb_trace_exporter_t base;
	FILE *file;
	char *buffer;
	/* Number of buffered bytes, always whole lines. */
	size_t buffered;
	kb_name_t host;
	/* Flushes the buffer. */
	struct event *flush_timer;
	int flush_pending;
} kb_trace_file_t;

/*
 * Opens `path` for appending. Returns KB_ERR_IO if that fails, or
 * KB_ERR_NO_MEMORY.
 */
kb_result_t kb_trace_file_init(kb_trace_file_t *file, struct event_base *loop,
			       const char *path, const kb_name_t *host);

/* Flushes the buffer and closes the file. */
void kb_trace_file_finish(kb_trace_file_t *file);

/* Returns a span as OTLP/JSON without a line end, to be freed with free(), or
 * NULL if out of memory. */
char *kb_trace_file_format(const kb_span_t *span, const char *host);

KB_END_DECLS

#endif
