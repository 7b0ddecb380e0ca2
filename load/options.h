#ifndef KL_OPTIONS_H
#define KL_OPTIONS_H

#include "workload.h"

#define KL_HOSTS_MAX 64

/* The caller interface of a host. */
typedef struct kl_endpoint {
	kb_name_t address;
	uint16_t port;
} kl_endpoint_t;

/* The command line of the load tool. */
typedef struct kl_options {
	kl_endpoint_t hosts[KL_HOSTS_MAX];
	size_t host_count;
	const char *group;
	const char *token;
	const kl_workload_t *workload;
	/* Arrivals per second outside of bursts. */
	double rate;
	unsigned seconds;
	unsigned sessions;
	unsigned long seed;
	unsigned deadline_ms;
	unsigned verify_seconds;
	/* Maximum ages by read kind, which override the workload's. */
	kb_name_t read_kinds[KL_OPS_MAX];
	kb_time_t max_ages[KL_OPS_MAX];
	size_t read_kind_count;
	const char *json_path;
	/* A request without a response counts as a violation. */
	int forbid_unanswered;
	int allow_non_loopback;
} kl_options_t;

/* Parses the command line; exits with a message if it is invalid. */
void kl_options_parse(kl_options_t *options, int argc, char **argv);

/* Returns the maximum age of `read_kind`. */
kb_time_t kl_options_max_age(const kl_options_t *options,
			     const kl_read_kind_t *read_kind);

#endif
