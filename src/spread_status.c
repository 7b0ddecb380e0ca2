#include "spread_internal.h"

#include <stdlib.h>

void kb_spread_send_reports(kb_spread_t *spread)
{
	kb_spread_message_t message;

	kb_spread_begin_message(spread, &message, KB_SPREAD_REPORT);
	for (int i = 0; i < KB_SPREAD_RELAYS; i++)
		if (spread->relays[i] != KB_MEMBER_NONE &&
		    spread->relays[i] != spread->members->self)
			kb_spread_send(spread, spread->relays[i], &message);
}

static bool reserve_reports(kb_spread_t *spread, uint32_t index)
{
	uint32_t capacity = spread->members->table.capacity;
	kb_spread_report_t *reports;

	if (index < spread->report_capacity)
		return true;
	reports = realloc(spread->reports, capacity * sizeof(*reports));
	if (!reports)
		return false;
	memset(reports + spread->report_capacity, 0,
	       (capacity - spread->report_capacity) * sizeof(*reports));
	spread->reports = reports;
	spread->report_capacity = capacity;
	return true;
}

void kb_spread_on_report(kb_spread_t *spread, uint32_t from,
			 const kb_spread_message_t *message)
{
	uint64_t instance = spread->members->table.members[from].instance;
	kb_spread_report_t *report;

	/* Without memory the host counts as lacking every revision. */
	if (!reserve_reports(spread, from))
		return;
	report = &spread->reports[from];
	/* Reports of one run may overtake each other. */
	if (report->instance == instance &&
	    report->revision > message->revision)
		return;
	report->instance = instance;
	report->revision = message->revision;
}

/* Returns the revision in force at host `index` as far as it has reported. */
static uint64_t reported_by(const kb_spread_t *spread, uint32_t index)
{
	if (index == spread->members->self)
		return spread->set.complete;
	if (index >= spread->report_capacity ||
	    spread->reports[index].instance !=
		    spread->members->table.members[index].instance)
		return 0;
	return spread->reports[index].revision;
}

/* Keeps the hosts that are furthest behind, in the order of revisions. */
static void add_lagging(kb_spread_message_t *message, kb_str_t host,
			uint64_t revision)
{
	size_t i = message->lagging_count;

	if (i < KB_SPREAD_LAGGING_MAX)
		message->lagging_count++;
	else if (message->lagging[--i].revision <= revision)
		return;
	for (; i && message->lagging[i - 1].revision > revision; i--)
		message->lagging[i] = message->lagging[i - 1];
	kb_name_set(&message->lagging[i].host, host);
	message->lagging[i].revision = revision;
}

/* Fills `message` with where this host's data centre stands. */
static void sum_up(const kb_spread_t *spread, kb_spread_message_t *message)
{
	const kb_member_table_t *table = &spread->members->table;
	kb_str_t here = kb_member_data_centre(kb_members_self(spread->members));

	kb_spread_begin_message(spread, message, KB_SPREAD_STATUS);
	for (uint32_t i = 0; i < table->used; i++) {
		const kb_member_t *member = &table->members[i];
		uint64_t revision = reported_by(spread, i);

		if (!kb_member_is_live(member) ||
		    !kb_str_equal(kb_member_data_centre(member), here))
			continue;
		message->hosts++;
		if (revision >= message->revision)
			message->in_force++;
		else
			add_lagging(message, kb_member_name(member), revision);
	}
}

void kb_spread_on_status_request(kb_spread_t *spread, uint32_t from)
{
	kb_spread_message_t message;

	if (!spread->is_relay)
		return;
	sum_up(spread, &message);
	kb_spread_send(spread, from, &message);
}

static kb_spread_place_t *find_place(kb_spread_t *spread, kb_str_t data_centre)
{
	for (size_t i = 0; i < spread->place_count; i++)
		if (kb_name_is(&spread->places[i].data_centre, data_centre))
			return &spread->places[i];
	return NULL;
}

static kb_spread_place_t *add_place(kb_spread_t *spread, kb_str_t data_centre)
{
	kb_spread_place_t *place;

	if (spread->place_count == KB_SPREAD_PLACES_MAX)
		return NULL;
	place = &spread->places[spread->place_count++];
	memset(place, 0, sizeof(*place));
	kb_name_set(&place->data_centre, data_centre);
	for (int i = 0; i < KB_SPREAD_RELAYS; i++)
		place->relays[i] = KB_MEMBER_NONE;
	return place;
}

