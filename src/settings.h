#ifndef KB_SETTINGS_H
#define KB_SETTINGS_H

#include "log.h"
#include "str.h"

#include <netinet/in.h>
#include <sys/socket.h>

KB_BEGIN_DECLS

#define KB_SETTINGS_PEERS_MAX 64
#define KB_SETTINGS_CALLERS_MAX 256
#define KB_SETTINGS_OPERATORS_MAX 64
#define KB_SETTINGS_KEYS_MAX 8
#define KB_SETTINGS_SEEDS_MAX 8
#define KB_SETTINGS_PLACES_MAX 64
#define KB_SETTINGS_SECRET_MAX_BYTES 128
#define KB_SETTINGS_PATH_MAX_BYTES 256

/* An IP number and a port. */
typedef struct kb_endpoint {
	kb_name_t address;
	uint16_t port;
} kb_endpoint_t;

/* A host to contact first. */
typedef struct kb_settings_peer {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
} kb_settings_peer_t;

/* A caller or operator and the secret that it presents. */
typedef struct kb_settings_account {
	kb_name_t name;
	/* Operators: whether changes are allowed. */
	int may_write;
	size_t secret_len;
	char secret[KB_SETTINGS_SECRET_MAX_BYTES + 1];
} kb_settings_account_t;

/* A session key: its number and 64 hexadecimal digits. */
typedef struct kb_settings_key {
	uint32_t id;
	char hex[KB_SETTINGS_SECRET_MAX_BYTES + 1];
} kb_settings_key_t;

/* A data centre and its region. */
typedef struct kb_settings_place {
	kb_name_t data_centre;
	kb_name_t region;
} kb_settings_place_t;

struct kb_settings {
	kb_name_t host;
	kb_name_t data_centre;
	kb_name_t region;
	kb_log_level_t log_level;

	kb_endpoint_t listen_callers;
	kb_endpoint_t listen_operators;
	kb_endpoint_t listen_hosts;
	/* Sessions of callers in the platform's protocol; port 0 for none. */
	kb_endpoint_t listen_sessions;
	kb_endpoint_t listen_readiness;
	kb_endpoint_t listen_metrics;
	/* Where the platform takes orders to promote a target. */
	kb_endpoint_t orders;
	/* Hosts to ask while the store is away. */
	size_t seed_count;
	kb_endpoint_t seeds[KB_SETTINGS_SEEDS_MAX];
	size_t place_count;
	kb_settings_place_t places[KB_SETTINGS_PLACES_MAX];
	/* The whole fleet starts for the first time. */
	int first_start;

	/* Port 0 if there is no store. */
	kb_endpoint_t store;
	kb_time_t store_deadline;
	/* File of resources to use until the store has answered, or empty. */
	char seed_path[KB_SETTINGS_PATH_MAX_BYTES];

	size_t peer_count;
	kb_settings_peer_t peers[KB_SETTINGS_PEERS_MAX];
	size_t caller_count;
	kb_settings_account_t callers[KB_SETTINGS_CALLERS_MAX];
	size_t operator_count;
	kb_settings_account_t operators[KB_SETTINGS_OPERATORS_MAX];
	size_t key_count;
	kb_settings_key_t keys[KB_SETTINGS_KEYS_MAX];

	uint64_t body_bytes;
	uint64_t answer_bytes;
	uint64_t header_bytes;
	uint64_t requests;
	uint64_t caller_requests;
	kb_time_t default_deadline;
	/* Bytes a second that this host may send to other regions. */
	uint64_t link_bytes;

	kb_time_t drain_grace;

	/* Part of requests without a sampled trace that are traced. */
	double trace_sampling;
	/* File to which spans are appended, or empty for none. */
	char trace_path[KB_SETTINGS_PATH_MAX_BYTES];
};

/* Region of a data centre, or an empty string for one that is not named. */
kb_str_t kb_settings_region(const kb_settings_t *settings,
			    const kb_name_t *data_centre);

/* Parses "ADDRESS:PORT" or "[ADDRESS]:PORT" with an IP number. */
kb_result_t kb_endpoint_parse(kb_str_t text, kb_endpoint_t *endpoint);

/* Fills in a socket address and its length. */
kb_result_t kb_endpoint_resolve(const kb_endpoint_t *endpoint,
				struct sockaddr_storage *address,
				socklen_t *len);

KB_END_DECLS

#endif
