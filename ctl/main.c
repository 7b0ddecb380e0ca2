#include "commands.h"

#include <stdio.h>

typedef struct ctl_command {
	const char *name;
	ctl_exit_t (*run)(ctl_session_t *session);
} ctl_command_t;

static const ctl_command_t commands[] = {
	{ "get", ctl_commands_get }, { "apply", ctl_apply },
	{ "watch", ctl_watch },	     { "delete", ctl_commands_delete },
	{ "drain", ctl_drain },	     { "status", ctl_commands_status },
};

int main(int argc, char **argv)
{
	const ctl_command_t *command = NULL;
	ctl_options_t options;
	ctl_session_t session;
	ctl_exit_t status;

	ctl_options_parse(&options, argc, argv);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(options.arguments[0], commands[i].name))
			command = &commands[i];
	if (!command) {
		fprintf(stderr, "unknown command %s; see --help\n",
			options.arguments[0]);
		return CTL_REFUSED;
	}
	status = ctl_session_init(&session, &options);
	if (status != CTL_OK)
		return status;
	status = command->run(&session);
	ctl_session_finish(&session);
	return status;
}
