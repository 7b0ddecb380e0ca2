#ifndef KB_CONFIG_GOSSIP_WIRE_H
#define KB_CONFIG_GOSSIP_WIRE_H

#include "config_set.h"

KB_BEGIN_DECLS

enum {
	KB_CONFIG_GOSSIP_CHANGES_MAX = 4096,
	/* Maximum number of hosts named in a status. */
	KB_CONFIG_GOSSIP_LAGGING_MAX = 8,
	/* Upper bound of an encoded message: one value and a full page. */
	KB_CONFIG_GOSSIP_MESSAGE_MAX_BYTES = 2 << 20,
};

typedef enum kb_config_gossip_message_type {
	/* All changes after revision `after` up to `revision`. */
	KB_CONFIG_GOSSIP_PUSH = 1,
	/* The sender's complete revision and digest. */
	KB_CONFIG_GOSSIP_DIGEST = 2,
	/* Requests a page of the changes after `after`. */
	KB_CONFIG_GOSSIP_PULL = 3,
	/* A page of changes after `after`; `revision` is the sender's complete
	 * revision, and `more` is set if further pages follow. */
	KB_CONFIG_GOSSIP_PAGE = 4,
	/* `revision` is in force at the sender. */
	KB_CONFIG_GOSSIP_REPORT = 5,
	/* Requests the status of its data centre from a relay. */
	KB_CONFIG_GOSSIP_STATUS_REQUEST = 6,
	/* `in_force` of `hosts` hosts have `revision`; `lagging` names those of
	 * the others that are furthest behind, the lowest revision first. */
	KB_CONFIG_GOSSIP_STATUS = 7,
} kb_config_gossip_message_type_t;

/* A host that lacks the newest revision, and the revision that it has. */
typedef struct kb_config_gossip_lag {
	kb_name_t host;
	uint64_t revision;
} kb_config_gossip_lag_t;

/* A gossip message of the configuration. */
typedef struct kb_config_gossip_message {
	kb_config_gossip_message_type_t type;
	kb_name_t from;
	uint64_t revision;
	uint64_t after;
	uint64_t digest;
	/* Tombstones up to this revision may be missing from a page. */
	uint64_t floor;
	/* Set if the pages contain all resources, not only changes. */
	bool full;
	bool more;
	uint32_t hosts;
	uint32_t in_force;
	size_t change_count;
	const kb_config_change_t *changes;
	size_t lagging_count;
	kb_config_gossip_lag_t lagging[KB_CONFIG_GOSSIP_LAGGING_MAX];
	/* Memory behind `changes` of a decoded message. */
	void *storage;
} kb_config_gossip_message_t;

/* Initializes `message` to an empty one of type `type`. */
void kb_config_gossip_message_init(kb_config_gossip_message_t *message,
				   kb_config_gossip_message_type_t type);

/* Frees what decoding allocated. */
void kb_config_gossip_message_finish(kb_config_gossip_message_t *message);

/* Returns the encoded size of `change` in bytes. */
size_t kb_config_gossip_wire_change_size(const kb_config_change_t *change);

/*
 * Encodes `message` into memory at `*bytes`, to be freed with free(). Returns
 * KB_ERR_TOO_LARGE, KB_ERR_NO_MEMORY or KB_OK.
 */
kb_result_t
kb_config_gossip_wire_encode(const kb_config_gossip_message_t *message,
			     char **bytes, size_t *len);

/*
 * Decodes all `len` bytes of `buffer` into `message`, to be freed with
 * kb_config_gossip_message_finish(). Returns KB_ERR_VERSION for an unknown
 * protocol version, KB_ERR_PROTOCOL if the bytes are not a valid message, or
 * KB_ERR_NO_MEMORY; on error there is nothing to free.
 */
kb_result_t kb_config_gossip_wire_decode(kb_config_gossip_message_t *message,
					 const void *buffer, size_t len);

KB_END_DECLS

#endif
