#include "closed_loop.h"
#include "process_usage.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Measures requests per second and processor time per request through one host
 * and through two, compared with libpq connections to the same targets.
 */

enum {
	DEFAULT_REQUESTS = 20000,
	DEFAULT_CONNECTIONS = 16,
	DECIMAL = 10,
	MAX_CONNECTIONS = 512,
	MAX_REQUESTS = 1000000,
};

typedef struct options {
	unsigned gate_port, entry_port, primary_port, replica_port;
	size_t requests, connections;
	process_list_t hosts, targets;
	const char *group;
	int writes_only;
} options_t;

/* Throughput and resource usage of one run. */
typedef struct usage {
	closed_loop_result_t loop;
	/* Processor time per request, in microseconds. */
	double gate_us, entry_us, hosts_us, targets_us;
} usage_t;

static const struct argp_option argp_options[] = {
	{ "gate", 'g', "PORT", 0, "HTTP port of the gate's host", 0 },
	{ "entry", 'e', "PORT", 0, "HTTP port of another host", 0 },
	{ "primary", 'p', "PORT", 0, "port of the primary", 0 },
	{ "replica", 'r', "PORT", 0, "port of a replica", 0 },
	{ "hosts", 'H', "PID,...", 0,
	  "processes of the gate, the entry and other hosts", 0 },
	{ "targets", 'T', "PID,...", 0, "processes of the targets", 0 },
	{ "group", 'G', "NAME", 0, "group (repairs-1)", 0 },
	{ "requests", 'n', "N", 0, "requests per run (20000)", 0 },
	{ "connections", 'c', "N", 0, "connections (16)", 0 },
	{ "writes-only", 'w', NULL, 0, "only run writes through the gate", 0 },
	{ 0 },
};

