#ifndef KL_REPORT_H
#define KL_REPORT_H

#include "history.h"
#include "options.h"
#include "stats.h"

/* The results of a run. */
typedef struct kl_report {
	const kl_options_t *options;
	const kl_stats_t *stats;
	const kl_history_t *history;
	/* Number of inserts and parts that were verified, and that were not. */
	uint64_t checked;
	uint64_t unchecked;
	/* The load tool failed, for example for lack of memory. */
	int failed;
} kl_report_t;

/* Exit statuses of the program. */
enum { KL_EXIT_PASSED = 0, KL_EXIT_VIOLATION = 1, KL_EXIT_INCOMPLETE = 2 };

/* Returns the exit status for the run. */
int kl_report_status(const kl_report_t *report);

/* Prints the report to standard output. */
void kl_report_print(const kl_report_t *report);

/* Writes the report as JSON. Returns KB_OK, KB_ERR_IO or KB_ERR_NO_MEMORY. */
kb_result_t kl_report_write(const kl_report_t *report, const char *path);

#endif
