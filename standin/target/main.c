#include "control.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static void on_signal(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(ctx);
}

static int serve(struct event_base *base, const st_options_t *options)
{
	st_control_t control = { NULL, NULL };
	st_server_t server;
	kb_result_t result = st_server_init(&server, base, options);

	if (!result && options->control_port)
		result = st_control_init(&control, &server,
					 options->control_port);
	if (result)
		fprintf(stderr, "%s: cannot listen on %s:%u\n", options->name,
			options->address, options->port);
	else
		event_base_dispatch(base);
	st_control_finish(&control);
	st_server_finish(&server);
	return result ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	int status = EXIT_FAILURE;
	struct event_base *base = NULL;
	struct event *term = NULL;
	struct event *interrupt = NULL;
	st_options_t options;

	st_options_parse(&options, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	if (!base)
		goto out;
	term = evsignal_new(base, SIGTERM, on_signal, base);
	interrupt = evsignal_new(base, SIGINT, on_signal, base);
	if (!term || !interrupt)
		goto out;
	evsignal_add(term, NULL);
	evsignal_add(interrupt, NULL);
	status = serve(base, &options);
out:
	if (interrupt)
		event_free(interrupt);
	if (term)
		event_free(term);
	if (base)
		event_base_free(base);
	return status;
}
