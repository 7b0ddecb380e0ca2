#ifndef KB_PLATFORM_ADAPTER_H
#define KB_PLATFORM_ADAPTER_H

#include "databases.h"
#include "target_list.h"

KB_BEGIN_DECLS

typedef enum kb_platform_item_kind {
	/* A key that concerns this system's users only by its own name. */
	KB_PLATFORM_OTHER,
	/* The operators' configuration. */
	KB_PLATFORM_DATABASES,
	/* What a target says of itself. */
	KB_PLATFORM_TARGET,
} kb_platform_item_kind_t;

/* A key of the store, decoded. */
typedef struct kb_platform_item {
	kb_platform_item_kind_t kind;
	/* KB_PLATFORM_DATABASES: to be finished by the receiver. */
	kb_databases_t databases;
	/* KB_PLATFORM_TARGET. */
	kb_target_entry_t target;
} kb_platform_item_t;

typedef struct kb_platform_adapter kb_platform_adapter_t;

typedef struct kb_platform_adapter_ops {
	/* What a key stands for, by its name. */
	kb_platform_item_kind_t (*kind)(kb_platform_adapter_t *view,
					kb_str_t key);
	/* Sets the id of the target that a key belongs to. */
	kb_result_t (*target)(kb_platform_adapter_t *view, kb_str_t key,
			      kb_name_t *target);
	/*
	 * Decodes a value. KB_ERR_PROTOCOL: it comes from another writer or
	 * cannot be read and names nothing to use.
	 */
	kb_result_t (*decode)(kb_platform_adapter_t *view, kb_str_t key,
			      kb_str_t value, kb_platform_item_t *item);
	/*
	 * Orders the promotion of a target. `done` gets KB_OK, KB_ERR_CONFLICT
	 * (it cannot be promoted), KB_ERR_OVERLOADED or KB_ERR_UNREACHABLE
	 * (nothing was done) or KB_ERR_UNKNOWN.
	 */
	kb_result_t (*promote)(kb_platform_adapter_t *view,
			       const kb_link_place_t *place, kb_str_t holder,
			       int64_t token,
			       void (*done)(void *ctx, kb_result_t result),
			       void *ctx);
} kb_platform_adapter_ops_t;

/* What the platform's keys mean and how it is given orders. */
struct kb_platform_adapter {
	const kb_platform_adapter_ops_t *ops;
};

KB_END_DECLS

#endif
