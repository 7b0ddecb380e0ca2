#include "op.h"

#include "answer.h"
#include "retry.h"
#include "statement.h"

#include <stdlib.h>

enum { COMPETING_TAKES = 3 };

/* Probability that a session reads back what it has just written. */
#define OWN_READ_PROBABILITY 0.5
/* Probability that a session changes its host before a request. */
#define HOST_CHANGE_PROBABILITY 0.5

/* One request of a session, with its retries. */
typedef struct kl_op {
	kl_runner_t *runner;
	kl_session_t *session;
	const kl_op_spec_t *spec;
	kl_op_stats_t *stats;
	/* The write that is made or looked up, or KL_NO_WRITE. */
	size_t write;
	size_t part;
	kb_time_t arrived;
	kb_time_t sent;
	unsigned attempts;
	json_t *statement;
	char key[KL_TEXT_BYTES];
	struct event *retry_timer;
} kl_op_t;

static void send_request(kl_op_t *op);

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	send_request(ctx);
}

static void op_free(kl_op_t *op)
{
	json_decref(op->statement);
	if (op->retry_timer)
		event_free(op->retry_timer);
	free(op);
}

static int is_write(const kl_op_t *op)
{
	return op->spec->action <= KL_ACTION_TAKE;
}

/* Ends the operation and releases the session. */
static void finish(kl_op_t *op)
{
	kl_runner_t *runner = op->runner;
	kl_session_t *session = op->session;

	op_free(op);
	kl_runner_release(runner, session);
}

static void fail(kl_op_t *op)
{
	op->runner->failed = 1;
	finish(op);
}

static void start(kl_op_t *op);

/* Continues a finished write with the follow-up read of its session. */
static void start_own_read(kl_op_t *op)
{
	op->spec = op->spec->follow_up;
	op->arrived = kb_clock_monotonic(op->runner->clock);
	op->attempts = 0;
	json_decref(op->statement);
	op->statement = NULL;
	start(op);
}

static void on_write_done(kl_op_t *op)
{
	kl_runner_t *runner = op->runner;

	kl_stats_write(runner->stats, kb_clock_monotonic(runner->clock));
	if (op->spec->action == KL_ACTION_CREATE_PART) {
		kl_history_record_part(runner->history, op->part);
		for (size_t i = 0; i < COMPETING_TAKES; i++)
			kl_runner_enqueue_take(runner, op->part);
	}
	if (op->spec->action == KL_ACTION_INSERT)
		kl_runner_add_recent(runner, op->spec->table, op->write);
	if (op->spec->follow_up &&
	    kl_arrivals_chance(&runner->arrivals, OWN_READ_PROBABILITY))
		start_own_read(op);
	else
		finish(op);
}

static void on_read_done(kl_op_t *op, const kl_answer_t *answer)
{
	kl_runner_t *runner = op->runner;
	kl_read_t read = {
		.write = op->write,
		.own = op->spec->action == KL_ACTION_READ_OWN,
		.started = op->sent,
		.finished = kb_clock_monotonic(runner->clock),
		.max_age = kl_options_max_age(runner->options,
					      op->spec->read_kind),
		.age_ms = answer->age_ms,
		.rows = kl_answer_rows(answer),
	};

	if (answer->from_replica)
		runner->stats->replica_reads++;
	else
		runner->stats->primary_reads++;
	kl_history_check_read(runner->history, &read);
	finish(op);
}

static void on_success(kl_op_t *op, const kl_answer_t *answer)
{
	kb_time_t now = kb_clock_monotonic(op->runner->clock);

	kl_stats_success(op->stats, now - op->arrived);
	if (is_write(op))
		on_write_done(op);
	else
		on_read_done(op, answer);
}

static void on_failure(kl_op_t *op, const kl_answer_t *answer)
{
	if (answer->outcome == KB_OUTCOME_NOT_RUN)
		op->stats->not_run++;
	else
		op->stats->unknown++;
	finish(op);
}

static void update_token(kl_op_t *op, const kl_reply_t *reply, int code)
{
	char *token = reply->session ? strdup(reply->session) : NULL;

	if (!token && code != KB_ERR_TOKEN_INVALID)
		return;
	free(op->session->token);
	op->session->token = token;
}

static void on_answer(kl_op_t *op, const kl_answer_t *answer, int unsent)
{
	kl_runner_t *runner = op->runner;
	kb_time_t now = kb_clock_monotonic(runner->clock);
	kl_attempt_t attempt = { .outcome = answer->outcome,
				 .code = answer->code,
				 .attempts = op->attempts,
				 .writes = is_write(op),
				 .repeatable = !is_write(op) || op->spec->keyed,
				 .elapsed = now - op->arrived };
	struct timeval delay;

	if (is_write(op) && op->write != KL_NO_WRITE && !unsent)
		kl_history_record_answer(runner->history, op->write,
					 answer->outcome, answer->affected,
					 now);
	if (answer->outcome == KB_OUTCOME_DONE) {
		on_success(op, answer);
		return;
	}
	if (!kl_retry_should_retry(&attempt, &runner->arrivals)) {
		on_failure(op, answer);
		return;
	}
	runner->stats->retries++;
	op->session->host =
		(op->session->host + 1) % runner->options->host_count;
	delay = kl_retry_delay(op->attempts, &runner->arrivals);
	evtimer_add(op->retry_timer, &delay);
}