static unsigned parse_number(struct argp_state *state, const char *text,
			     unsigned most)
{
	char *end;
	unsigned long number = strtoul(text, &end, DECIMAL);

	if (*end || !number || number > most)
		argp_error(state, "%s is not a number from 1 to %u", text,
			   most);
	return (unsigned)number;
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 'g':
		options->gate_port = parse_number(state, text, UINT16_MAX);
		break;
	case 'e':
		options->entry_port = parse_number(state, text, UINT16_MAX);
		break;
	case 'p':
		options->primary_port = parse_number(state, text, UINT16_MAX);
		break;
	case 'r':
		options->replica_port = parse_number(state, text, UINT16_MAX);
		break;
	case 'H':
		if (process_list_parse(&options->hosts, text) ||
		    options->hosts.count < 2)
			argp_error(state,
				   "--hosts needs at least two process ids");
		break;
	case 'T':
		if (process_list_parse(&options->targets, text))
			argp_error(state, "%s is not a list of process ids",
				   text);
		break;
	case 'G':
		options->group = text;
		break;
	case 'n':
		options->requests = parse_number(state, text, MAX_REQUESTS);
		break;
	case 'c':
		options->connections =
			parse_number(state, text, MAX_CONNECTIONS);
		break;
	case 'w':
		options->writes_only = 1;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static double sum_cpu_us(const process_list_t *list)
{
	double sum = 0;

	for (size_t i = 0; i < list->count; i++)
		sum += process_cpu_us(list->pids[i]);
	return sum;
}

/* Runs one case: over HTTP to a host, or directly over libpq to a target. */
static int run(const options_t *options, unsigned port, int direct,
	       const char *read_kind, usage_t *usage)
{
	static uint64_t runs;
	closed_loop_request_t request = {
		.address = "127.0.0.1",
		.port = port,
		.sql = read_kind ? "SELECT id, body FROM hops WHERE id = $1"
				 : "INSERT INTO hops (body) VALUES ($1)",
		.read_kind = read_kind,
		.group = options->group,
		.token = "example-caller-token",
		.run = (uint64_t)closed_loop_now() + ++runs,
	};
	double gate = process_cpu_us(options->hosts.pids[0]);
	double entry = process_cpu_us(options->hosts.pids[1]);
	double hosts = sum_cpu_us(&options->hosts);
	double targets = sum_cpu_us(&options->targets);
	double n = (double)options->requests;
	kb_result_t error;

	error = direct ? closed_loop_run_pq(&request, options->connections,
					    options->requests, &usage->loop)
		       : closed_loop_run_http(&request, options->connections,
					      options->requests, &usage->loop);
	if (error) {
		fprintf(stderr, "%s\n", kb_result_name(error));
		return -1;
	}
	usage->gate_us = (process_cpu_us(options->hosts.pids[0]) - gate) / n;
	usage->entry_us = (process_cpu_us(options->hosts.pids[1]) - entry) / n;
	usage->hosts_us = (sum_cpu_us(&options->hosts) - hosts) / n;
	usage->targets_us = (sum_cpu_us(&options->targets) - targets) / n;
	if (usage->loop.failed)
		fprintf(stderr, "%zu requests failed\n", usage->loop.failed);
	return usage->loop.failed ? -1 : 0;
}

static void print_row(const char *what, const char *path, const usage_t *usage,
		      const usage_t *base)
{
	printf("%-6s %-8s %8.0f %7.3f %8.0f %8.0f %7.1f %7.1f %7.1f %7.1f "
	       "%7.2f\n",
	       what, path, usage->loop.per_s,
	       usage->loop.per_s / base->loop.per_s, usage->loop.median_us,
	       usage->loop.p99_us, usage->gate_us, usage->entry_us,
	       usage->hosts_us, usage->targets_us,
	       (usage->hosts_us + usage->targets_us) / base->targets_us);
}

static void print_json(const char *name, const usage_t *usage)
{
	printf(",\"%s\":{\"per_s\":%.0f,\"median_us\":%.0f,\"p99_us\":%.0f,"
	       "\"gate_cpu_us\":%.1f,\"entry_cpu_us\":%.1f,"
	       "\"hosts_cpu_us\":%.1f,\"targets_cpu_us\":%.1f}",
	       name, usage->loop.per_s, usage->loop.median_us,
	       usage->loop.p99_us, usage->gate_us, usage->entry_us,
	       usage->hosts_us, usage->targets_us);
}

static int compare_paths(const options_t *options)
{
	static const char *const kinds[] = { "browse", NULL };
	static const char *const paths[] = { "straight", "one hop",
					     "two hops" };
	static const char *const names[][3] = {
		{ "read_straight", "read_one_hop", "read_two_hops" },
		{ "write_straight", "write_one_hop", "write_two_hops" },
	};
	usage_t usage[2][3];

	puts("                requests  ratio   median      p99  processor us "
	     "a request\n"
	     "what   path      a second             us       us    gate   "
	     "entry   hosts targets   ratio");
	for (size_t i = 0; i < 2; i++) {
		unsigned ports[] = { kinds[i] ? options->replica_port
					      : options->primary_port,
				     options->gate_port, options->entry_port };

		for (size_t j = 0; j < 3; j++) {
			if (run(options, ports[j], !j, kinds[i], &usage[i][j]))
				return EXIT_FAILURE;
			print_row(kinds[i] ? "read" : "write", paths[j],
				  &usage[i][j], &usage[i][0]);
		}
	}
	printf("{\"bench\":\"hops\",\"requests\":%zu,\"connections\":%zu",
	       options->requests, options->connections);
	for (size_t i = 0; i < 2; i++)
		for (size_t j = 0; j < 3; j++)
			print_json(names[i][j], &usage[i][j]);
	puts("}");
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		argp_options,
		parse_option,
		NULL,
		"Measures the cost of one hop and of two. The fleet must be "
		"running.",
		NULL,
		NULL,
		NULL,
	};
	options_t options = {
		.requests = DEFAULT_REQUESTS,
		.connections = DEFAULT_CONNECTIONS,
		.group = "repairs-1",
	};
	usage_t usage;

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return EXIT_FAILURE;
	if (options.hosts.count < 2) {
		fputs("bench_hops: --hosts is required\n", stderr);
		return EXIT_FAILURE;
	}
	if (!options.writes_only)
		return compare_paths(&options);
	if (run(&options, options.gate_port, 0, NULL, &usage))
		return EXIT_FAILURE;
	printf("%.0f %.0f %.0f\n", usage.loop.per_s, usage.loop.median_us,
	       usage.loop.p99_us);
	return EXIT_SUCCESS;
}
