#include "options.h"
#include "duration.h"

#include <argp.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVER_DEFAULT "127.0.0.1:7400"
#define TIMEOUT_DEFAULT (30 * KB_NS_PER_S)

enum {
	PORT_MAX = 65535,
	KEY_SERVER = 's',
	KEY_FILE = 'f',
	KEY_OUTPUT = 'o',
	KEY_WAIT = 'w',
	KEY_TOKEN_FILE = 256,
	KEY_DRY_RUN,
	KEY_TIMEOUT,
	KEY_REVISION,
	KEY_AFTER,
};

static const struct argp_option option_list[] = {
	{ "server", KEY_SERVER, "ADDRESS:PORT", 0,
	  "Operator interface of any host (default $KUMQUAT_SERVER "
	  "or " SERVER_DEFAULT ")",
	  0 },
	{ "token-file", KEY_TOKEN_FILE, "FILE", 0,
	  "Read the token from FILE (default $KUMQUAT_TOKEN)", 0 },
	{ "file", KEY_FILE, "FILE", 0,
	  "Resources to apply: a JSON object or an array; - is standard input",
	  0 },
	{ "output", KEY_OUTPUT, "FORMAT", 0, "json or table (default)", 0 },
	{ "dry-run", KEY_DRY_RUN, NULL, 0, "Validate only", 0 },
	{ "wait", KEY_WAIT, NULL, 0,
	  "Wait until the change is in force everywhere", 0 },
	{ "timeout", KEY_TIMEOUT, "DURATION", 0,
	  "Time limit of each call and of --wait (default 30s)", 0 },
	{ "revision", KEY_REVISION, "REVISION", 0,
	  "Delete only if the resource has this revision", 0 },
	{ "after", KEY_AFTER, "REVISION", 0,
	  "Watch changes after this revision", 0 },
	{ 0 },
};

static const char usage[] = "get KIND [NAME]\n"
			    "apply -f FILE [--dry-run] [--wait]\n"
			    "watch [KIND [NAME]]\n"
			    "delete KIND NAME\n"
			    "drain host NAME\n"
			    "drain target GROUP/NAME\n"
			    "status";

static const char doc[] =
	"Changes the resources of kumquatbridge and shows on which hosts they "
	"are in force."
	"\v"
	"Kinds: group, read-kind, traffic-class, host, planned-stop.\n\n"
	"Exit status: 0 done; 1 refused, nothing changed; 2 conflict, nothing "
	"changed; 3 outcome unknown, check before retrying; 4 server "
	"unreachable, nothing changed; 5 accepted but not yet in force "
	"everywhere; 64 usage error.";

const char *argp_program_version = "kumquatctl " KB_VERSION;

static kb_result_t parse_server(ctl_options_t *options, const char *text)
{
	const char *colon = strrchr(text, ':');
	kb_str_t address;
	uint64_t port;

	if (!colon || kb_str_to_u64(kb_str_from(colon + 1), &port) != KB_OK ||
	    !port || port > PORT_MAX)
		return KB_ERR_INVALID;
	address = (kb_str_t){ text, (size_t)(colon - text) };
	/* An IPv6 address is enclosed in brackets. */
	if (address.len > 2 && address.data[0] == '[' &&
	    address.data[address.len - 1] == ']')
		address = (kb_str_t){ address.data + 1, address.len - 2 };
	options->port = (uint16_t)port;
	return kb_name_set(&options->address, address);
}

static kb_result_t set_token(ctl_options_t *options, const char *text)
{
	size_t len = strlen(text);

	while (len && isspace((unsigned char)text[len - 1]))
		len--;
	if (!len || len >= sizeof(options->token))
		return KB_ERR_INVALID;
	memcpy(options->token, text, len);
	options->token[len] = 0;
	return KB_OK;
}

static kb_result_t read_token(ctl_options_t *options, const char *path)
{
	char text[CTL_TOKEN_BYTES + 1];
	FILE *file = fopen(path, "r");
	size_t len;

	if (!file)
		return KB_ERR_IO;
	len = fread(text, 1, sizeof(text) - 1, file);
	fclose(file);
	text[len] = 0;
	return set_token(options, text);
}

static void parse_output(ctl_options_t *options, const char *arg,
			 const struct argp_state *state)
{
	if (!strcmp(arg, "json"))
		options->output = CTL_JSON;
	else if (!strcmp(arg, "table"))
		options->output = CTL_TABLE;
	else
		argp_error(state, "--output must be json or table");
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	ctl_options_t *options = state->input;

	switch (key) {
	case KEY_SERVER:
		if (parse_server(options, arg) != KB_OK)
			argp_error(state, "--server must be ADDRESS:PORT");
		return 0;
	case KEY_TOKEN_FILE:
		if (read_token(options, arg) != KB_OK)
			argp_error(state, "cannot read a token from %s", arg);
		return 0;
	case KEY_FILE:
		options->file = arg;
		return 0;
	case KEY_OUTPUT:
		parse_output(options, arg, state);
		return 0;
	case KEY_DRY_RUN:
		options->dry_run = 1;
		return 0;
	case KEY_WAIT:
		options->wait = 1;
		return 0;
	case KEY_TIMEOUT:
		if (kb_duration_parse(kb_str_from(arg), &options->timeout) !=
			    KB_OK ||
		    !options->timeout)
			argp_error(state, "--timeout must be a duration such "
					  "as 30s");
		return 0;
	case KEY_REVISION:
	case KEY_AFTER:
		if (kb_str_to_u64(kb_str_from(arg), &options->revision) !=
		    KB_OK)
			argp_error(state, "%s is not a revision", arg);
		return 0;
	case ARGP_KEY_ARG:
		if (options->count == CTL_MAX_ARGUMENTS)
			argp_usage(state);
		options->arguments[options->count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->count)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void ctl_options_parse(ctl_options_t *options, int argc, char **argv)
{
	static const struct argp parser = { option_list, parse_option, usage,
					    doc,	 NULL,	       NULL,
					    NULL };
	const char *server = getenv("KUMQUAT_SERVER");
	const char *token = getenv("KUMQUAT_TOKEN");

	memset(options, 0, sizeof(*options));
	options->timeout = TIMEOUT_DEFAULT;
	if (parse_server(options, server ? server : SERVER_DEFAULT) != KB_OK) {
		fprintf(stderr, "KUMQUAT_SERVER must be ADDRESS:PORT\n");
		exit(CTL_REFUSED);
	}
	if (token && set_token(options, token) != KB_OK) {
		fprintf(stderr, "KUMQUAT_TOKEN is empty or too long\n");
		exit(CTL_REFUSED);
	}
	argp_parse(&parser, argc, argv, 0, NULL, options);
}
