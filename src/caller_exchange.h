#ifndef KB_CALLER_EXCHANGE_H
#define KB_CALLER_EXCHANGE_H

#include "caller_api.h"
#include "caller_path.h"

KB_BEGIN_DECLS

/*
 * Handles one HTTP request of a caller from its headers and body to the
 * response. The request must already be counted as in flight. `caller` is the
 * index of its account.
 */
void kb_caller_exchange_start(kb_caller_api_t *api, struct evhttp_request *http,
			      size_t caller, const kb_caller_path_t *path);

KB_END_DECLS

#endif
