#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include "str.h"

/* Exit statuses of kumquatctl. */
typedef enum ctl_exit {
	CTL_OK = 0,
	/* Refused or failed; nothing was changed. */
	CTL_REFUSED = 1,
	/* Conflict with a concurrent change; nothing was changed. */
	CTL_CONFLICT = 2,
	/* The change may or may not have taken effect. */
	CTL_UNKNOWN = 3,
	/* The server cannot be reached; nothing was changed. */
	CTL_UNREACHABLE = 4,
	/* Accepted, but not in force everywhere within the time limit. */
	CTL_NOT_IN_FORCE = 5,
} ctl_exit_t;

typedef enum ctl_output {
	CTL_TABLE,
	CTL_JSON,
} ctl_output_t;

enum {
	CTL_MAX_ARGUMENTS = 3,
	CTL_TOKEN_BYTES = 256,
};

/* The command line. */
typedef struct ctl_options {
	/* The command and its arguments. */
	size_t count;
	const char *arguments[CTL_MAX_ARGUMENTS];
	kb_name_t address;
	uint16_t port;
	char token[CTL_TOKEN_BYTES];
	const char *file;
	ctl_output_t output;
	int dry_run;
	int wait;
	kb_time_t timeout;
	/* Revision that a delete requires or after which a watch starts. */
	uint64_t revision;
} ctl_options_t;

/* Parses the command line; exits with a message if it is invalid. */
void ctl_options_parse(ctl_options_t *options, int argc, char **argv);

#endif
