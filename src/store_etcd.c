#include "store_etcd.h"
#include "store_json.h"

#include <stdlib.h>

#define CALL_TIMEOUT_DEFAULT (3 * KB_NS_PER_S)
#define ATTEMPT_TIMEOUT_DEFAULT (1 * KB_NS_PER_S)
#define WATCH_IDLE_TIMEOUT_DEFAULT (60 * KB_NS_PER_S)
#define BACKOFF_BASE_DEFAULT (50 * KB_NS_PER_MS)
#define BACKOFF_MAX_DEFAULT (5 * KB_NS_PER_S)
#define BACKOFF_REFILL_DEFAULT (500 * KB_NS_PER_MS)

enum {
	BACKOFF_BUDGET_DEFAULT = 10,
};

struct kb_store_watch_link {
	kb_store_watch_link_t *next;
	kb_store_watch_t *watch;
};

void kb_store_etcd_defaults(kb_store_etcd_settings_t *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings->call_timeout = CALL_TIMEOUT_DEFAULT;
	settings->attempt_timeout = ATTEMPT_TIMEOUT_DEFAULT;
	settings->watch_idle_timeout = WATCH_IDLE_TIMEOUT_DEFAULT;
	settings->backoff.base = BACKOFF_BASE_DEFAULT;
	settings->backoff.max = BACKOFF_MAX_DEFAULT;
	settings->backoff.budget = BACKOFF_BUDGET_DEFAULT;
	settings->backoff.refill = BACKOFF_REFILL_DEFAULT;
}

static kb_store_etcd_t *etcd_of(kb_store_t *store)
{
	return (kb_store_etcd_t *)store;
}

static kb_result_t call_store(kb_store_t *store,
			      const kb_store_call_request_t *request)
{
	return kb_store_call_new(&etcd_of(store)->calls, request);
}

static kb_result_t etcd_get(kb_store_t *store, const kb_store_keys_t *keys,
			    kb_store_range_fn_t *done, void *ctx)
{
	kb_store_call_request_t request = {
		.kind = KB_STORE_CALL_GET,
		.path = "/v3/kv/range",
		.body = kb_store_json_get(keys),
		.done.get = done,
		.ctx = ctx,
	};

	return call_store(store, &request);
}

static kb_result_t write_store(kb_store_t *store, char *body,
			       kb_store_write_fn_t *done, void *ctx)
{
	kb_store_call_request_t request = {
		.kind = KB_STORE_CALL_WRITE,
		.path = "/v3/kv/txn",
		.body = body,
		.done.write = done,
		.ctx = ctx,
	};

	return call_store(store, &request);
}

static kb_result_t etcd_put(kb_store_t *store, const kb_store_write_t *write,
			    kb_store_write_fn_t *done, void *ctx)
{
	return write_store(store, kb_store_json_put(write), done, ctx);
}

static kb_result_t etcd_remove(kb_store_t *store, const kb_store_write_t *write,
			       kb_store_write_fn_t *done, void *ctx)
{
	return write_store(store, kb_store_json_remove(write), done, ctx);
}

static kb_result_t lease_store(kb_store_t *store, const char *path, char *body,
			       kb_store_lease_fn_t *done, void *ctx)
{
	kb_store_call_request_t request = {
		.kind = KB_STORE_CALL_LEASE,
		.path = path,
		.body = body,
		.done.lease = done,
		.ctx = ctx,
	};

	return call_store(store, &request);
}

static kb_result_t etcd_lease_grant(kb_store_t *store, kb_time_t ttl,
				    kb_store_lease_fn_t *done, void *ctx)
{
	return lease_store(store, "/v3/lease/grant",
			   kb_store_json_lease_grant(ttl), done, ctx);
}

static kb_result_t etcd_lease_keep(kb_store_t *store, int64_t lease,
				   kb_store_lease_fn_t *done, void *ctx)
{
	return lease_store(store, "/v3/lease/keepalive",
			   kb_store_json_lease_keep(lease), done, ctx);
}

static kb_result_t etcd_watch(kb_store_t *store, const kb_store_keys_t *keys,
			      int64_t after, const kb_store_watch_ops_t *ops,
			      void *ctx)
{
	kb_store_etcd_t *etcd = etcd_of(store);
	kb_store_watch_settings_t settings = {
		etcd->settings.call_timeout,
		etcd->settings.watch_idle_timeout,
	};
	kb_store_watch_link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return KB_ERR_NO_MEMORY;
	link->watch = kb_store_watch_new(&etcd->client, &etcd->backoff,
					 &settings, keys, after, ops, ctx);
	if (!link->watch) {
		free(link);
		return KB_ERR_NO_MEMORY;
	}
	link->next = etcd->watches;
	etcd->watches = link;
	return KB_OK;
}

static void cancel_watches(kb_store_etcd_t *etcd, const void *ctx, int all)
{
	kb_store_watch_link_t **link = &etcd->watches;

	while (*link) {
		kb_store_watch_link_t *removed = *link;

		if (!all && kb_store_watch_ctx(removed->watch) != ctx) {
			link = &removed->next;
			continue;
		}
		*link = removed->next;
		kb_store_watch_free(removed->watch);
		free(removed);
	}
}

static void etcd_cancel(kb_store_t *store, void *ctx)
{
	kb_store_call_cancel(&etcd_of(store)->calls, ctx);
	cancel_watches(etcd_of(store), ctx, 0);
}

static const kb_store_ops_t etcd_ops = {
	.get = etcd_get,
	.put = etcd_put,
	.remove = etcd_remove,
	.watch = etcd_watch,
	.lease_grant = etcd_lease_grant,
	.lease_keep = etcd_lease_keep,
	.cancel = etcd_cancel,
};

kb_result_t kb_store_etcd_init(kb_store_etcd_t *etcd, struct event_base *base,
			       kb_clock_t *clock,
			       const kb_store_etcd_settings_t *settings)
{
	memset(etcd, 0, sizeof(*etcd));
	etcd->store.ops = &etcd_ops;
	etcd->settings = *settings;
	etcd->calls.client = &etcd->client;
	etcd->calls.backoff = &etcd->backoff;
	etcd->calls.clock = clock;
	etcd->calls.call_timeout = settings->call_timeout;
	etcd->calls.attempt_timeout = settings->attempt_timeout;
	kb_backoff_init(&etcd->backoff, &settings->backoff, settings->seed,
			kb_clock_monotonic(clock));
	return kb_http_client_init(&etcd->client, base,
				   kb_name_str(&settings->address),
				   settings->port);
}

void kb_store_etcd_finish(kb_store_etcd_t *etcd)
{
	kb_store_call_cancel_all(&etcd->calls);
	cancel_watches(etcd, NULL, 1);
	kb_http_client_finish(&etcd->client);
	memset(etcd, 0, sizeof(*etcd));
}
