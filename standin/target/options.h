#ifndef ST_OPTIONS_H
#define ST_OPTIONS_H

#include "str.h"

/* The command line of a stand-in target. */
typedef struct st_options {
	const char *address;
	uint16_t port;
	/* 0 means no control port. */
	uint16_t control_port;
	const char *name;
	unsigned slots;
	unsigned connections;
	unsigned connect_delay_ms;
	unsigned receive_lag_ms;
	unsigned apply_lag_ms;
	unsigned statement_time_ms;
	unsigned one_way_latency_ms;
	/* 0 means that the target starts as a replica. */
	uint64_t primary_term;
	/* The primary to follow from the start; port 0 means none. */
	kb_name_t follow_address;
	uint16_t follow_port;
} st_options_t;

/* Offset of the replication port from the wire port. */
enum { ST_REPLICATION_OFFSET = 100 };

/* Parses the command line; exits with a message if it is invalid. */
void st_options_parse(st_options_t *options, int argc, char **argv);

#endif
