#include "group_view.h"

#include <stdlib.h>

enum {
	VIEW_TIMEOUT_MS = 300,
};

/* A pending request for another watcher's view. */
typedef struct view_request {
	kb_group_services_t *services;
	kb_name_t group;
	const kb_host_t *host;
} view_request_t;

static void on_view(void *ctx, kb_result_t result, void *res)
{
	view_request_t *request = ctx;
	kb_group_service_t *service = kb_group_services_find(
		request->services, kb_name_str(&request->group));
	const kbx_view_res *reply = res;

	for (size_t i = 0; !result && service && i < service->watcher_count;
	     i++) {
		kb_primary_view_t view = { (kb_health_t)reply->health,
					   reply->term };

		if (service->watchers[i] == request->host)
			kb_agent_on_view(&service->agent, i, &view);
	}
	free(request);
}

void kb_group_view_request(kb_group_service_t *service, kb_host_t *host)
{
	kb_group_services_t *services = service->agent.owner;
	view_request_t *request = malloc(sizeof(*request));
	kbx_view_args args = { service->spec.name.data };
	kb_rpc_call_t call = {
		.procedure = KUMQUAT_VIEW,
		.encode = (xdrproc_t)xdr_kbx_view_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbx_view_res,
		.res_size = sizeof(kbx_view_res),
		.timeout = VIEW_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_view,
		.ctx = request,
	};

	if (!request)
		return;
	request->services = services;
	request->group = service->spec.name;
	request->host = host;
	if (kb_rpc_peer_call(&host->peer, &call))
		free(request);
}
