#ifndef KL_OPTIONS_H
#define KL_OPTIONS_H

#include "workload.h"

#define KL_HOSTS_MAX 64

/* A host of the fleet. */
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
	/* Arrivals a second, without bursts. */
	double rate;
	unsigned seconds;
	unsigned sessions;
	unsigned long seed;
	unsigned deadline_ms;
	unsigned verify_seconds;
	/* Accepted age by read kind, in place of the workload's own. */
	kb_name_t read_kinds[KL_OPS_MAX];
	kb_time_t max_ages[KL_OPS_MAX];
	size_t read_kind_count;
	const char *json_path;
	/* A request without an answer breaks a promise, too. */
	int forbid_unanswered;
	int allow_non_loopback;
} kl_options_t;

/* Parses the command line; exits with a message if it is wrong. */
void kl_options_parse(kl_options_t *options, int argc, char **argv);

/* Returns the age that reads of `read_kind` accept. */
kb_time_t kl_options_max_age(const kl_options_t *options,
			     const kl_read_kind_t *read_kind);

#endif
