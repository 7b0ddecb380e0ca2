#include "sync_feed.h"

#include "log.h"
#include "text.h"

#include <stdlib.h>

void kb_sync_feed_init(kb_sync_feed_t *feed, const kb_mirror_t *mirror)
{
	memset(feed, 0, sizeof(*feed));
	feed->mirror = mirror;
	feed->reply = kb_rpc_server_reply;
}

void kb_sync_feed_finish(kb_sync_feed_t *feed)
{
	while (feed->waiters) {
		kb_sync_waiter_t *waiter = feed->waiters;
		kbs_feed_res res = { 0 };

		feed->waiters = waiter->next;
		feed->reply(waiter->request, &res);
		free(waiter);
	}
	for (size_t i = 0; i < KB_SYNC_FEED_CACHE; i++)
		kb_sync_data_finish(&feed->cache[i]);
}

static int lacks_changes(const kb_mirror_t *mirror, const kbs_sync_args *args)
{
	return mirror->revision &&
	       (args->whole || (int64_t)args->revision < mirror->revision);
}

/* Returns the encoded changes, or NULL if they cannot be encoded. */
static const kb_sync_data_t *get_data(kb_sync_feed_t *feed,
				      const kbs_sync_args *args)
{
	int whole = args->whole ? 1 : 0;
	kb_sync_data_t *data;
	kb_result_t result;

	for (size_t i = 0; i < KB_SYNC_FEED_CACHE; i++) {
		data = &feed->cache[i];
		if (data->bytes && data->revision == feed->mirror->revision &&
		    data->whole == whole &&
		    (whole || data->after == (int64_t)args->revision))
			return data;
	}
	data = &feed->cache[feed->encoded++ % KB_SYNC_FEED_CACHE];
	kb_sync_data_finish(data);
	result = kb_sync_codec_encode(data, feed->mirror, args);
	if (!result)
		return data;
	kb_log(KB_EVENT_SYNC_FAILED, "to=%.*s result=%s",
	       KB_STR_ARG(kb_text_str(args->host)), kb_result_name(result));
	return NULL;
}

static void answer(kb_sync_feed_t *feed, kb_rpc_request_t *request,
		   const kbs_sync_args *args, kb_time_t received_at,
		   kb_time_t now)
{
	const kb_mirror_t *mirror = feed->mirror;
	const kb_sync_data_t *data = NULL;
	kbs_feed_res res = {
		.waited_us = (now - received_at) / KB_NS_PER_US,
	};

	if (lacks_changes(mirror, args))
		data = get_data(feed, args);
	if (data) {
		res.data_size = data->size;
		res.data.data_val = data->bytes;
		res.data.data_len = (u_int)data->len;
	}
	/* Without its changes a newer revision must not be announced. */
	if (data || !lacks_changes(mirror, args)) {
		res.revision = (uint64_t)mirror->revision;
		res.age_us = (now - mirror->as_of) / KB_NS_PER_US;
	}
	feed->reply(request, &res);
}

void kb_sync_feed_add(kb_sync_feed_t *feed, kb_rpc_request_t *request,
		      const kbs_sync_args *args, kb_time_t now)
{
	kb_time_t wait = args->wait_us * KB_NS_PER_US;
	kb_sync_waiter_t *waiter = NULL;

	if (wait > KB_SYNC_FEED_WAIT_MAX_MS * KB_NS_PER_MS)
		wait = KB_SYNC_FEED_WAIT_MAX_MS * KB_NS_PER_MS;
	if (!lacks_changes(feed->mirror, args) && wait > 0)
		waiter = calloc(1, sizeof(*waiter));
	if (!waiter) {
		answer(feed, request, args, now, now);
		return;
	}
	waiter->request = request;
	waiter->args = args;
	waiter->received_at = now;
	waiter->answer_at = now + wait;
	waiter->next = feed->waiters;
	feed->waiters = waiter;
}

void kb_sync_feed_tick(kb_sync_feed_t *feed, kb_time_t now)
{
	kb_sync_waiter_t **link = &feed->waiters;

	while (*link) {
		kb_sync_waiter_t *waiter = *link;

		if (now < waiter->answer_at &&
		    !lacks_changes(feed->mirror, waiter->args)) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		answer(feed, waiter->request, waiter->args, waiter->received_at,
		       now);
		free(waiter);
	}
}
