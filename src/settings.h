#ifndef KB_SETTINGS_H
#define KB_SETTINGS_H

#include "endpoint.h"
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
#define KB_SETTINGS_DATA_CENTRES_MAX 64
#define KB_SETTINGS_SECRET_MAX_BYTES 128
#define KB_SETTINGS_PATH_MAX_BYTES 256

/* A host to contact at the start. */
typedef struct kb_settings_peer {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
} kb_settings_peer_t;

/* A caller or operator and its authentication token. */
typedef struct kb_settings_account {
	kb_name_t name;
	/* For operators: whether they may make changes. */
	int may_write;
	size_t secret_len;
	char secret[KB_SETTINGS_SECRET_MAX_BYTES + 1];
} kb_settings_account_t;

/* A session key: its id and 64 hexadecimal digits. */
typedef struct kb_settings_key {
	uint32_t id;
	char hex[KB_SETTINGS_SECRET_MAX_BYTES + 1];
} kb_settings_key_t;

/* A data centre and its region. */
typedef struct kb_settings_data_centre {
	kb_name_t data_centre;
	kb_name_t region;
} kb_settings_data_centre_t;

struct kb_settings {
	kb_name_t host;
	kb_name_t data_centre;
	kb_name_t region;
	kb_log_level_t log_level;
	/* Processor cores that this host may use. */
	double processor_share;
	/* Bandwidth of this host's link in Mbit/s; 0 if not given. */
	double link_mbps;

	kb_endpoint_t listen_callers;
	kb_endpoint_t listen_operators;
	kb_endpoint_t listen_hosts;
	/* For sessions in the platform's protocol; port 0 to disable. */
	kb_endpoint_t listen_sessions;
	kb_endpoint_t listen_readiness;
	kb_endpoint_t listen_metrics;
	/* Address at which the platform accepts orders to promote a target. */
	kb_endpoint_t orders;
	/* Hosts to contact while the store is unreachable. */
	size_t seed_count;
	kb_endpoint_t seeds[KB_SETTINGS_SEEDS_MAX];
	size_t data_centre_count;
	kb_settings_data_centre_t data_centres[KB_SETTINGS_DATA_CENTRES_MAX];
	/* This is the first start of the whole fleet. */
	int first_start;

	/* Port 0 if there is no store. */
	kb_endpoint_t store;
	kb_time_t store_deadline;
	/* File of resources to use before the first answer of the store, or
	 * empty. */
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
	/* Window in which teams' limits are measured, and its tolerance. */
	kb_time_t limits_window;
	double limits_overage;
	double limits_slack;
	/* Bytes per second that this host may send to other regions. */
	uint64_t link_bytes;

	kb_time_t drain_grace;

	/* Targets are sent statements at a pace found from their answers. */
	int pace;

	/* Fraction, 0 to 1, of the requests to trace that do not arrive with a
	 * sampled trace context. */
	double trace_sampling;
	/* File to which spans are appended, or empty to disable tracing. */
	char trace_path[KB_SETTINGS_PATH_MAX_BYTES];
};

/* Returns the region of a data centre, or "" if it is not configured. */
kb_str_t kb_settings_region(const kb_settings_t *settings,
			    const kb_name_t *data_centre);

/* Parses "ADDRESS:PORT" or "[ADDRESS]:PORT" with an IP address. */
kb_result_t kb_endpoint_parse(kb_str_t text, kb_endpoint_t *endpoint);

/* Converts an endpoint to a socket address and its length. */
kb_result_t kb_endpoint_resolve(const kb_endpoint_t *endpoint,
				struct sockaddr_storage *address,
				socklen_t *len);

KB_END_DECLS

#endif
