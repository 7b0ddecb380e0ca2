#include "report.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#define MEDIAN 0.5
#define P95 0.95
#define P99 0.99

enum { US_PER_MS = 1000, PERCENT = 100 };

static uint64_t acknowledged_writes(const kl_history_t *history)
{
	uint64_t count = 0;

	for (size_t i = 0; i < history->write_count; i++)
		count += (uint64_t)history->writes[i].acknowledged;
	return count;
}

int kl_report_status(const kl_report_t *report)
{
	if (kl_violations_total(&report->history->violations) ||
	    (report->options->forbid_unanswered &&
	     (report->stats->cut_off || report->stats->overdue)))
		return KL_EXIT_VIOLATION;
	if (report->failed || report->unchecked ||
	    !acknowledged_writes(report->history))
		return KL_EXIT_INCOMPLETE;
	return KL_EXIT_PASSED;
}

static double replica_share(const kl_stats_t *stats)
{
	uint64_t reads = stats->replica_reads + stats->primary_reads;

	return reads ? (double)stats->replica_reads / (double)reads : 0;
}

static double gap_ms(const kl_stats_t *stats)
{
	return (double)stats->write_gap / KB_NS_PER_MS;
}

static double gap_start_s(const kl_stats_t *stats)
{
	return (double)(stats->write_gap_start - stats->started) / KB_NS_PER_S;
}

static void print_ops(const kl_stats_t *stats)
{
	printf("%-16s %8s %9s %8s %8s %9s %9s %9s %9s\n", "request", "arrived",
	       "succeeded", "not run", "unknown", "p50 ms", "p95 ms", "p99 ms",
	       "max ms");
	for (size_t i = 0; i < stats->op_count; i++) {
		const kl_op_stats_t *op = &stats->ops[i];

		printf("%-16s %8" PRIu64 " %9" PRIu64 " %8" PRIu64 " %8" PRIu64
		       " %9.1f %9.1f %9.1f %9.1f\n",
		       op->name, op->arrived, op->succeeded, op->not_run,
		       op->unknown, kl_stats_quantile_ms(op, MEDIAN),
		       kl_stats_quantile_ms(op, P95),
		       kl_stats_quantile_ms(op, P99),
		       op->max_latency_us / US_PER_MS);
	}
}

static void print_codes(const kl_stats_t *stats)
{
	printf("attempts without a connection: %" PRIu64 ", cut off: %" PRIu64
	       ", overdue: %" PRIu64 "\n",
	       stats->unsent, stats->cut_off, stats->overdue);
	printf("refused attempts by code:");
	for (size_t i = 1; i < KL_STATS_CODES_MAX; i++)
		if (stats->codes[i])
			printf(" %zu %s: %" PRIu64 ";", i,
			       kb_result_name((kb_result_t)i), stats->codes[i]);
	printf(" %" PRIu64 " retries, %" PRIu64 " arrivals discarded\n",
	       stats->retries, stats->overrun);
}

static const char *verdict(int status)
{
	switch (status) {
	case KL_EXIT_PASSED:
		return "every promise held";
	case KL_EXIT_VIOLATION:
		return "a promise was broken";
	default:
		return "the run is incomplete";
	}
}

void kl_report_print(const kl_report_t *report)
{
	const kl_stats_t *stats = report->stats;
	const kl_violations_t *v = &report->history->violations;

	printf("workload %s, seed %lu, %.0f arrivals a second for %u s, "
	       "%u sessions\n",
	       report->options->workload->name, report->options->seed,
	       report->options->rate, report->options->seconds,
	       report->options->sessions);
	print_ops(stats);
	printf("reads served by replicas: %.1f %% (%" PRIu64 " of %" PRIu64
	       ")\n",
	       PERCENT * replica_share(stats), stats->replica_reads,
	       stats->replica_reads + stats->primary_reads);
	printf("longest time without an acknowledged write: %.0f ms, from "
	       "%.1f s on\n",
	       gap_ms(stats), gap_start_s(stats));
	print_codes(stats);
	printf("read back: %" PRIu64 " checked, %" PRIu64
	       " not; acknowledged writes: %" PRIu64 "\n",
	       report->checked, report->unchecked,
	       acknowledged_writes(report->history));
	printf("lost %" PRIu64 ", doubled %" PRIu64 ", stale %" PRIu64
	       ", wrong not run %" PRIu64 "\n",
	       v->lost, v->doubled, v->stale, v->wrong_not_run);
	for (size_t i = 0; i < report->history->note_count; i++)
		printf("  %s\n", report->history->notes[i]);
	printf("%s\n", verdict(kl_report_status(report)));
}

