#include "follower.h"

#include "frame.h"
#include "options.h"
#include "socket_options.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

enum {
	RETRY_US = 100000,
	/* Reading pauses while this many entries are delayed by receive-lag. */
	MAX_RECEIVING = 20000,
};

static const struct timeval retry_delay = { 0, RETRY_US };

static void disconnect(st_follower_t *follower)
{
	if (follower->bev)
		bufferevent_free(follower->bev);
	follower->bev = NULL;
	follower->handshake_done = 0;
	st_delay_queue_clear(&follower->receiving);
	evtimer_del(follower->retry);
}

static void schedule_retry(st_follower_t *follower)
{
	disconnect(follower);
	if (follower->engine->primary_port)
		evtimer_add(follower->retry, &retry_delay);
}

/* Enables reading unless too many received entries are delayed. */
static void update_reading(st_follower_t *follower)
{
	if (!follower->bev || follower->frozen)
		return;
	if (follower->receiving.count < MAX_RECEIVING)
		bufferevent_enable(follower->bev, EV_READ);
	else
		bufferevent_disable(follower->bev, EV_READ);
}

/* A received entry whose application is delayed. */
typedef struct st_received {
	uint64_t position;
} st_received_t;

static void apply(void *ctx, void *item)
{
	st_follower_t *follower = ctx;
	st_received_t *received = item;
	uint64_t last = follower->engine->log.count;

	st_engine_apply(follower->engine,
			received->position < last ? received->position : last);
	free(received);
}

static void schedule_apply(st_follower_t *follower, uint64_t position)
{
	st_received_t *received = calloc(1, sizeof(*received));

	if (!received)
		return;
	received->position = position;
	st_delay_queue_add(&follower->applying, follower->apply_lag_ms,
			   received);
}

static void receive(void *ctx, void *item)
{
	st_follower_t *follower = ctx;

	if (st_engine_receive(follower->engine, item)) {
		st_entry_free(item);
		schedule_retry(follower);
		return;
	}
	schedule_apply(follower, follower->engine->log.count);
	update_reading(follower);
}

static void drop_entry(void *item)
{
	st_entry_free(item);
}

static const st_delay_queue_ops_t receiving_ops = { .due = receive,
						    .drop = drop_entry };
static const st_delay_queue_ops_t applying_ops = { .due = apply, .drop = free };

/* Removes the entries that the primary does not have; ends the handshake. */
static kb_result_t on_hello_answer(st_follower_t *follower,
				   const json_t *answer)
{
	uint64_t term = st_frame_number(answer, "term");
	uint64_t common = st_frame_number(answer, "common");

	if (!json_is_true(json_object_get(answer, "ok")) ||
	    term < follower->engine->term ||
	    common > follower->engine->log.count)
		return KB_ERR_PROTOCOL;
	st_engine_adopt_term(follower->engine, term);
	st_delay_queue_clear(&follower->applying);
	if (st_engine_rewind(follower->engine, common))
		return KB_ERR_NO_MEMORY;
	if (common)
		schedule_apply(follower, common);
	follower->last_read = common;
	follower->handshake_done = 1;
	return KB_OK;
}

static kb_result_t read_entry(st_follower_t *follower, const json_t *message)
{
	uint64_t position;
	st_entry_t *entry = st_frame_read_entry(message, &position);

	if (!entry || position != follower->last_read + 1 ||
	    entry->term > follower->engine->term) {
		st_entry_free(entry);
		return KB_ERR_PROTOCOL;
	}
	follower->last_read = position;
	return st_delay_queue_add(&follower->receiving,
				  follower->receive_lag_ms, entry);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	st_follower_t *follower = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	json_t *message;
	kb_result_t result = KB_OK;

	while (follower->bev == bev &&
	       !(result = st_frame_read(in, &message)) && message) {
		result = follower->handshake_done
				 ? read_entry(follower, message)
				 : on_hello_answer(follower, message);
		json_decref(message);
		if (result)
			break;
	}
	if (result)
		schedule_retry(follower);
	else if (follower->bev == bev)
		update_reading(follower);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	st_follower_t *follower = ctx;

	if (!(what & BEV_EVENT_CONNECTED)) {
		schedule_retry(follower);
		return;
	}
	kb_socket_set_options(bufferevent_getfd(bev), NULL);
	if (st_frame_send(bufferevent_get_output(bev),
			  st_frame_hello(&follower->engine->log,
					 follower->engine->term)))
		schedule_retry(follower);
}

static void connect_to_primary(st_follower_t *follower)
{
	const st_engine_t *engine = follower->engine;
	struct sockaddr_in name = { .sin_family = AF_INET,
				    .sin_port = htons((
					    uint16_t)(engine->primary_port +
						      ST_REPLICATION_OFFSET)) };

	if (inet_pton(AF_INET, engine->primary_address.data, &name.sin_addr) !=
	    1)
		return;
	follower->bev = bufferevent_socket_new(follower->base, -1,
					       BEV_OPT_CLOSE_ON_FREE);
	if (!follower->bev) {
		schedule_retry(follower);
		return;
	}
	bufferevent_setcb(follower->bev, on_read, NULL, on_event, follower);
	if (bufferevent_socket_connect(follower->bev, (struct sockaddr *)&name,
				       sizeof(name))) {
		schedule_retry(follower);
		return;
	}
	if (!follower->frozen)
		bufferevent_enable(follower->bev, EV_READ | EV_WRITE);
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	connect_to_primary(ctx);
}

kb_result_t st_follower_init(st_follower_t *follower, struct event_base *base,
			     st_engine_t *engine)
{
	memset(follower, 0, sizeof(*follower));
	follower->base = base;
	follower->engine = engine;
	follower->retry = evtimer_new(base, on_retry, follower);
	if (!follower->retry ||
	    st_delay_queue_init(&follower->receiving, base, &receiving_ops,
				follower) ||
	    st_delay_queue_init(&follower->applying, base, &applying_ops,
				follower))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

void st_follower_finish(st_follower_t *follower)
{
	if (follower->bev)
		bufferevent_free(follower->bev);
	if (follower->retry)
		event_free(follower->retry);
	st_delay_queue_finish(&follower->receiving);
	st_delay_queue_finish(&follower->applying);
}

void st_follower_on_role_change(st_follower_t *follower)
{
	disconnect(follower);
	if (follower->engine->role == KB_ROLE_PRIMARY)
		st_delay_queue_clear(&follower->applying);
	if (follower->engine->primary_port)
		connect_to_primary(follower);
}

void st_follower_set_frozen(st_follower_t *follower, int frozen)
{
	follower->frozen = frozen;
	if (!follower->bev)
		return;
	if (frozen)
		bufferevent_disable(follower->bev, EV_READ | EV_WRITE);
	else
		bufferevent_enable(follower->bev, EV_READ | EV_WRITE);
	update_reading(follower);
}
