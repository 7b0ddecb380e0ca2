#ifndef KB_OPERATOR_API_H
#define KB_OPERATOR_API_H

#include "account.h"
#include "config_view.h"
#include "operator_watch.h"
#include "store.h"

#include <event2/event.h>
#include <event2/http.h>

KB_BEGIN_DECLS

/* Arguments to create the operator interface; pointers are borrowed. */
typedef struct kb_operator_api_settings {
	struct event_base *base;
	kb_clock_t *clock;
	kb_store_t *store;
	kb_config_view_t *view;
	const kb_accounts_t *accounts;
	kb_str_t address;
	/* 0 chooses a free port. */
	uint16_t port;
} kb_operator_api_settings_t;

typedef struct kb_operator_submission kb_operator_submission_t;

/* The operator interface, with its own HTTP server. */
typedef struct kb_operator_api {
	kb_operator_api_settings_t settings;
	struct evhttp *http;
	uint16_t port;
	kb_operator_watch_t watch;
	/* Changes that await the store's answer. */
	kb_operator_submission_t *submissions;
	size_t submission_count;
} kb_operator_api_t;

/*
 * Starts to listen. Returns KB_ERR_IO if the address cannot be bound, or
 * KB_ERR_NO_MEMORY.
 */
kb_result_t kb_operator_api_init(kb_operator_api_t *api,
				 const kb_operator_api_settings_t *settings);

/* Closes all connections; changes in flight may still take effect. */
void kb_operator_api_finish(kb_operator_api_t *api);

KB_END_DECLS

#endif
