#include "daemon_metrics.h"
#include "metrics_text.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <regex>
#include <set>
#include <sstream>

/* Parses a text in the Prometheus format and reports the first error. */
class MetricsText
{
      public:
	/* Values by name and labels, as written. */
	std::map<std::string, double> values;
	std::map<std::string, std::string> types;
	std::string fault;

	explicit MetricsText(const std::string &text)
	{
		std::istringstream lines(text);
		std::string line;

		if (text.empty() || text.back() != '\n')
			fault = "the last line has no line end";
		while (fault.empty() && std::getline(lines, line))
			parse_line(line);
	}

      private:
	std::string help, family;

	void fail(const std::string &why, const std::string &line)
	{
		fault = why + ": " + line;
	}

	void parse_line(const std::string &line)
	{
		static const std::regex help_line(
			"# HELP ([a-zA-Z_:][a-zA-Z0-9_:]*) .+");
		static const std::regex type_line(
			"# TYPE ([a-zA-Z_:][a-zA-Z0-9_:]*) (counter|gauge)");
		static const std::regex value_line(
			"([a-zA-Z_:][a-zA-Z0-9_:]*)"
			"(\\{[a-zA-Z_][a-zA-Z0-9_]*=\"([^\"\\\\\n]|\\\\["
			"\\\\\"n])"
			"*\"\\})? (-?[0-9][0-9.e+-]*)");
		std::smatch m;

		if (std::regex_match(line, m, help_line)) {
			help = m[1];
		} else if (std::regex_match(line, m, type_line)) {
			family = m[1];
			if (family != help)
				fail("TYPE without HELP", line);
			if (!types.insert({ family, m[2] }).second)
				fail("duplicate family", line);
		} else if (std::regex_match(line, m, value_line)) {
			if (m[1] != family)
				fail("value outside its family", line);
			if (types[family] == "counter" &&
			    !std::regex_search(family, std::regex("_total$")))
				fail("counter without _total", line);
			if (!values.insert({ m[1].str() + m[2].str(),
					     std::stod(m[4]) })
				     .second)
				fail("duplicate value", line);
		} else {
			fail("malformed", line);
		}
	}
};

static std::string text_of(struct evbuffer *buffer)
{
	std::string text(evbuffer_get_length(buffer), 0);

	evbuffer_remove(buffer, &text[0], text.size());
	return text;
}

TEST(Metrics, ParserReportsErrors)
{
	for (const char *text :
	     { "", "x 1", "x 1\n", "# TYPE x counter\nx 1\n",
	       "# HELP x h\n# TYPE x gauge\nx{a=\"b} 1\n",
	       "# HELP x h\n# TYPE x gauge\nx{a=\"\"\"} 1\n",
	       "# HELP x h\n# TYPE x gauge\nx one\n",
	       "# HELP x h\n# TYPE x gauge\nx 1\nx 2\n",
	       "# HELP x h\n# TYPE x counter\nx 1\n",
	       "# HELP x h\n# TYPE x gauge\ny 1\n",
	       "# HELP x h\n# TYPE x gauge\n# HELP x h\n# TYPE x gauge\n" })
		EXPECT_NE("", MetricsText(text).fault) << text;
	EXPECT_EQ("", MetricsText("# HELP x h\n# TYPE x gauge\nx 1\n").fault);
}

TEST(Metrics, LabelsAreEscaped)
{
	struct evbuffer *out = evbuffer_new();

	kb_metrics_text_family(out, "x", "gauge", "help");
	kb_metrics_text_value(out, "x", "name", "a\"b\\c\nd", 1.5);
	MetricsText text(text_of(out));

	EXPECT_EQ("", text.fault);
	EXPECT_EQ(1.5,
		  text.values["kumquatbridge_x{name=\"a\\\"b\\\\c\\nd\"}"]);
	evbuffer_free(out);
}

TEST(Metrics, DaemonMetricsAreWellFormed)
{
	std::unique_ptr<kb_daemon_t> daemon(new kb_daemon_t());
	std::unique_ptr<kb_group_service_t> services[2];
	std::unique_ptr<kb_target_gate_t> gates[4];
	struct evbuffer *out = evbuffer_new();
	kb_host_t hosts[2] = {};
	kb_host_t *list[2] = { &hosts[0], &hosts[1] };

	for (size_t i = 0; i < 2; i++) {
		std::string name = "race-" + std::to_string(i);

		services[i].reset(new kb_group_service_t());
		kb_name_set(&services[i]->spec.name,
			    { name.data(), name.size() });
		services[i]->next = daemon->services.first;
		daemon->services.first = services[i].get();
	}
	for (size_t i = 0; i < 4; i++) {
		std::string name = "target-" + std::to_string(i);

		gates[i].reset(new kb_target_gate_t());
		kb_name_set(&gates[i]->spec.name, { name.data(), name.size() });
		gates[i]->counters.queue_wait = 1500 * KB_NS_PER_MS;
		gates[i]->counters.queue_waits = 3;
		gates[i]->counters.confirm_wait = 250 * KB_NS_PER_MS;
		services[i / 2]->gates[i % 2] = gates[i].get();
	}
	hosts[0].peer.counters.late_replies = 4;
	hosts[1].peer.counters.late_replies = 5;
	daemon->hosts.hosts = list;
	daemon->hosts.count = 2;
	daemon->server.counters.malformed = 6;
	daemon->server.counters.dropped_replies = 7;
	daemon->router.counters.region_waits = 8;
	daemon->callers.counters.results[KB_OK] = 9;
	daemon->callers.counters.results[KB_ERR_UNKNOWN] = (uint64_t)1 << 50;
	kb_class_durations_add(&daemon->callers.durations, KB_STR("clocking"),
			       2 * KB_NS_PER_S);
	kb_class_durations_add(&daemon->callers.durations, KB_STR("clocking"),
			       KB_NS_PER_S);
	kb_class_durations_add(&daemon->callers.durations, KB_STR("bulk"), 0);
	kb_daemon_metrics_write(daemon.get(), out);
	MetricsText text(text_of(out));

	evbuffer_free(out);
	ASSERT_EQ("", text.fault);
	const std::map<std::string, double> expected = {
		{ "gate_queue_wait_seconds_total{target=\"target-3\"}", 1.5 },
		{ "gate_queue_waits_total{target=\"target-0\"}", 3 },
		{ "gate_confirmation_wait_seconds_total{target=\"target-1\"}",
		  0.25 },
		{ "peer_late_replies_total", 9 },
		{ "host_malformed_total", 6 },
		{ "host_replies_dropped_total", 7 },
		{ "region_waits_total", 8 },
		{ "results_total{result=\"ok\"}", 9 },
		{ "results_total{result=\"outcome-unknown\"}", 1LL << 50 },
		{ "request_durations_total{class=\"clocking\"}", 2 },
		{ "request_duration_seconds_total{class=\"clocking\"}", 3 },
		{ "request_durations_total{class=\"bulk\"}", 1 },
	};

	for (const auto &value : expected) {
		auto found = text.values.find("kumquatbridge_" + value.first);

		ASSERT_NE(text.values.end(), found) << value.first;
		EXPECT_EQ(value.second, found->second) << value.first;
	}
}
