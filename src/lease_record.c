#include "lease_record.h"

#include <jansson.h>

static json_t *format_set(const kb_voter_set_t *set)
{
	json_t *array = json_array();

	for (size_t i = 0; i < set->count; i++)
		json_array_append_new(array, json_string(set->hosts[i].data));
	return array;
}

static json_t *format_targets(const kb_name_t *names, size_t count)
{
	json_t *array = count ? json_array() : NULL;

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, json_string(names[i].data));
	return array;
}

static json_t *format_order(const kb_promotion_order_t *order)
{
	if (!order->number)
		return NULL;
	return json_pack(
		"{s:I,s:I,s:I,s:s,s:s*,s:o*}", "number",
		(json_int_t)order->number, "term", (json_int_t)order->term,
		"served", (json_int_t)order->served_term, "target",
		order->target.data, "earlier",
		order->earlier.len ? order->earlier.data : NULL, "unanswered",
		format_targets(order->unanswered.names,
			       order->unanswered.count));
}

static json_t *format_departures(const kb_departures_t *departures)
{
	json_t *array = departures->count ? json_array() : NULL;

	for (size_t i = 0; i < departures->count; i++) {
		const kb_departure_t *each = &departures->departures[i];

		json_array_append_new(
			array, json_pack("{s:s,s:s,s:i,s:I,s:s}", "target",
					 each->target.data, "address",
					 each->endpoint.address.data, "port",
					 each->endpoint.port, "startedAtMs",
					 (json_int_t)each->started_at_ms,
					 "heir", each->heir.data));
	}
	return array;
}

char *kb_lease_record_format(const kb_lease_record_t *record)
{
	json_t *json;
	char *text;

	json = json_pack(
		"{s:s,s:I,s:I,s:b,s:b,s:o,s:o,s:b,s:o*,s:o*,s:o*,s:b,s:o*,s:b}",
		"holder", record->holder.data, "era", (json_int_t)record->era,
		"grant", (json_int_t)record->grant, "released",
		record->released, "settled", record->settled, "candidates",
		format_set(&record->voters), "former",
		format_set(&record->former_voters), "formerLost",
		record->former_unknown, "promotion",
		format_order(&record->order), "copies",
		format_targets(record->copies.names, record->copies.count),
		"standbys",
		format_targets(record->standbys.names, record->standbys.count),
		"ordersUnknown", record->orders_unknown, "departing",
		format_departures(&record->departures), "moreCopies",
		record->departures.truncated);
	text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	json_decref(json);
	return text;
}

static kb_result_t read_set(kb_voter_set_t *set, const json_t *hosts)
{
	const json_t *name;
	size_t i;

	if (!json_is_array(hosts) ||
	    json_array_size(hosts) > KB_LEASE_VOTERS_MAX)
		return KB_ERR_PROTOCOL;
	json_array_foreach(hosts, i, name)
	{
		if (!json_is_string(name) ||
		    kb_name_set(&set->hosts[i],
				kb_str_from(json_string_value(name))))
			return KB_ERR_PROTOCOL;
		set->count++;
	}
	return KB_OK;
}

static kb_result_t read_unanswered(kb_order_targets_t *targets,
				   const json_t *names)
{
	const json_t *name;
	size_t i;

	if (names && (!json_is_array(names) ||
		      json_array_size(names) > KB_ORDER_TARGETS_MAX))
		return KB_ERR_PROTOCOL;
	json_array_foreach(names, i, name)
	{
		if (!json_is_string(name) ||
		    kb_name_set(&targets->names[targets->count++],
				kb_str_from(json_string_value(name))))
			return KB_ERR_PROTOCOL;
	}
	return KB_OK;
}

