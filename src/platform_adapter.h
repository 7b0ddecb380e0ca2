#ifndef KB_PLATFORM_ADAPTER_H
#define KB_PLATFORM_ADAPTER_H

#include "databases.h"
#include "target_list.h"

KB_BEGIN_DECLS

typedef enum kb_platform_item_kind {
	/* Any other key; its value is not decoded. */
	KB_PLATFORM_OTHER,
	/* The operators' configuration. */
	KB_PLATFORM_DATABASES,
	/* Registration of a target. */
	KB_PLATFORM_TARGET,
} kb_platform_item_kind_t;

/* A decoded entry of the store. */
typedef struct kb_platform_item {
	kb_platform_item_kind_t kind;
	/*
	 * Set for KB_PLATFORM_DATABASES; the receiver frees it with
	 * kb_databases_finish().
	 */
	kb_databases_t databases;
	/* Set for KB_PLATFORM_TARGET. */
	kb_target_entry_t target;
} kb_platform_item_t;

typedef struct kb_platform_adapter kb_platform_adapter_t;

typedef struct kb_platform_adapter_ops {
	/* Classifies a key by its name. */
	kb_platform_item_kind_t (*kind)(kb_platform_adapter_t *platform,
					kb_str_t key);
	/* Sets `*target` to the id of the target that a key belongs to. */
	kb_result_t (*target)(kb_platform_adapter_t *platform, kb_str_t key,
			      kb_name_t *target);
	/*
	 * Decodes a value. Returns KB_ERR_PROTOCOL if the value is malformed,
	 * for instance because another writer made it.
	 */
	kb_result_t (*decode)(kb_platform_adapter_t *platform, kb_str_t key,
			      kb_str_t value, kb_platform_item_t *item);
	/*
	 * Requests the promotion of a target under the fencing token `token`.
	 * `done` receives KB_OK, KB_ERR_CONFLICT (the target cannot be
	 * promoted), KB_ERR_OVERLOADED or KB_ERR_UNREACHABLE (the request had
	 * no effect) or KB_ERR_UNKNOWN (it may take effect).
	 */
	kb_result_t (*promote)(kb_platform_adapter_t *platform,
			       const kb_link_place_t *place, kb_str_t holder,
			       int64_t token,
			       void (*done)(void *ctx, kb_result_t result),
			       void *ctx);
} kb_platform_adapter_ops_t;

/* Adapter to the platform: decodes its keys and sends it requests. */
struct kb_platform_adapter {
	const kb_platform_adapter_ops_t *ops;
};

KB_END_DECLS

#endif
