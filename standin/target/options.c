#include "options.h"

#include <argp.h>
#include <string.h>

enum {
	OPT_ADDRESS = 256,
	OPT_PORT,
	OPT_CONTROL_PORT,
	OPT_NAME,
	OPT_SLOTS,
	OPT_CONNECTIONS,
	OPT_CONNECT_DELAY,
	OPT_RECEIVE_LAG,
	OPT_APPLY_LAG,
	OPT_STATEMENT_TIME,
	OPT_ONE_WAY_LATENCY,
	OPT_PRIMARY_TERM,
	OPT_FOLLOW,
};

enum {
	DEFAULT_PORT = 7101,
	MAX_MS = 600000,
	MAX_SLOTS = 1000,
	MAX_CONNECTIONS = 10000,
};

static const struct argp_option option_table[] = {
	{ "address", OPT_ADDRESS, "ADDRESS", 0, "listen address (127.0.0.1)",
	  0 },
	{ "port", OPT_PORT, "PORT", 0,
	  "port of the wire protocol; replicas connect to this port + 100", 0 },
	{ "control-port", OPT_CONTROL_PORT, "PORT", 0,
	  "HTTP port for fault injection and state", 0 },
	{ "name", OPT_NAME, "NAME", 0, "name in messages", 0 },
	{ "slots", OPT_SLOTS, "N", 0, "maximum of concurrent statements", 0 },
	{ "connections", OPT_CONNECTIONS, "N", 0, "maximum of connections", 0 },
	{ "connect-delay", OPT_CONNECT_DELAY, "MS", 0,
	  "delay before a new connection is ready", 0 },
	{ "receive-lag", OPT_RECEIVE_LAG, "MS", 0,
	  "delay before an entry is received", 0 },
	{ "apply-lag", OPT_APPLY_LAG, "MS", 0,
	  "delay between receiving and applying an entry", 0 },
	{ "statement-time", OPT_STATEMENT_TIME, "MS", 0,
	  "time that a statement occupies a slot", 0 },
	{ "one-way-latency", OPT_ONE_WAY_LATENCY, "MS", 0,
	  "delay before each answer", 0 },
	{ "primary-term", OPT_PRIMARY_TERM, "TERM", 0,
	  "start as the primary of this term", 0 },
	{ "follow", OPT_FOLLOW, "ADDRESS:PORT", 0,
	  "start as a replica of this wire port", 0 },
	{ 0 },
};

static uint64_t number(struct argp_state *state, const char *text, uint64_t max)
{
	uint64_t value = 0;

	if (kb_str_to_u64(kb_str_from(text), &value) || value > max)
		argp_error(state, "%s is not a number up to %llu", text,
			   (unsigned long long)max);
	return value;
}

static void parse_follow(struct argp_state *state, st_options_t *options,
			 const char *text)
{
	const char *colon = strrchr(text, ':');
	kb_str_t address = { text, colon ? (size_t)(colon - text) : 0 };

	if (!colon || kb_name_set(&options->follow_address, address))
		argp_error(state, "%s is not ADDRESS:PORT", text);
	else
		options->follow_port =
			(uint16_t)number(state, colon + 1, UINT16_MAX);
}

static error_t parse_load_option(int key, const char *arg,
				 struct argp_state *state,
				 st_options_t *options)
{
	switch (key) {
	case OPT_SLOTS:
		options->slots = (unsigned)number(state, arg, MAX_SLOTS);
		return 0;
	case OPT_CONNECTIONS:
		options->connections =
			(unsigned)number(state, arg, MAX_CONNECTIONS);
		return 0;
	case OPT_CONNECT_DELAY:
		options->connect_delay_ms =
			(unsigned)number(state, arg, MAX_MS);
		return 0;
	case OPT_RECEIVE_LAG:
		options->receive_lag_ms = (unsigned)number(state, arg, MAX_MS);
		return 0;
	case OPT_APPLY_LAG:
		options->apply_lag_ms = (unsigned)number(state, arg, MAX_MS);
		return 0;
	case OPT_STATEMENT_TIME:
		options->statement_time_ms =
			(unsigned)number(state, arg, MAX_MS);
		return 0;
	case OPT_ONE_WAY_LATENCY:
		options->one_way_latency_ms =
			(unsigned)number(state, arg, MAX_MS);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	st_options_t *options = state->input;

	switch (key) {
	case OPT_ADDRESS:
		options->address = arg;
		return 0;
	case OPT_PORT:
		options->port = (uint16_t)number(
			state, arg, UINT16_MAX - ST_REPLICATION_OFFSET);
		return 0;
	case OPT_CONTROL_PORT:
		options->control_port =
			(uint16_t)number(state, arg, UINT16_MAX);
		return 0;
	case OPT_NAME:
		options->name = arg;
		return 0;
	case OPT_PRIMARY_TERM:
		options->primary_term = number(state, arg, UINT32_MAX);
		return 0;
	case OPT_FOLLOW:
		parse_follow(state, options, arg);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument %s", arg);
		return 0;
	default:
		return parse_load_option(key, arg, state, options);
	}
}

void st_options_parse(st_options_t *options, int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "A small stand-in for a PostgreSQL target, for tests.",
	};

	memset(options, 0, sizeof(*options));
	options->address = "127.0.0.1";
	options->port = DEFAULT_PORT;
	options->name = "target";
	argp_parse(&argp, argc, argv, 0, NULL, options);
}