/* Brings the list of data centres, their hosts and relays up to date. */
static void find_places(kb_spread_t *spread)
{
	const kb_member_table_t *table = &spread->members->table;
	kb_spread_place_t *place = NULL;

	for (size_t i = 0; i < spread->place_count; i++) {
		spread->places[i].live = 0;
		for (int n = 0; n < KB_SPREAD_RELAYS; n++)
			spread->places[i].relays[n] = KB_MEMBER_NONE;
	}
	for (uint32_t i = 0; i < table->used; i++) {
		const kb_member_t *member = &table->members[i];

		if (!kb_member_is_live(member))
			continue;
		place = find_place(spread, kb_member_data_centre(member));
		if (!place)
			place = add_place(spread,
					  kb_member_data_centre(member));
		if (!place)
			continue;
		place->live++;
		kb_spread_offer_relay(table, place->relays, i);
	}
}

static void keep_status(kb_spread_place_t *place,
			const kb_spread_message_t *message, kb_time_t now)
{
	place->at = now;
	place->hosts = message->hosts;
	place->in_force = message->in_force;
	place->revision = message->revision;
	place->lagging_count = message->lagging_count;
	memcpy(place->lagging, message->lagging,
	       message->lagging_count * sizeof(*place->lagging));
}

void kb_spread_request_status(kb_spread_t *spread, kb_time_t now)
{
	size_t turn = spread->status_count++ % KB_SPREAD_RELAYS;

	find_places(spread);
	for (size_t i = 0; i < spread->place_count; i++) {
		kb_spread_place_t *place = &spread->places[i];
		uint32_t relay = place->relays[turn];
		kb_spread_message_t message;

		if (relay == KB_MEMBER_NONE)
			relay = place->relays[0];
		if (relay == KB_MEMBER_NONE)
			continue;
		if (relay == spread->members->self) {
			sum_up(spread, &message);
			keep_status(place, &message, now);
			continue;
		}
		kb_spread_begin_message(spread, &message,
					KB_SPREAD_STATUS_REQUEST);
		kb_spread_send(spread, relay, &message);
	}
}

void kb_spread_on_status(kb_spread_t *spread, uint32_t from,
			 const kb_spread_message_t *message, kb_time_t now)
{
	const kb_member_t *member = &spread->members->table.members[from];
	kb_spread_place_t *place;

	if (!spread->status_watched)
		return;
	place = find_place(spread, kb_member_data_centre(member));
	if (place)
		keep_status(place, message, now);
}

kb_result_t kb_spread_watch_status(kb_spread_t *spread, bool watched,
				   kb_time_t now)
{
	if (watched == spread->status_watched)
		return KB_OK;
	if (watched) {
		spread->places =
			calloc(KB_SPREAD_PLACES_MAX, sizeof(*spread->places));
		if (!spread->places)
			return KB_ERR_NO_MEMORY;
	} else {
		free(spread->places);
		spread->places = NULL;
	}
	spread->place_count = 0;
	spread->status_watched = watched;
	spread->next_status = watched ? now : KB_TIME_NEVER;
	return KB_OK;
}

/* Adds what a data centre told; hosts that it does not name count as
 * lacking the revision if they lack the newest one. */
static void add_place_status(kb_spread_status_t *status,
			     const kb_spread_place_t *place, uint64_t revision)
{
	uint32_t lacking = place->hosts - place->in_force;
	uint32_t named = 0;

	if (place->revision < revision)
		lacking = place->hosts;
	for (size_t i = 0; i < place->lagging_count; i++) {
		if (place->lagging[i].revision >= revision) {
			lacking = named;
			break;
		}
		named++;
		if (status->missing_count < KB_SPREAD_MISSING_MAX)
			status->missing[status->missing_count++] =
				place->lagging[i].host;
	}
	status->hosts += place->hosts;
	status->in_force += place->hosts - lacking;
}

void kb_spread_get_status(const kb_spread_t *spread, uint64_t revision,
			  kb_time_t now, kb_spread_status_t *status)
{
	kb_time_t max_age = KB_SPREAD_STATUS_MAX_AGE_MS * KB_NS_PER_MS;

	memset(status, 0, sizeof(*status));
	for (size_t i = 0; i < spread->place_count; i++) {
		const kb_spread_place_t *place = &spread->places[i];

		if (place->at && now - place->at <= max_age) {
			add_place_status(status, place, revision);
			continue;
		}
		status->hosts += place->live;
		status->unknown += place->live;
	}
}
