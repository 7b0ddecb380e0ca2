#include "config_gossip_internal.h"

#include <stdlib.h>

void kb_config_gossip_send_reports(kb_config_gossip_t *gossip)
{
	kb_config_gossip_message_t message;

	kb_config_gossip_begin_message(gossip, &message,
				       KB_CONFIG_GOSSIP_REPORT);
	for (int i = 0; i < KB_CONFIG_GOSSIP_RELAYS; i++)
		if (gossip->relays[i] != KB_MEMBER_NONE &&
		    gossip->relays[i] != gossip->members->self)
			kb_config_gossip_send(gossip, gossip->relays[i],
					      &message);
}

static bool reserve_reports(kb_config_gossip_t *gossip, uint32_t index)
{
	uint32_t capacity = gossip->members->table.capacity;
	kb_config_gossip_report_t *reports;

	if (index < gossip->report_capacity)
		return true;
	reports = realloc(gossip->reports, capacity * sizeof(*reports));
	if (!reports)
		return false;
	memset(reports + gossip->report_capacity, 0,
	       (capacity - gossip->report_capacity) * sizeof(*reports));
	gossip->reports = reports;
	gossip->report_capacity = capacity;
	return true;
}

void kb_config_gossip_on_report(kb_config_gossip_t *gossip, uint32_t from,
				const kb_config_gossip_message_t *message)
{
	uint64_t instance = gossip->members->table.members[from].instance;
	kb_config_gossip_report_t *report;

	/* Out of memory: the host is counted as having no revision. */
	if (!reserve_reports(gossip, from))
		return;
	report = &gossip->reports[from];
	/* Reports of one process may arrive out of order. */
	if (report->instance == instance &&
	    report->revision > message->revision)
		return;
	report->instance = instance;
	report->revision = message->revision;
}

/* Returns the revision last reported by host `index`, or 0. */
static uint64_t reported_by(const kb_config_gossip_t *gossip, uint32_t index)
{
	if (index == gossip->members->self)
		return gossip->set.complete;
	if (index >= gossip->report_capacity ||
	    gossip->reports[index].instance !=
		    gossip->members->table.members[index].instance)
		return 0;
	return gossip->reports[index].revision;
}

/* Adds a host in the order of revisions; keeps those furthest behind. */
static void add_lagging(kb_config_gossip_message_t *message, kb_str_t host,
			uint64_t revision)
{
	size_t i = message->lagging_count;

	if (i < KB_CONFIG_GOSSIP_LAGGING_MAX)
		message->lagging_count++;
	else if (message->lagging[--i].revision <= revision)
		return;
	for (; i && message->lagging[i - 1].revision > revision; i--)
		message->lagging[i] = message->lagging[i - 1];
	kb_name_set(&message->lagging[i].host, host);
	message->lagging[i].revision = revision;
}

