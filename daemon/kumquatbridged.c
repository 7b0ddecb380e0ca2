#include "kumquatbridge.h"

#include "log.h"
#include "session_server.h"
#include "settings.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/* Exit statuses beside EXIT_SUCCESS. */
enum {
	EXIT_SETTINGS = 2,
	EXIT_RUN = 1,
};

typedef struct options {
	const char *config;
	int check;
} options_t;

static const struct argp_option option_list[] = {
	{ "config", 'c', "FILE", 0, "Read the settings from FILE", 0 },
	{ "check", 'k', NULL, 0, "Check the settings and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 'c':
		options->config = arg;
		return 0;
	case 'k':
		options->check = 1;
		return 0;
	case ARGP_KEY_END:
		if (!options->config)
			argp_error(state, "--config is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	.options = option_list,
	.parser = parse_option,
	.doc = "Database proxy with session consistency: the daemon that every "
	       "entry host runs.",
};

static void print_fault(void *ctx, const char *file, int line, const char *key,
			const char *message)
{
	(void)ctx;
	if (line)
		fprintf(stderr, "%s:%d: %s %s\n", file, line, key, message);
	else
		fprintf(stderr, "%s: %s %s\n", file, key, message);
}

/* Serves callers over HTTP and targets through libpq. */
static kb_result_t run_daemon(const kb_settings_t *settings)
{
	kb_daemon_t *daemon = NULL;
	kb_clock_t clock;
	kb_result_t result;

	kb_clock_init_system(&clock);
	result = kb_daemon_create(&daemon, settings, &clock);
	if (!result)
		result = kb_daemon_run(daemon);
	kb_daemon_free(daemon);
	return result;
}

/* Serves sessions of the platform's callers. */
static kb_result_t run_session_server(const kb_settings_t *settings,
				      const char *path)
{
	kb_clock_t clock;

	kb_clock_init_suspendable(&clock);
	return kb_session_server_run(settings, path, &clock);
}

static int run(const kb_settings_t *settings, const char *path)
{
	kb_result_t result;

	result = kb_log_init(settings->host.data, settings->log_level);
	if (!result)
		result = settings->listen_sessions.port
				 ? run_session_server(settings, path)
				 : run_daemon(settings);
	kb_log_finish();
	if (!result)
		return EXIT_SUCCESS;
	fprintf(stderr, "kumquatbridged: %s\n", kb_strerror(result));
	return EXIT_RUN;
}

int main(int argc, char **argv)
{
	kb_settings_t *settings = NULL;
	options_t options = { 0 };
	int status = EXIT_SUCCESS;

	argp_program_version = kb_version_string();
	argp_parse(&parser, argc, argv, 0, NULL, &options);
	if (kb_settings_load(&settings, options.config, print_fault, NULL))
		return EXIT_SETTINGS;
	if (!options.check)
		status = run(settings, options.config);
	kb_settings_free(settings);
	return status;
}
