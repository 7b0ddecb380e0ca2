#include "target_probe.h"

static kb_time_t now(const kb_target_probe_t *probe)
{
	return kb_clock_monotonic(probe->clock);
}

void kb_target_probe_init(kb_target_probe_t *probe,
			  kb_link_connector_t *connector, kb_clock_t *clock,
			  const kb_link_place_t *place)
{
	memset(probe, 0, sizeof(*probe));
	probe->connector = connector;
	probe->clock = clock;
	probe->place = *place;
}

static void close_link(kb_target_probe_t *probe)
{
	if (probe->link)
		kb_link_close(probe->link);
	probe->link = NULL;
	probe->opened = 0;
}

void kb_target_probe_finish(kb_target_probe_t *probe)
{
	close_link(probe);
	probe->in_progress = 0;
}

static void finish(kb_target_probe_t *probe, kb_result_t result,
		   const kb_target_report_t *report)
{
	if (!probe->in_progress)
		return;
	probe->in_progress = 0;
	probe->done(probe->ctx, probe, probe->command.kind, result, report);
}

static void send_command(kb_target_probe_t *probe)
{
	if (kb_link_send(probe->link, &probe->command) == KB_OK)
		return;
	close_link(probe);
	finish(probe, KB_ERR_TIMEOUT, NULL);
}

static void on_opened(void *ctx, kb_result_t result, kb_point_t point)
{
	kb_target_probe_t *probe = ctx;

	(void)point;
	if (!result) {
		probe->opened = 1;
		if (probe->in_progress)
			send_command(probe);
		return;
	}
	probe->link = NULL;
	/* A target that is out of connections is alive. */
	finish(probe, result == KB_ERR_TOO_MANY ? KB_ERR_OVERLOADED : result,
	       NULL);
}

static void on_answered(void *ctx, const kb_reply_t *reply)
{
	kb_target_probe_t *probe = ctx;

	finish(probe, reply->result == KB_OK ? KB_OK : KB_ERR_OVERLOADED,
	       reply->result ? NULL : &reply->report);
}

static void on_lost(void *ctx, kb_result_t result)
{
	kb_target_probe_t *probe = ctx;
	int was_idle = !probe->in_progress;

	(void)result;
	probe->link = NULL;
	probe->opened = 0;
	if (!was_idle)
		finish(probe, KB_ERR_TIMEOUT, NULL);
}

static const kb_link_events_t link_events = {
	.opened = on_opened,
	.answered = on_answered,
	.lost = on_lost,
};

void kb_target_probe_send(kb_target_probe_t *probe, kb_link_command_kind_t kind,
			  uint64_t term)
{
	if (probe->in_progress)
		return;
	memset(&probe->command, 0, sizeof(probe->command));
	probe->command.kind = kind;
	probe->command.id = KB_STR("");
	probe->command.name = KB_STR("");
	probe->command.body = KB_STR("");
	probe->command.term = term;
	probe->in_progress = 1;
	probe->started_at = now(probe);
	if (probe->opened) {
		send_command(probe);
		return;
	}
	if (probe->link)
		return;
	probe->link = kb_link_open(probe->connector, &probe->place,
				   &link_events, probe);
	if (!probe->link)
		finish(probe, KB_ERR_UNREACHABLE, NULL);
}

void kb_target_probe_set_place(kb_target_probe_t *probe,
			       const kb_link_place_t *place)
{
	if (kb_endpoint_equal(&probe->place.endpoint, &place->endpoint) &&
	    kb_name_is(&probe->place.group, kb_name_str(&place->group)))
		return;
	probe->place = *place;
	close_link(probe);
	finish(probe, KB_ERR_TIMEOUT, NULL);
}

void kb_target_probe_tick(kb_target_probe_t *probe)
{
	kb_time_t elapsed = now(probe) - probe->started_at;

	if (probe->in_progress) {
		if (elapsed < KB_TARGET_PROBE_TIMEOUT_MS * KB_NS_PER_MS)
			return;
		close_link(probe);
		finish(probe, KB_ERR_TIMEOUT, NULL);
	} else if (elapsed >= KB_TARGET_PROBE_IDLE_TIMEOUT_MS * KB_NS_PER_MS) {
		close_link(probe);
	}
}
