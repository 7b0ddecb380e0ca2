#include "fake_target.h"
#include "trace_file.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <cstring>
#include <fstream>
#include <jansson.h>
#include <sstream>
#include <unistd.h>

#define TRACE "4bf92f3577b34da6a3ce929d0e0e4736"
#define SPAN "00f067aa0ba902b7"
#define PARENT "00-" TRACE "-" SPAN "-"

/* Stores the exported spans. */
struct MemoryExporter {
	kb_trace_exporter_t base;
	std::vector<kb_span_t> spans;
};

static void keep_span(kb_trace_exporter_t *exporter, const kb_span_t *span)
{
	reinterpret_cast<MemoryExporter *>(exporter)->spans.push_back(*span);
}

static const kb_trace_exporter_ops_t memory_ops = { keep_span };

class Trace : public testing::Test
{
      protected:
	FakeClock clock;
	MemoryExporter exporter = { { &memory_ops }, {} };
	kb_trace_t trace = { &exporter.base, &clock.base, 0 };
	kb_span_t span = {};
};

TEST_F(Trace, ContextsAreParsed)
{
	struct {
		const char *text;
		bool valid;
		bool sampled;
	} cases[] = {
		{ PARENT "01", true, true },
		{ PARENT "00", true, false },
		{ PARENT "03", true, true },
		{ "01-" TRACE "-" SPAN "-01-more", true, true },
		{ "", false, false },
		{ PARENT "01-more", false, false },
		{ "01-" TRACE "-" SPAN "-01more", false, false },
		{ "ff-" TRACE "-" SPAN "-01", false, false },
		{ PARENT "0", false, false },
		{ PARENT "0x", false, false },
		{ "00-4BF92F3577B34DA6A3CE929D0E0E4736-" SPAN "-01", false,
		  false },
		{ "00-00000000000000000000000000000000-" SPAN "-01", false,
		  false },
		{ "00-" TRACE "-0000000000000000-01", false, false },
		{ "00_" TRACE "-" SPAN "-01", false, false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.text);
		kb_trace_context_t context;
		char text[KB_TRACEPARENT_BYTES + 1];

		EXPECT_EQ(
			c.valid ? KB_OK : KB_ERR_INVALID,
			kb_trace_context_parse(&context, kb_str_from(c.text)));
		EXPECT_EQ(c.sampled, !!context.sampled);
		if (!c.valid)
			continue;
		kb_trace_context_format(&context, text);
		EXPECT_STREQ(c.sampled ? PARENT "01" : PARENT "00", text);
	}
}

TEST_F(Trace, SpansOfARequestFormATree)
{
	kb_span_t below;

	kb_trace_begin_caller(&trace, &span, PARENT "01");
	clock.now += 5;
	kb_trace_begin(&trace, &below, KB_SPAN_QUEUE, &span.context);
	clock.now += 7;
	kb_trace_end(&trace, &below, KB_ERR_DEADLINE, "race-1", "race-1-a");
	kb_trace_end(&trace, &span, KB_OK, "race-1", nullptr);
	ASSERT_EQ(2u, exporter.spans.size());
	const kb_span_t &queue = exporter.spans[0];
	const kb_span_t &caller = exporter.spans[1];
	char text[KB_TRACEPARENT_BYTES + 1];

	kb_trace_context_format(&caller.context, text);
	EXPECT_EQ(0, strncmp("00-" TRACE "-", text, 36));
	EXPECT_EQ(nullptr, strstr(text, SPAN));
	EXPECT_EQ(0, memcmp(queue.context.trace, caller.context.trace,
			    sizeof(caller.context.trace)));
	EXPECT_EQ(0, memcmp(queue.parent, caller.context.span,
			    sizeof(queue.parent)));
	EXPECT_EQ(7, queue.end - queue.start);
	EXPECT_EQ(12, caller.end - caller.start);
	EXPECT_EQ(KB_ERR_DEADLINE, queue.result);
	kb_trace_end(&trace, &span, KB_OK, nullptr, nullptr);
	EXPECT_EQ(2u, exporter.spans.size()) << "a span ends once";
}

