#ifndef PROCESS_USAGE_H
#define PROCESS_USAGE_H

#include <stddef.h>

enum { PROCESS_USAGE_MAX = 16 };

/* Processes whose resource usage is measured. */
typedef struct process_list {
	int pids[PROCESS_USAGE_MAX];
	size_t count;
} process_list_t;

/* Parses a list of process ids, `N,N,...`. Returns 0, or -1 if malformed. */
int process_list_parse(process_list_t *list, const char *text);

/*
 * Returns the processor time that process `pid` has used, in microseconds,
 * or -1 if there is no such process.
 */
double process_cpu_us(int pid);

/* Returns the resident memory of process `pid` in bytes, or -1. */
double process_resident_bytes(int pid);

#endif