static void count_unanswered(const kl_op_t *op, int overdue)
{
	const kl_runner_t *runner = op->runner;
	const kl_endpoint_t *host = &runner->options->hosts[op->session->host];
	kb_time_t now = kb_clock_monotonic(runner->clock);

	if (overdue)
		runner->stats->overdue++;
	else
		runner->stats->cut_off++;
	if (runner->options->forbid_unanswered)
		kl_history_add_note(
			runner->history,
			"%s: %s on %s:%u, %lld us after sending, "
			"%lld ms into the run",
			overdue ? "overdue" : "cut off", op->spec->name,
			host->address.data, host->port,
			(long long)((now - op->sent) / KB_NS_PER_US),
			(long long)((now - runner->started) / KB_NS_PER_MS));
}

static void count(const kl_op_t *op, const kl_reply_t *reply,
		  const kl_answer_t *answer)
{
	kl_stats_t *stats = op->runner->stats;

	if (reply->unsent)
		stats->unsent++;
	else if (!reply->status)
		count_unanswered(op, reply->timed_out);
	else if (answer->code >= 0 && answer->code < KL_STATS_CODES_MAX)
		stats->codes[answer->code]++;
}

static void on_reply(void *ctx, const kl_reply_t *reply)
{
	kl_op_t *op = ctx;
	kl_answer_t answer;

	if (reply->unsent)
		kl_answer_init_unsent(&answer);
	else
		kl_answer_init(&answer, reply->status, reply->body);
	count(op, reply, &answer);
	update_token(op, reply, answer.code);
	on_answer(op, &answer, reply->unsent);
	kl_answer_finish(&answer);
}

static void send_request(kl_op_t *op)
{
	kl_request_t request = {
		.host = op->session->host,
		.statement = op->statement,
		.session = op->session->token,
		.key = is_write(op) && op->spec->keyed ? op->key : NULL,
	};

	op->attempts++;
	op->sent = kb_clock_monotonic(op->runner->clock);
	if (kl_client_send(op->runner->client, &request, on_reply, op))
		fail(op);
}

static const char *table_of(const kl_op_t *op)
{
	return op->runner->options->workload->tables[op->spec->table];
}

static json_t *make_insert(kl_op_t *op)
{
	kl_history_t *history = op->runner->history;

	if (kl_history_add_insert(history, op->spec->table, &op->write))
		return NULL;
	kl_history_body(history, op->write, op->key);
	return kl_statement_insert(op->spec, table_of(op), op->key);
}

static json_t *make_part(kl_op_t *op)
{
	kl_history_t *history = op->runner->history;

	if (kl_history_add_part(history, &op->part))
		return NULL;
	kl_history_part_id(history, op->part, op->key);
	return kl_statement_part(op->spec, table_of(op), op->key);
}

static json_t *make_take(kl_op_t *op)
{
	kl_history_t *history = op->runner->history;
	char id[KL_TEXT_BYTES];

	if (kl_history_add_take(history, op->part, &op->write))
		return NULL;
	kl_history_part_id(history, op->part, id);
	kl_history_body(history, op->write, op->key);
	return kl_statement_take(op->spec, table_of(op), id, op->key);
}

static json_t *make_look_up(kl_op_t *op)
{
	const kl_recent_t *recent = &op->runner->recent[op->spec->table];
	size_t kept =
		recent->count < KL_RECENT_MAX ? recent->count : KL_RECENT_MAX;
	char body[KL_TEXT_BYTES];

	if (op->spec->action == KL_ACTION_LOOK_UP && !kept)
		return kl_statement_bulk(op->spec->read_kind, table_of(op));
	if (op->spec->action == KL_ACTION_LOOK_UP)
		op->write = recent->writes[kl_arrivals_uniform(
			&op->runner->arrivals, kept)];
	kl_history_body(op->runner->history, op->write, body);
	return kl_statement_find_body(op->spec->read_kind, table_of(op), body);
}

static json_t *make_statement(kl_op_t *op)
{
	switch (op->spec->action) {
	case KL_ACTION_INSERT:
		return make_insert(op);
	case KL_ACTION_CREATE_PART:
		return make_part(op);
	case KL_ACTION_TAKE:
		return make_take(op);
	case KL_ACTION_BULK:
		return kl_statement_bulk(op->spec->read_kind, table_of(op));
	default:
		return make_look_up(op);
	}
}

static void start(kl_op_t *op)
{
	kl_runner_t *runner = op->runner;

	op->stats = kl_stats_op(runner->stats, op->spec->name);
	op->statement = make_statement(op);
	if (!op->stats || !op->statement) {
		fail(op);
		return;
	}
	op->stats->arrived++;
	if (kl_arrivals_chance(&runner->arrivals, HOST_CHANGE_PROBABILITY))
		op->session->host = kl_arrivals_uniform(
			&runner->arrivals, runner->options->host_count);
	send_request(op);
}

void kl_op_start(kl_runner_t *runner, kl_session_t *session,
		 const kl_queued_request_t *waiting)
{
	kl_op_t *op = calloc(1, sizeof(*op));

	if (!op) {
		runner->failed = 1;
		kl_runner_release(runner, session);
		return;
	}
	op->runner = runner;
	op->session = session;
	op->spec = waiting->spec;
	op->arrived = waiting->arrived;
	op->part = waiting->part;
	op->write = KL_NO_WRITE;
	op->retry_timer = evtimer_new(runner->base, on_retry, op);
	if (op->retry_timer)
		start(op);
	else
		fail(op);
}
