#include "verify.h"

#include "answer.h"
#include "statement.h"

#include <event2/event.h>
#include <stdlib.h>

enum { MAX_IN_FLIGHT = 32, RETRY_US = 100000 };

/* The verification of one insert or part. */
typedef struct kl_check {
	kl_verify_t *verify;
	/* KL_NO_WRITE if a part is verified. */
	size_t write;
	size_t part;
	json_t *statement;
	struct event *timer;
} kl_check_t;

static void start_checks(kl_verify_t *verify);

static void end_check(kl_check_t *check, int checked)
{
	kl_verify_t *verify = check->verify;

	if (checked)
		verify->checked++;
	else
		verify->unchecked++;
	json_decref(check->statement);
	if (check->timer)
		event_free(check->timer);
	free(check);
	verify->in_flight--;
	start_checks(verify);
}

static void check_answer(const kl_check_t *check, const kl_answer_t *answer)
{
	kl_history_t *history = check->verify->history;

	if (check->write != KL_NO_WRITE)
		kl_history_check_insert(history, check->write,
					kl_answer_rows(answer));
	else
		kl_history_check_part(history, check->part,
				      kl_answer_cell(answer, 1));
}

static void on_reply(void *ctx, const kl_reply_t *reply)
{
	static const struct timeval retry_delay = { 0, RETRY_US };
	kl_check_t *check = ctx;
	kl_answer_t answer;
	int done;

	kl_answer_init(&answer, reply->status, reply->body);
	done = answer.outcome == KB_OUTCOME_DONE;
	if (done)
		check_answer(check, &answer);
	kl_answer_finish(&answer);
	if (done)
		end_check(check, 1);
	else if (kb_clock_monotonic(check->verify->clock) >=
		 check->verify->deadline)
		end_check(check, 0);
	else
		evtimer_add(check->timer, &retry_delay);
}

static void send_request(kl_check_t *check)
{
	kl_verify_t *verify = check->verify;
	kl_request_t request = { .host = verify->next_host,
				 .statement = check->statement };

	verify->next_host =
		(verify->next_host + 1) % verify->options->host_count;
	if (kl_client_send(verify->client, &request, on_reply, check))
		end_check(check, 0);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	send_request(ctx);
}

static json_t *make_statement(const kl_check_t *check)
{
	const kl_verify_t *verify = check->verify;
	const kl_workload_t *workload = verify->options->workload;
	char text[KL_TEXT_BYTES];

	if (check->write == KL_NO_WRITE) {
		kl_history_part_id(verify->history, check->part, text);
		return kl_statement_find_id(
			workload->tables[workload->take->table], text);
	}
	kl_history_body(verify->history, check->write, text);
	return kl_statement_find_body(
		NULL,
		workload->tables[verify->history->writes[check->write].table],
		text);
}

static void start_check(kl_verify_t *verify, size_t write, size_t part)
{
	kl_check_t *check = calloc(1, sizeof(*check));

	if (!check) {
		verify->unchecked++;
		return;
	}
	verify->in_flight++;
	check->verify = verify;
	check->write = write;
	check->part = part;
	check->timer = evtimer_new(verify->base, on_timer, check);
	check->statement = make_statement(check);
	if (check->timer && check->statement)
		send_request(check);
	else
		end_check(check, 0);
}

/* Starts checks up to the limit. Takes are checked with their part. */
static void start_checks(kl_verify_t *verify)
{
	const kl_history_t *history = verify->history;

	while (verify->in_flight < MAX_IN_FLIGHT &&
	       verify->next_write < history->write_count) {
		size_t write = verify->next_write++;

		if (history->writes[write].kind == KL_WRITE_INSERT)
			start_check(verify, write, 0);
	}
	while (verify->in_flight < MAX_IN_FLIGHT &&
	       verify->next_part < history->part_count)
		start_check(verify, KL_NO_WRITE, verify->next_part++);
	if (!verify->in_flight && verify->done) {
		void (*done)(void *ctx) = verify->done;

		verify->done = NULL;
		done(verify->ctx);
	}
}

void kl_verify_start(kl_verify_t *verify, void (*done)(void *ctx), void *ctx)
{
	verify->done = done;
	verify->ctx = ctx;
	verify->deadline = kb_clock_monotonic(verify->clock) +
			   verify->options->verify_seconds * KB_NS_PER_S;
	start_checks(verify);
}
