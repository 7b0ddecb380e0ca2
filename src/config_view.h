#ifndef KB_CONFIG_VIEW_H
#define KB_CONFIG_VIEW_H

#include "resource.h"

KB_BEGIN_DECLS

#define KB_CONFIG_MAX_MISSING 16

/* Where one revision of a resource is in force. */
typedef struct kb_config_status {
	/* Hosts that reported this revision or a later one. */
	size_t in_force;
	/* All hosts of the service. */
	size_t hosts;
	/* Names of some of the hosts that have not reported it. */
	size_t missing_count;
	kb_name_t missing[KB_CONFIG_MAX_MISSING];
} kb_config_status_t;

/* One accepted change. */
typedef struct kb_config_event {
	kb_kind_t kind;
	kb_str_t name;
	int64_t revision;
	/* NULL if the resource was deleted. */
	const kb_resource_t *resource;
} kb_config_event_t;

typedef struct kb_config_view kb_config_view_t;
typedef struct kb_config_listener kb_config_listener_t;

/* Callbacks of a listener; it must not unregister from within one. */
typedef struct kb_config_listener_ops {
	/* A change has come into force on this host. */
	void (*changed)(kb_config_listener_t *listener,
			const kb_config_event_t *change);
	/* The status of a resource in force on this host has changed. */
	void (*status)(kb_config_listener_t *listener,
		       const kb_resource_t *resource);
} kb_config_listener_ops_t;

/* A listener; the code that registers it owns it. */
struct kb_config_listener {
	const kb_config_listener_ops_t *ops;
	kb_config_listener_t *next;
};

/* Operations to read the resources in force on this host. */
typedef struct kb_config_view_ops {
	/* Returns a resource, or NULL. It is valid until the next event. */
	const kb_resource_t *(*find)(kb_config_view_t *view, kb_kind_t kind,
				     kb_str_t name);
	/* Calls `fn` for each resource of `kind` in the order of names. */
	void (*each)(kb_config_view_t *view, kb_kind_t kind,
		     void (*fn)(void *ctx, const kb_resource_t *resource),
		     void *ctx);
	/* Returns the newest revision in force on this host. */
	int64_t (*revision)(kb_config_view_t *view);
	/* Sets `*status` to where `revision` of a resource is in force. */
	void (*status)(kb_config_view_t *view, kb_kind_t kind, kb_str_t name,
		       int64_t revision, kb_config_status_t *status);
	/*
	 * Calls `fn` for each change after revision `after` in the order of
	 * revisions; of several changes to one resource only the last may be
	 * reported. Returns KB_ERR_NOT_FOUND without calling `fn` if
	 * tombstones since then have been evicted. An `after` that is not yet
	 * in force yields no changes.
	 */
	kb_result_t (*since)(kb_config_view_t *view, int64_t after,
			     void (*fn)(void *ctx,
					const kb_config_event_t *change),
			     void *ctx);
	/* Registers and unregisters a listener. */
	void (*listen)(kb_config_view_t *view, kb_config_listener_t *listener);
	void (*unlisten)(kb_config_view_t *view,
			 kb_config_listener_t *listener);
	/*
	 * Returns a new JSON object with hosts, groups and their primaries as
	 * this host sees them, or NULL if out of memory.
	 */
	json_t *(*report)(kb_config_view_t *view);
} kb_config_view_ops_t;

/* The first member of an implementation. */
struct kb_config_view {
	const kb_config_view_ops_t *ops;
};

KB_END_DECLS

#endif
