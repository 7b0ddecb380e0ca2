#include "group_view.h"

#include <stdlib.h>

enum {
	VIEW_TIMEOUT_MS = 300,
};

/* A question for another watcher's view. */
typedef struct view_question {
	kb_group_services_t *services;
	kb_name_t group;
	const kb_host_t *host;
} view_question_t;

static void on_view(void *ctx, kb_result_t result, void *res)
{
	view_question_t *question = ctx;
	kb_group_service_t *service = kb_group_services_find(
		question->services, kb_name_str(&question->group));
	const kbx_view_res *answer = res;

	for (size_t i = 0; !result && service && i < service->watcher_count;
	     i++) {
		kb_primary_view_t view = { (kb_health_t)answer->health,
					   answer->term };

		if (service->watchers[i] == question->host)
			kb_agent_on_view(&service->agent, i, &view);
	}
	free(question);
}

void kb_group_view_request(kb_group_service_t *service, kb_host_t *host)
{
	kb_group_services_t *services = service->agent.owner;
	view_question_t *question = malloc(sizeof(*question));
	kbx_view_args args = { service->spec.name.data };
	kb_rpc_call_t call = {
		.procedure = KUMQUAT_VIEW,
		.encode = (xdrproc_t)xdr_kbx_view_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbx_view_res,
		.res_size = sizeof(kbx_view_res),
		.timeout = VIEW_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_view,
		.ctx = question,
	};

	if (!question)
		return;
	question->services = services;
	question->group = service->spec.name;
	question->host = host;
	if (kb_rpc_peer_call(&host->peer, &call))
		free(question);
}
