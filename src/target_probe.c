#include "target_probe.h"

static kb_time_t now_of(const kb_target_probe_t *probe)
{
	return kb_clock_monotonic(probe->clock);
}

void kb_target_probe_init(kb_target_probe_t *probe, kb_link_connector_t *linker,
			  kb_clock_t *clock, const kb_link_place_t *place)
{
	memset(probe, 0, sizeof(*probe));
	probe->linker = linker;
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
	probe->waiting = 0;
}

static void end(kb_target_probe_t *probe, kb_result_t result,
		const kb_target_report_t *report)
{
	if (!probe->waiting)
		return;
	probe->waiting = 0;
	probe->done(probe->ctx, probe, probe->order.kind, result, report);
}

static void send_order(kb_target_probe_t *probe)
{
	if (kb_link_send(probe->link, &probe->order) == KB_OK)
		return;
	close_link(probe);
	end(probe, KB_ERR_TIMEOUT, NULL);
}

static void on_opened(void *ctx, kb_result_t result, kb_point_t point)
{
	kb_target_probe_t *probe = ctx;

	(void)point;
	if (!result) {
		probe->opened = 1;
		if (probe->waiting)
			send_order(probe);
		return;
	}
	probe->link = NULL;
	/* A target that has no connection to spare lives. */
	end(probe, result == KB_ERR_TOO_MANY ? KB_ERR_OVERLOADED : result,
	    NULL);
}

static void on_answered(void *ctx, const kb_reply_t *reply)
{
	kb_target_probe_t *probe = ctx;

	end(probe, reply->result == KB_OK ? KB_OK : KB_ERR_OVERLOADED,
	    reply->result ? NULL : &reply->report);
}

static void on_lost(void *ctx, kb_result_t result)
{
	kb_target_probe_t *probe = ctx;
	int was_idle = !probe->waiting;

	(void)result;
	probe->link = NULL;
	probe->opened = 0;
	if (!was_idle)
		end(probe, KB_ERR_TIMEOUT, NULL);
}

static const kb_link_events_t link_events = {
	.opened = on_opened,
	.answered = on_answered,
	.lost = on_lost,
};

void kb_target_probe_send(kb_target_probe_t *probe, kb_link_command_kind_t kind,
			  uint64_t term)
{
	if (probe->waiting)
		return;
	memset(&probe->order, 0, sizeof(probe->order));
	probe->order.kind = kind;
	probe->order.id = KB_STR("");
	probe->order.name = KB_STR("");
	probe->order.body = KB_STR("");
	probe->order.term = term;
	probe->waiting = 1;
	probe->asked_at = now_of(probe);
	if (probe->opened) {
		send_order(probe);
		return;
	}
	if (probe->link)
		return;
	probe->link =
		kb_link_open(probe->linker, &probe->place, &link_events, probe);
	if (!probe->link)
		end(probe, KB_ERR_UNREACHABLE, NULL);
}

void kb_target_probe_set_place(kb_target_probe_t *probe,
			       const kb_link_place_t *place)
{
	if (probe->place.endpoint.port == place->endpoint.port &&
	    kb_name_is(&probe->place.endpoint.address,
		       kb_name_str(&place->endpoint.address)) &&
	    kb_name_is(&probe->place.group, kb_name_str(&place->group)))
		return;
	probe->place = *place;
	close_link(probe);
	end(probe, KB_ERR_TIMEOUT, NULL);
}

void kb_target_probe_tick(kb_target_probe_t *probe)
{
	kb_time_t spent = now_of(probe) - probe->asked_at;

	if (probe->waiting) {
		if (spent < KB_TARGET_PROBE_TIMEOUT_MS * KB_NS_PER_MS)
			return;
		close_link(probe);
		end(probe, KB_ERR_TIMEOUT, NULL);
	} else if (spent >= KB_TARGET_PROBE_IDLE_TIMEOUT_MS * KB_NS_PER_MS) {
		close_link(probe);
	}
}
