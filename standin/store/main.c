#include "gateway.h"

#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	PORT_DEFAULT = 2379,
	PORT_MAX = 65535,
	KEY_PORT = 'p',
	KEY_ADDRESS = 'a',
	KEY_HOSTS_FILE = 'f',
};

typedef struct standin_options {
	const char *address;
	uint16_t port;
	const char *hosts_file;
} standin_options_t;

static const struct argp_option option_list[] = {
	{ "address", KEY_ADDRESS, "IP", 0, "Listen on this IP address", 0 },
	{ "port", KEY_PORT, "PORT", 0, "Listen on this port", 0 },
	{ "hosts-file", KEY_HOSTS_FILE, "FILE", 0,
	  "Serve the list of hosts from this JSON file", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	standin_options_t *options = state->input;
	uint64_t port;

	switch (key) {
	case KEY_ADDRESS:
		options->address = arg;
		return 0;
	case KEY_PORT:
		if (kb_str_to_u64(kb_str_from(arg), &port) != KB_OK || !port ||
		    port > PORT_MAX)
			argp_error(state, "--port must be 1 to %d", PORT_MAX);
		options->port = (uint16_t)port;
		return 0;
	case KEY_HOSTS_FILE:
		options->hosts_file = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	option_list,
	parse_option,
	NULL,
	"Stand-in for the platform's key-value service and its list of hosts. "
	"POST /fault sets down, delayMs, loseAnswers, staleReads and "
	"hostsLagMs; GET /counters returns the number of calls.",
	NULL,
	NULL,
	NULL
};

static void on_signal(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(ctx);
}

static kb_result_t load_hosts(standin_hosts_t *hosts, const char *path)
{
	json_error_t error;
	json_t *list = json_load_file(path, 0, &error);
	kb_result_t result;

	if (!list) {
		fprintf(stderr, "%s:%d: %s\n", path, error.line, error.text);
		return KB_ERR_INVALID;
	}
	result = standin_hosts_set(hosts, list);
	if (result != KB_OK)
		fprintf(stderr, "%s: not a list of hosts\n", path);
	json_decref(list);
	return result;
}

static int serve(struct event_base *base, const standin_options_t *options)
{
	struct event *on_term = evsignal_new(base, SIGTERM, on_signal, base);
	struct event *on_int = evsignal_new(base, SIGINT, on_signal, base);
	standin_gateway_t gateway;
	int status = EXIT_FAILURE;

	if (standin_gateway_init(&gateway, base, options->address,
				 options->port) != KB_OK) {
		fprintf(stderr, "cannot listen on %s port %d\n",
			options->address, options->port);
		goto out;
	}
	if (options->hosts_file &&
	    load_hosts(&gateway.hosts, options->hosts_file) != KB_OK)
		goto finish;
	if (!on_term || !on_int || event_add(on_term, NULL) ||
	    event_add(on_int, NULL))
		goto finish;
	event_base_dispatch(base);
	status = EXIT_SUCCESS;
finish:
	standin_gateway_finish(&gateway);
out:
	if (on_int)
		event_free(on_int);
	if (on_term)
		event_free(on_term);
	return status;
}

int main(int argc, char **argv)
{
	standin_options_t options = { "127.0.0.1", PORT_DEFAULT, NULL };
	struct event_base *base;
	int status;

	argp_parse(&parser, argc, argv, 0, NULL, &options);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	if (!base)
		return EXIT_FAILURE;
	status = serve(base, &options);
	event_base_free(base);
	return status;
}