TEST_F(Trace, SamplingAppliesOnlyWithoutASampledContext)
{
	struct {
		const char *parent;
		double sampling;
		bool recorded;
	} cases[] = {
		{ nullptr, 0, false },	   { nullptr, 1, true },
		{ PARENT "00", 0, false }, { PARENT "00", 1, true },
		{ PARENT "01", 0, true },  { "malformed", 0, false },
		{ "malformed", 1, true },
	};

	for (const auto &c : cases) {
		trace.sampling = c.sampling;
		exporter.spans.clear();
		kb_trace_begin_caller(&trace, &span, c.parent);
		EXPECT_EQ(c.recorded, !!span.context.sampled);
		kb_trace_end(&trace, &span, KB_OK, nullptr, nullptr);
		EXPECT_EQ(c.recorded ? 1u : 0u, exporter.spans.size());
	}
}

TEST_F(Trace, WithoutAnExporterNothingIsRecorded)
{
	kb_trace_context_t sampled = {};

	sampled.sampled = 1;
	trace.exporter = nullptr;
	trace.sampling = 1;
	kb_trace_begin_caller(&trace, &span, PARENT "01");
	EXPECT_FALSE(span.context.sampled);
	kb_trace_begin(&trace, &span, KB_SPAN_QUEUE, &sampled);
	EXPECT_FALSE(span.context.sampled);
	kb_trace_begin_caller(nullptr, &span, PARENT "01");
	kb_trace_end(nullptr, &span, KB_OK, nullptr, nullptr);
}

class TraceFile : public Trace
{
      protected:
	struct event_base *loop = event_base_new();
	char path[32] = "/tmp/kb-trace-XXXXXX";
	kb_trace_file_t file;
	kb_name_t host;

	void SetUp() override
	{
		close(mkstemp(path));
		kb_name_set(&host, KB_STR("h1"));
	}

	void TearDown() override
	{
		unlink(path);
		event_base_free(loop);
	}

	void record(int count)
	{
		for (int i = 0; i < count; i++) {
			kb_trace_begin_caller(&trace, &span, PARENT "01");
			kb_trace_end(&trace, &span, KB_ERR_UNKNOWN, "race-1",
				     "a\"b");
		}
	}
};

TEST_F(TraceFile, LinesAreOtlpJson)
{
	ASSERT_EQ(KB_OK, kb_trace_file_init(&file, loop, path, &host));
	trace.exporter = &file.base;
	record(2);
	kb_trace_file_finish(&file);
	std::ifstream lines(path);
	std::string line;
	int count = 0;

	while (std::getline(lines, line)) {
		json_t *json = json_loads(line.c_str(), 0, nullptr);
		const char *trace_id, *parent, *name, *start, *message, *key;
		int kind, code;

		ASSERT_NE(nullptr, json) << line;
		ASSERT_EQ(0,
			  json_unpack(json,
				      "{s:[{s:{s:[{s:s}*]},s:[{s:[{s:s,s:s,s:s,"
				      "s:i,s:s,s:{s:i,s:s}}]}]}]}",
				      "resourceSpans", "resource", "attributes",
				      "key", &key, "scopeSpans", "spans",
				      "traceId", &trace_id, "parentSpanId",
				      &parent, "name", &name, "kind", &kind,
				      "startTimeUnixNano", &start, "status",
				      "code", &code, "message", &message))
			<< line;
		EXPECT_STREQ(TRACE, trace_id);
		EXPECT_STREQ(SPAN, parent);
		EXPECT_STREQ("caller", name);
		EXPECT_EQ(2, kind);
		EXPECT_EQ(2, code);
		EXPECT_STREQ("outcome-unknown", message);
		EXPECT_EQ(std::to_string(clock.wall + clock.now), start);
		json_decref(json);
		count++;
	}
	EXPECT_EQ(2, count);
}

TEST_F(TraceFile, WriteErrorEndsOnlyTracing)
{
	ASSERT_EQ(KB_OK, kb_trace_file_init(&file, loop, "/dev/full", &host));
	trace.exporter = &file.base;
	/* More spans than fit into the buffer, so that the file is written. */
	record(400);
	EXPECT_EQ(nullptr, file.file);
	record(10);
	kb_trace_file_finish(&file);
}

TEST_F(TraceFile, OpenErrorIsReported)
{
	EXPECT_EQ(KB_ERR_IO,
		  kb_trace_file_init(&file, loop, "/nonexistent/x", &host));
}
