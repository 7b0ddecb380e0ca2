#include "options.h"

#include "duration.h"

#include <argp.h>
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum {
	OPT_HOSTS = 256,
	OPT_GROUP,
	OPT_TOKEN,
	OPT_RATE,
	OPT_SECONDS,
	OPT_SESSIONS,
	OPT_SEED,
	OPT_WORKLOAD,
	OPT_DEADLINE,
	OPT_VERIFY_SECONDS,
	OPT_READ_KIND,
	OPT_JSON,
	OPT_FORBID_UNANSWERED,
	OPT_ALLOW_NON_LOOPBACK,
};

enum {
	DEFAULT_RATE = 100,
	DEFAULT_SECONDS = 60,
	DEFAULT_SESSIONS = 64,
	DEFAULT_DEADLINE_MS = 2000,
	DEFAULT_VERIFY_SECONDS = 120,
	MAX_RATE = 20000,
	MAX_SECONDS = 3600,
	MAX_SESSIONS = 5000,
	MAX_DEADLINE_MS = 60000,
	LOOPBACK_NET = 127,
	NET_SHIFT = 24,
};

static const struct argp_option option_table[] = {
	{ "hosts", OPT_HOSTS, "ADDRESS:PORT,...", 0,
	  "caller interfaces of the fleet (127.0.0.1:8101)", 0 },
	{ "group", OPT_GROUP, "NAME", 0, "database group (main)", 0 },
	{ "token", OPT_TOKEN, "SECRET", 0, "bearer token of the caller", 0 },
	{ "workload", OPT_WORKLOAD, "NAME", 0, "kalahari or sledza", 0 },
	{ "rate", OPT_RATE, "N", 0, "arrivals a second (100)", 0 },
	{ "seconds", OPT_SECONDS, "N", 0, "length of the load (60)", 0 },
	{ "sessions", OPT_SESSIONS, "N", 0, "sessions (64)", 0 },
	{ "seed", OPT_SEED, "N", 0, "seed of the random numbers (1)", 0 },
	{ "deadline", OPT_DEADLINE, "MS", 0, "deadline of requests (2000)", 0 },
	{ "verify-seconds", OPT_VERIFY_SECONDS, "N", 0,
	  "time limit of the verification at the end (120)", 0 },
	{ "read-kind", OPT_READ_KIND, "NAME=AGE", 0,
	  "maximum age of a read kind, such as browse=2s", 0 },
	{ "json", OPT_JSON, "FILE", 0, "write the report as JSON, too", 0 },
	{ "forbid-unanswered", OPT_FORBID_UNANSWERED, NULL, 0,
	  "count a request without a response as a broken promise; for runs "
	  "in which no host fails",
	  0 },
	{ "allow-non-loopback", OPT_ALLOW_NON_LOOPBACK, NULL, 0,
	  "accept hosts that are not on the loopback interface", 0 },
	{ 0 },
};

static uint64_t number(struct argp_state *state, const char *text, uint64_t max)
{
	uint64_t value = 0;

	if (kb_str_to_u64(kb_str_from(text), &value) || !value || value > max)
		argp_error(state, "%s is not a number from 1 to %llu", text,
			   (unsigned long long)max);
	return value;
}

static void add_host(struct argp_state *state, kl_options_t *options,
		     kb_str_t text)
{
	const char *colon = memchr(text.data, ':', text.len);
	kl_endpoint_t *host = &options->hosts[options->host_count];
	kb_str_t address = { text.data,
			     colon ? (size_t)(colon - text.data) : 0 };
	kb_str_t port = { colon ? colon + 1 : NULL,
			  colon ? text.len - address.len - 1 : 0 };
	struct in_addr parsed;
	uint64_t value = 0;

	if (options->host_count == KL_HOSTS_MAX)
		argp_error(state, "at most %d hosts", KL_HOSTS_MAX);
	if (!colon || kb_name_set(&host->address, address) ||
	    inet_pton(AF_INET, host->address.data, &parsed) != 1 ||
	    kb_str_to_u64(port, &value) || !value || value > UINT16_MAX)
		argp_error(state, "%.*s is not ADDRESS:PORT", KB_STR_ARG(text));
	host->port = (uint16_t)value;
	options->host_count++;
}

static void add_hosts(struct argp_state *state, kl_options_t *options,
		      const char *list)
{
	options->host_count = 0;
	while (*list) {
		kb_str_t host = { list, strcspn(list, ",") };

		add_host(state, options, host);
		list += host.len;
		list += *list == ',';
	}
}