static json_t *ops_json(const kl_stats_t *stats)
{
	json_t *ops = json_object();

	for (size_t i = 0; i < stats->op_count; i++) {
		const kl_op_stats_t *op = &stats->ops[i];

		json_object_set_new(
			ops, op->name,
			json_pack("{s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f}",
				  "arrived", (json_int_t)op->arrived,
				  "succeeded", (json_int_t)op->succeeded,
				  "notRun", (json_int_t)op->not_run, "unknown",
				  (json_int_t)op->unknown, "p50Ms",
				  kl_stats_quantile_ms(op, MEDIAN), "p95Ms",
				  kl_stats_quantile_ms(op, P95), "p99Ms",
				  kl_stats_quantile_ms(op, P99), "maxMs",
				  op->max_latency_us / US_PER_MS));
	}
	return ops;
}

static json_t *codes_json(const kl_stats_t *stats)
{
	json_t *codes = json_object();

	for (size_t i = 1; i < KL_STATS_CODES_MAX; i++)
		if (stats->codes[i])
			json_object_set_new(
				codes, kb_result_name((kb_result_t)i),
				json_integer((json_int_t)stats->codes[i]));
	return codes;
}

static json_t *violations_json(const kl_history_t *history)
{
	const kl_violations_t *v = &history->violations;
	json_t *notes = json_array();

	for (size_t i = 0; i < history->note_count; i++)
		json_array_append_new(notes, json_string(history->notes[i]));
	return json_pack("{s:I,s:I,s:I,s:I,s:o}", "lost", (json_int_t)v->lost,
			 "doubled", (json_int_t)v->doubled, "stale",
			 (json_int_t)v->stale, "wrongNotRun",
			 (json_int_t)v->wrong_not_run, "notes", notes);
}

kb_result_t kl_report_write(const kl_report_t *report, const char *path)
{
	const kl_stats_t *stats = report->stats;
	int status = kl_report_status(report);
	json_t *json = json_pack(
		"{s:s,s:I,s:f,s:i,s:i,s:o,s:f,s:I,s:I,s:f,s:f,s:o,s:I,s:I,"
		"s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:i,s:s}",
		"workload", report->options->workload->name, "seed",
		(json_int_t)report->options->seed, "rate",
		report->options->rate, "seconds", (int)report->options->seconds,
		"sessions", (int)report->options->sessions, "requests",
		ops_json(stats), "replicaShare", replica_share(stats),
		"replicaReads", (json_int_t)stats->replica_reads,
		"primaryReads", (json_int_t)stats->primary_reads,
		"failoverGapMs", gap_ms(stats), "failoverGapStartS",
		gap_start_s(stats), "refusals", codes_json(stats), "retries",
		(json_int_t)stats->retries, "overrun",
		(json_int_t)stats->overrun, "unsent", (json_int_t)stats->unsent,
		"cutOff", (json_int_t)stats->cut_off, "overdue",
		(json_int_t)stats->overdue, "acknowledgedWrites",
		(json_int_t)acknowledged_writes(report->history), "checked",
		(json_int_t)report->checked, "unchecked",
		(json_int_t)report->unchecked, "violations",
		violations_json(report->history), "status", status, "verdict",
		verdict(status));
	int failed = !json || json_dump_file(json, path, JSON_INDENT(2));

	json_decref(json);
	return failed ? KB_ERR_IO : KB_OK;
}
