#include "trace.h"

#include "str.h"

#include <sodium.h>

enum {
	VERSION_OFFSET = 0,
	TRACE_OFFSET = 3,
	SPAN_OFFSET = 36,
	FLAGS_OFFSET = 53,
	FLAG_SAMPLED = 1,
	INVALID_VERSION = 0xff,
};

static const char *const kind_names[] = {
	[KB_SPAN_CALLER] = "caller",
	[KB_SPAN_FORWARD] = "forward",
	[KB_SPAN_QUEUE] = "queue",
	[KB_SPAN_CONNECTION] = "connection",
	[KB_SPAN_STATEMENT] = "statement",
	[KB_SPAN_CONFIRMATION] = "confirmation",
};

const char *kb_span_kind_name(kb_span_kind_t kind)
{
	return kind_names[kind];
}

/* Returns the value of a lower-case hexadecimal digit, or -1. */
static int digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static int parse_hex(uint8_t *bytes, size_t count, const char *text)
{
	for (size_t i = 0; i < count; i++) {
		int high = digit(text[2 * i]);
		int low = digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return 0;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return 1;
}

static int parse_fields(kb_trace_context_t *context, kb_str_t text)
{
	uint8_t version, flags;

	if (text.len < KB_TRACEPARENT_BYTES ||
	    text.data[TRACE_OFFSET - 1] != '-' ||
	    text.data[SPAN_OFFSET - 1] != '-' ||
	    text.data[FLAGS_OFFSET - 1] != '-' ||
	    !parse_hex(&version, 1, text.data + VERSION_OFFSET) ||
	    !parse_hex(context->trace, KB_TRACE_ID_BYTES,
		       text.data + TRACE_OFFSET) ||
	    !parse_hex(context->span, KB_SPAN_ID_BYTES,
		       text.data + SPAN_OFFSET) ||
	    !parse_hex(&flags, 1, text.data + FLAGS_OFFSET))
		return 0;
	context->sampled = flags & FLAG_SAMPLED;
	if (version == INVALID_VERSION)
		return 0;
	/* Versions above 00 may append fields. */
	if (text.len == KB_TRACEPARENT_BYTES)
		return 1;
	return version && text.data[KB_TRACEPARENT_BYTES] == '-';
}

kb_result_t kb_trace_context_parse(kb_trace_context_t *context, kb_str_t text)
{
	memset(context, 0, sizeof(*context));
	if (parse_fields(context, text) &&
	    !sodium_is_zero(context->trace, sizeof(context->trace)) &&
	    !sodium_is_zero(context->span, sizeof(context->span)))
		return KB_OK;
	memset(context, 0, sizeof(*context));
	return KB_ERR_INVALID;
}

void kb_trace_context_format(const kb_trace_context_t *context,
			     char text[KB_TRACEPARENT_BYTES + 1])
{
	uint8_t flags = context->sampled ? FLAG_SAMPLED : 0;

	/* The separators replace the final NUL of the field before. */
	memcpy(text, "00-", TRACE_OFFSET);
	sodium_bin2hex(text + TRACE_OFFSET, 2 * KB_TRACE_ID_BYTES + 1,
		       context->trace, KB_TRACE_ID_BYTES);
	text[SPAN_OFFSET - 1] = '-';
	sodium_bin2hex(text + SPAN_OFFSET, 2 * KB_SPAN_ID_BYTES + 1,
		       context->span, KB_SPAN_ID_BYTES);
	text[FLAGS_OFFSET - 1] = '-';
	sodium_bin2hex(text + FLAGS_OFFSET, 2 * sizeof(flags) + 1, &flags,
		       sizeof(flags));
}

static int should_sample(const kb_trace_t *trace)
{
	return randombytes_random() < trace->sampling * 4294967296.0;
}

static void begin(kb_trace_t *trace, kb_span_t *span, kb_span_kind_t kind)
{
	memcpy(span->parent, span->context.span, sizeof(span->parent));
	randombytes_buf(span->context.span, sizeof(span->context.span));
	span->kind = kind;
	span->start = kb_clock_wall(trace->clock);
}

void kb_trace_begin_caller(kb_trace_t *trace, kb_span_t *span,
			   const char *traceparent)
{
	memset(span, 0, sizeof(*span));
	if (!trace || !trace->exporter)
		return;
	if (kb_trace_context_parse(&span->context, kb_str_from(traceparent)))
		randombytes_buf(span->context.trace,
				sizeof(span->context.trace));
	if (!span->context.sampled)
		span->context.sampled = should_sample(trace);
	if (span->context.sampled)
		begin(trace, span, KB_SPAN_CALLER);
	else
		memset(span, 0, sizeof(*span));
}

void kb_trace_begin(kb_trace_t *trace, kb_span_t *span, kb_span_kind_t kind,
		    const kb_trace_context_t *parent)
{
	memset(span, 0, sizeof(*span));
	if (!parent->sampled || !trace || !trace->exporter)
		return;
	span->context = *parent;
	begin(trace, span, kind);
}

void kb_trace_end(kb_trace_t *trace, kb_span_t *span, kb_result_t result,
		  const char *group, const char *peer)
{
	if (!span->context.sampled)
		return;
	span->end = kb_clock_wall(trace->clock);
	/* The wall clock may have been set back since the start. */
	if (span->end < span->start)
		span->end = span->start;
	span->result = result;
	span->group = group;
	span->peer = peer;
	if (trace && trace->exporter)
		trace->exporter->ops->export_span(trace->exporter, span);
	memset(span, 0, sizeof(*span));
}
