#include "trace_file.h"

#include "log.h"

#include <errno.h>
#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>

enum {
	FLUSH_INTERVAL_MS = 1000,
	BUFFER_BYTES = 64 * 1024,
	TIME_TEXT_BYTES = 24,
	ID_TEXT_BYTES = 2 * KB_TRACE_ID_BYTES + 1,
	/* Values defined by OTLP. */
	STATUS_OK = 1,
	STATUS_ERROR = 2,
	KIND_INTERNAL = 1,
	KIND_SERVER = 2,
	KIND_CLIENT = 3,
};

#define SCOPE "kumquatbridge"

static int otlp_kind(kb_span_kind_t kind)
{
	switch (kind) {
	case KB_SPAN_CALLER:
		return KIND_SERVER;
	case KB_SPAN_FORWARD:
	case KB_SPAN_STATEMENT:
		return KIND_CLIENT;
	default:
		return KIND_INTERNAL;
	}
}

static json_t *attribute(const char *key, const char *value)
{
	return json_pack("{s:s,s:{s:s}}", "key", key, "value", "stringValue",
			 value);
}

static json_t *attributes_of(const kb_span_t *span)
{
	json_t *list = json_array();

	if (span->group)
		json_array_append_new(
			list, attribute("kumquatbridge.group", span->group));
	if (span->peer)
		json_array_append_new(
			list, attribute("kumquatbridge.peer", span->peer));
	return list;
}

static json_t *status_of(const kb_span_t *span)
{
	if (!span->result)
		return json_pack("{s:i}", "code", STATUS_OK);
	return json_pack("{s:i,s:s}", "code", STATUS_ERROR, "message",
			 kb_result_name(span->result));
}

static json_t *span_to_json(const kb_span_t *span)
{
	char trace[ID_TEXT_BYTES], id[ID_TEXT_BYTES], parent[ID_TEXT_BYTES];
	char start[TIME_TEXT_BYTES], end[TIME_TEXT_BYTES];
	int has_parent = !sodium_is_zero(span->parent, sizeof(span->parent));

	sodium_bin2hex(trace, sizeof(trace), span->context.trace,
		       sizeof(span->context.trace));
	sodium_bin2hex(id, sizeof(id), span->context.span,
		       sizeof(span->context.span));
	sodium_bin2hex(parent, sizeof(parent), span->parent,
		       sizeof(span->parent));
	snprintf(start, sizeof(start), "%" PRId64, span->start);
	snprintf(end, sizeof(end), "%" PRId64, span->end);
	return json_pack("{s:s,s:s,s:s*,s:s,s:i,s:s,s:s,s:o,s:o}", "traceId",
			 trace, "spanId", id, "parentSpanId",
			 has_parent ? parent : NULL, "name",
			 kb_span_kind_name(span->kind), "kind",
			 otlp_kind(span->kind), "startTimeUnixNano", start,
			 "endTimeUnixNano", end, "attributes",
			 attributes_of(span), "status", status_of(span));
}

char *kb_trace_file_format(const kb_span_t *span, const char *host)
{
	json_t *line = json_pack(
		"{s:[{s:{s:[o,o]},s:[{s:{s:s,s:s},s:[o]}]}]}", "resourceSpans",
		"resource", "attributes", attribute("service.name", SCOPE),
		attribute("host.name", host), "scopeSpans", "scope", "name",
		SCOPE, "version", kb_version_string(), "spans",
		span_to_json(span));
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;

	json_decref(line);
	return text;
}

static void fail(kb_trace_file_t *file)
{
	kb_log(KB_EVENT_TRACE_FAILED, "error=%d", errno);
	event_del(file->flush_timer);
	file->flush_pending = 0;
	fclose(file->file);
	file->file = NULL;
}

static int flush(kb_trace_file_t *file)
{
	file->buffered = 0;
	if (!fflush(file->file))
		return 1;
	fail(file);
	return 0;
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	kb_trace_file_t *file = arg;

	(void)fd;
	(void)what;
	file->flush_pending = 0;
	if (file->file)
		flush(file);
}

static void flush_later(kb_trace_file_t *file)
{
	struct timeval delay = { FLUSH_INTERVAL_MS / 1000, 0 };

	if (!file->flush_pending)
		file->flush_pending = !event_add(file->flush_timer, &delay);
}

/* Writes a line. Flushes before the buffer overflows, so that only whole lines
 * are written and a killed process leaves no partial line. */
static void add_line(kb_trace_file_t *file, const char *text)
{
	size_t len = strlen(text) + 1;

	if (file->buffered + len > BUFFER_BYTES && !flush(file))
		return;
	if (fprintf(file->file, "%s\n", text) < 0) {
		fail(file);
		return;
	}
	file->buffered += len;
	flush_later(file);
}

static void export_span(kb_trace_exporter_t *exporter, const kb_span_t *span)
{
	kb_trace_file_t *file = (kb_trace_file_t *)exporter;
	char *text;

	if (!file->file)
		return;
	text = kb_trace_file_format(span, file->host.data);
	if (!text)
		return;
	add_line(file, text);
	free(text);
}

static const kb_trace_exporter_ops_t exporter_ops = {
	.export_span = export_span,
};

kb_result_t kb_trace_file_init(kb_trace_file_t *file, struct event_base *loop,
			       const char *path, const kb_name_t *host)
{
	memset(file, 0, sizeof(*file));
	file->base.ops = &exporter_ops;
	file->host = *host;
	file->flush_timer = evtimer_new(loop, on_flush, file);
	file->buffer = malloc(BUFFER_BYTES);
	if (!file->flush_timer || !file->buffer) {
		kb_trace_file_finish(file);
		return KB_ERR_NO_MEMORY;
	}
	file->file = fopen(path, "ae");
	if (!file->file) {
		kb_trace_file_finish(file);
		return KB_ERR_IO;
	}
	setvbuf(file->file, file->buffer, _IOFBF, BUFFER_BYTES);
	return KB_OK;
}

void kb_trace_file_finish(kb_trace_file_t *file)
{
	if (file->file && fclose(file->file))
		kb_log(KB_EVENT_TRACE_FAILED, "error=%d", errno);
	if (file->flush_timer)
		event_free(file->flush_timer);
	free(file->buffer);
	memset(file, 0, sizeof(*file));
}