static void add_read_kind(struct argp_state *state, kl_options_t *options,
			  const char *text)
{
	const char *equals = strchr(text, '=');
	kb_str_t name = { text, equals ? (size_t)(equals - text) : 0 };
	size_t i = options->read_kind_count;

	if (i == KL_OPS_MAX)
		argp_error(state, "at most %d read kinds", KL_OPS_MAX);
	if (!equals || kb_name_set(&options->read_kinds[i], name) ||
	    kb_duration_parse(kb_str_from(equals + 1), &options->max_ages[i]))
		argp_error(state, "%s is not NAME=AGE", text);
	options->read_kind_count++;
}

static void check_hosts(struct argp_state *state, const kl_options_t *options)
{
	if (!options->host_count)
		argp_error(state, "no host is given");
	for (size_t i = 0; i < options->host_count; i++) {
		in_addr_t address =
			ntohl(inet_addr(options->hosts[i].address.data));

		if (!options->allow_non_loopback &&
		    address >> NET_SHIFT != LOOPBACK_NET)
			argp_error(state,
				   "%s is not on the loopback interface; see "
				   "--allow-non-loopback",
				   options->hosts[i].address.data);
	}
}

static error_t parse_load_option(int key, const char *arg,
				 struct argp_state *state,
				 kl_options_t *options)
{
	switch (key) {
	case OPT_RATE:
		options->rate = (double)number(state, arg, MAX_RATE);
		return 0;
	case OPT_SECONDS:
		options->seconds = (unsigned)number(state, arg, MAX_SECONDS);
		return 0;
	case OPT_SESSIONS:
		options->sessions = (unsigned)number(state, arg, MAX_SESSIONS);
		return 0;
	case OPT_SEED:
		options->seed = number(state, arg, UINT32_MAX);
		return 0;
	case OPT_DEADLINE:
		options->deadline_ms =
			(unsigned)number(state, arg, MAX_DEADLINE_MS);
		return 0;
	case OPT_VERIFY_SECONDS:
		options->verify_seconds =
			(unsigned)number(state, arg, MAX_SECONDS);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	kl_options_t *options = state->input;

	switch (key) {
	case OPT_HOSTS:
		add_hosts(state, options, arg);
		return 0;
	case OPT_GROUP:
		options->group = arg;
		return 0;
	case OPT_TOKEN:
		options->token = arg;
		return 0;
	case OPT_WORKLOAD:
		options->workload = kl_workload_find(arg);
		if (!options->workload)
			argp_error(state, "unknown workload %s", arg);
		return 0;
	case OPT_READ_KIND:
		add_read_kind(state, options, arg);
		return 0;
	case OPT_JSON:
		options->json_path = arg;
		return 0;
	case OPT_FORBID_UNANSWERED:
		options->forbid_unanswered = 1;
		return 0;
	case OPT_ALLOW_NON_LOOPBACK:
		options->allow_non_loopback = 1;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument %s", arg);
		return 0;
	case ARGP_KEY_END:
		check_hosts(state, options);
		return 0;
	default:
		return parse_load_option(key, arg, state, options);
	}
}

void kl_options_parse(kl_options_t *options, int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Generates the load of a deployment against a fleet and "
		       "checks the guarantees of the proxy.\vThe exit status "
		       "is 0 if "
		       "every promise held, 1 if one was broken and 2 if the "
		       "run could not be completed or checked.",
	};

	memset(options, 0, sizeof(*options));
	kb_name_set(&options->hosts[0].address, KB_STR("127.0.0.1"));
	options->hosts[0].port = 8101;
	options->host_count = 1;
	options->group = "main";
	options->token = "";
	options->workload = kl_workload_find("sledza");
	options->rate = DEFAULT_RATE;
	options->seconds = DEFAULT_SECONDS;
	options->sessions = DEFAULT_SESSIONS;
	options->seed = 1;
	options->deadline_ms = DEFAULT_DEADLINE_MS;
	options->verify_seconds = DEFAULT_VERIFY_SECONDS;
	argp_program_version = "kumquatload " KB_VERSION;
	argp_parse(&argp, argc, argv, 0, NULL, options);
}

kb_time_t kl_options_max_age(const kl_options_t *options,
			     const kl_read_kind_t *read_kind)
{
	for (size_t i = 0; i < options->read_kind_count; i++)
		if (kb_name_is(&options->read_kinds[i],
			       kb_str_from(read_kind->name)))
			return options->max_ages[i];
	return read_kind->max_age;
}