/* A record without an order is of a group without a promotion. */
static kb_result_t read_order(kb_promotion_order_t *order, json_t *json)
{
	const char *target;
	const char *earlier = "";
	json_t *unanswered = NULL;
	json_int_t served_term = 0;
	json_int_t number;
	json_int_t term;

	if (!json)
		return KB_OK;
	if (json_unpack(json, "{s:I,s:I,s?I,s:s,s?s,s?o}", "number", &number,
			"term", &term, "served", &served_term, "target",
			&target, "earlier", &earlier, "unanswered",
			&unanswered) ||
	    number < 0 || term < 0 || served_term < 0 ||
	    kb_name_set(&order->target, kb_str_from(target)) ||
	    kb_name_set(&order->earlier, kb_str_from(earlier)) ||
	    read_unanswered(&order->unanswered, unanswered))
		return KB_ERR_PROTOCOL;
	order->number = (uint64_t)number;
	order->term = (uint64_t)term;
	order->served_term = (uint64_t)served_term;
	return KB_OK;
}

static kb_result_t read_names(kb_target_names_t *targets, const json_t *names)
{
	const json_t *name;
	size_t i;

	if (names && (!json_is_array(names) ||
		      json_array_size(names) > KB_TARGET_NAMES_MAX))
		return KB_ERR_PROTOCOL;
	json_array_foreach(names, i, name)
	{
		kb_name_t target;

		if (!json_is_string(name) ||
		    kb_name_set(&target, kb_str_from(json_string_value(name))))
			return KB_ERR_PROTOCOL;
		kb_target_names_add(targets, &target);
	}
	return KB_OK;
}

static kb_result_t read_departure(kb_departure_t *departure, json_t *json)
{
	const char *target;
	const char *address;
	const char *heir;
	json_int_t started_at_ms;
	int port;

	if (json_unpack(json, "{s:s,s:s,s:i,s:I,s:s}", "target", &target,
			"address", &address, "port", &port, "startedAtMs",
			&started_at_ms, "heir", &heir) ||
	    port < 0 || port > UINT16_MAX || started_at_ms < 0 ||
	    kb_name_set(&departure->target, kb_str_from(target)) ||
	    kb_name_set(&departure->endpoint.address, kb_str_from(address)) ||
	    kb_name_set(&departure->heir, kb_str_from(heir)))
		return KB_ERR_PROTOCOL;
	departure->endpoint.port = (uint16_t)port;
	departure->started_at_ms = (uint64_t)started_at_ms;
	return KB_OK;
}

static kb_result_t read_departures(kb_departures_t *departures,
				   const json_t *array)
{
	json_t *json;
	size_t i;

	if (array && (!json_is_array(array) ||
		      json_array_size(array) > KB_DEPARTURES_MAX))
		return KB_ERR_PROTOCOL;
	json_array_foreach(array, i, json)
	{
		if (read_departure(&departures->departures[departures->count++],
				   json))
			return KB_ERR_PROTOCOL;
	}
	return KB_OK;
}

kb_result_t kb_lease_record_parse(kb_lease_record_t *record, kb_str_t text)
{
	json_t *json = json_loadb(text.data, text.len, 0, NULL);
	kb_result_t result = KB_ERR_PROTOCOL;
	json_t *voters;
	json_t *former_voters;
	json_t *order = NULL;
	json_t *copies = NULL;
	json_t *standbys = NULL;
	json_t *departures = NULL;
	const char *holder;
	/* A record without it is of the time before stores had eras. */
	json_int_t era = 0;
	json_int_t grant = 0;

	memset(record, 0, sizeof(*record));
	if (json &&
	    !json_unpack(
		    json,
		    "{s:s,s?I,s?I,s:b,s:b,s:o,s:o,s:b,s?o,s?o,s?o,s?b,s?o,s?b}",
		    "holder", &holder, "era", &era, "grant", &grant, "released",
		    &record->released, "settled", &record->settled,
		    "candidates", &voters, "former", &former_voters,
		    "formerLost", &record->former_unknown, "promotion", &order,
		    "copies", &copies, "standbys", &standbys, "ordersUnknown",
		    &record->orders_unknown, "departing", &departures,
		    "moreCopies", &record->departures.truncated) &&
	    *holder && !kb_name_set(&record->holder, kb_str_from(holder)) &&
	    !read_set(&record->voters, voters) &&
	    !read_order(&record->order, order) &&
	    !read_names(&record->copies, copies) &&
	    !read_names(&record->standbys, standbys) &&
	    !read_departures(&record->departures, departures))
		result = read_set(&record->former_voters, former_voters);
	record->era = era;
	record->grant = grant;
	json_decref(json);
	return result;
}
