#include "daemon_internal.h"

#include "log.h"

static void reply_execute(void *ctx, const kbx_execute_res *res)
{
	kb_rpc_server_reply(ctx, res);
}

static void serve_execute(void *ctx, kb_rpc_request_t *request, void *args)
{
	kb_daemon_t *daemon = ctx;

	kb_group_services_execute(&daemon->services, args, reply_execute,
				  request);
}

static void serve_view(void *ctx, kb_rpc_request_t *request, void *args)
{
	kb_daemon_t *daemon = ctx;
	const kbx_view_args *view_args = args;
	kb_primary_view_t view = kb_group_services_view(
		&daemon->services, kb_str_from(view_args->group));
	kbx_view_res res = { (int)view.health, view.term };

	kb_rpc_server_reply(request, &res);
}

static void serve_gossip(void *ctx, kb_rpc_request_t *request, void *args)
{
	kb_daemon_t *daemon = ctx;
	const kbx_message *message = args;

	kb_configuration_on_message(&daemon->configuration,
				    message->data.data_val,
				    message->data.data_len);
	kb_rpc_server_reply(request, NULL);
}

kb_result_t kb_daemon_start_rpc_server(kb_daemon_t *daemon)
{
	const kb_rpc_procedure_t procedures[] = {
		{ KUMQUAT_EXECUTE, (xdrproc_t)xdr_kbx_execute_args,
		  sizeof(kbx_execute_args), (xdrproc_t)xdr_kbx_execute_res,
		  serve_execute, daemon },
		{ KUMQUAT_VIEW, (xdrproc_t)xdr_kbx_view_args,
		  sizeof(kbx_view_args), (xdrproc_t)xdr_kbx_view_res,
		  serve_view, daemon },
		{ KUMQUAT_SPREAD, (xdrproc_t)xdr_kbx_message,
		  sizeof(kbx_message), kb_rpc_frame_xdr_empty, serve_gossip,
		  daemon },
	};
	struct sockaddr_storage address;
	kb_result_t result;
	socklen_t len;

	result = kb_endpoint_resolve(&daemon->settings->listen_hosts, &address,
				     &len);
	if (!result)
		result = kb_rpc_server_init(&daemon->server, daemon->loop,
					    (struct sockaddr *)&address, len);
	if (result)
		return result;
	daemon->has_server = 1;
	for (size_t i = 0; i < sizeof(procedures) / sizeof(procedures[0]); i++)
		kb_rpc_server_add(&daemon->server, &procedures[i]);
	return KB_OK;
}