/* Sets `message` to the status of this host's data centre. */
static void summarize(const kb_config_gossip_t *gossip,
		      kb_config_gossip_message_t *message)
{
	const kb_member_table_t *table = &gossip->members->table;
	kb_str_t here = kb_member_data_centre(kb_members_self(gossip->members));

	kb_config_gossip_begin_message(gossip, message,
				       KB_CONFIG_GOSSIP_STATUS);
	for (uint32_t i = 0; i < table->used; i++) {
		const kb_member_t *member = &table->members[i];
		uint64_t revision = reported_by(gossip, i);

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

void kb_config_gossip_on_status_request(kb_config_gossip_t *gossip,
					uint32_t from)
{
	kb_config_gossip_message_t message;

	if (!gossip->is_relay)
		return;
	summarize(gossip, &message);
	kb_config_gossip_send(gossip, from, &message);
}

static kb_config_gossip_data_centre_t *
find_data_centre(kb_config_gossip_t *gossip, kb_str_t data_centre)
{
	for (size_t i = 0; i < gossip->data_centre_count; i++)
		if (kb_name_is(&gossip->data_centres[i].data_centre,
			       data_centre))
			return &gossip->data_centres[i];
	return NULL;
}

static kb_config_gossip_data_centre_t *
add_data_centre(kb_config_gossip_t *gossip, kb_str_t data_centre)
{
	kb_config_gossip_data_centre_t *entry;

	if (gossip->data_centre_count == KB_CONFIG_GOSSIP_DATA_CENTRES_MAX)
		return NULL;
	entry = &gossip->data_centres[gossip->data_centre_count++];
	memset(entry, 0, sizeof(*entry));
	kb_name_set(&entry->data_centre, data_centre);
	for (int i = 0; i < KB_CONFIG_GOSSIP_RELAYS; i++)
		entry->relays[i] = KB_MEMBER_NONE;
	return entry;
}

/* Updates the list of data centres, their numbers of hosts and relays. */
static void update_data_centres(kb_config_gossip_t *gossip)
{
	const kb_member_table_t *table = &gossip->members->table;
	kb_config_gossip_data_centre_t *entry = NULL;

	for (size_t i = 0; i < gossip->data_centre_count; i++) {
		gossip->data_centres[i].live = 0;
		for (int n = 0; n < KB_CONFIG_GOSSIP_RELAYS; n++)
			gossip->data_centres[i].relays[n] = KB_MEMBER_NONE;
	}
	for (uint32_t i = 0; i < table->used; i++) {
		const kb_member_t *member = &table->members[i];

		if (!kb_member_is_live(member))
			continue;
		entry = find_data_centre(gossip, kb_member_data_centre(member));
		if (!entry)
			entry = add_data_centre(gossip,
						kb_member_data_centre(member));
		if (!entry)
			continue;
		entry->live++;
		kb_config_gossip_add_relay_candidate(table, entry->relays, i);
	}
}

static void store_status(kb_config_gossip_data_centre_t *entry,
			 const kb_config_gossip_message_t *message,
			 kb_time_t now)
{
	entry->status_at = now;
	entry->hosts = message->hosts;
	entry->in_force = message->in_force;
	entry->revision = message->revision;
	entry->lagging_count = message->lagging_count;
	memcpy(entry->lagging, message->lagging,
	       message->lagging_count * sizeof(*entry->lagging));
}

void kb_config_gossip_request_status(kb_config_gossip_t *gossip, kb_time_t now)
{
	size_t turn = gossip->status_count++ % KB_CONFIG_GOSSIP_RELAYS;

	update_data_centres(gossip);
	for (size_t i = 0; i < gossip->data_centre_count; i++) {
		kb_config_gossip_data_centre_t *entry =
			&gossip->data_centres[i];
		uint32_t relay = entry->relays[turn];
		kb_config_gossip_message_t message;

		if (relay == KB_MEMBER_NONE)
			relay = entry->relays[0];
		if (relay == KB_MEMBER_NONE)
			continue;
		if (relay == gossip->members->self) {
			summarize(gossip, &message);
			store_status(entry, &message, now);
			continue;
		}
		kb_config_gossip_begin_message(gossip, &message,
					       KB_CONFIG_GOSSIP_STATUS_REQUEST);
		kb_config_gossip_send(gossip, relay, &message);
	}
}

void kb_config_gossip_on_status(kb_config_gossip_t *gossip, uint32_t from,
				const kb_config_gossip_message_t *message,
				kb_time_t now)
{
	const kb_member_t *member = &gossip->members->table.members[from];
	kb_config_gossip_data_centre_t *entry;

	if (!gossip->status_watched)
		return;
	entry = find_data_centre(gossip, kb_member_data_centre(member));
	if (entry)
		store_status(entry, message, now);
}

kb_result_t kb_config_gossip_watch_status(kb_config_gossip_t *gossip,
					  bool watched, kb_time_t now)
{
	if (watched == gossip->status_watched)
		return KB_OK;
	if (watched) {
		gossip->data_centres = calloc(KB_CONFIG_GOSSIP_DATA_CENTRES_MAX,
					      sizeof(*gossip->data_centres));
		if (!gossip->data_centres)
			return KB_ERR_NO_MEMORY;
	} else {
		free(gossip->data_centres);
		gossip->data_centres = NULL;
	}
	gossip->data_centre_count = 0;
	gossip->status_watched = watched;
	gossip->next_status = watched ? now : KB_TIME_NEVER;
	return KB_OK;
}

/*
 * Adds the status of a data centre. `lagging` is in the order of revisions: if
 * one of its hosts has `revision`, so have all hosts that are not named. Else
 * those that lack the newest revision are counted as lacking `revision`.
 */
static void add_status(kb_config_gossip_status_t *status,
		       const kb_config_gossip_data_centre_t *entry,
		       uint64_t revision)
{
	uint32_t lacking = entry->hosts - entry->in_force;
	uint32_t named = 0;

	if (entry->revision < revision)
		lacking = entry->hosts;
	for (size_t i = 0; i < entry->lagging_count; i++) {
		if (entry->lagging[i].revision >= revision) {
			lacking = named;
			break;
		}
		named++;
		if (status->missing_count < KB_CONFIG_GOSSIP_MISSING_MAX)
			status->missing[status->missing_count++] =
				entry->lagging[i].host;
	}
	status->hosts += entry->hosts;
	status->in_force += entry->hosts - lacking;
}

void kb_config_gossip_get_status(const kb_config_gossip_t *gossip,
				 uint64_t revision, kb_time_t now,
				 kb_config_gossip_status_t *status)
{
	kb_time_t max_age = KB_CONFIG_GOSSIP_STATUS_MAX_AGE_MS * KB_NS_PER_MS;

	memset(status, 0, sizeof(*status));
	for (size_t i = 0; i < gossip->data_centre_count; i++) {
		const kb_config_gossip_data_centre_t *entry =
			&gossip->data_centres[i];

		if (entry->status_at && now - entry->status_at <= max_age) {
			add_status(status, entry, revision);
			continue;
		}
		status->hosts += entry->live;
		status->unknown += entry->live;
	}
}
