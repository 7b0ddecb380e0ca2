#include "spec.h"
#include "duration.h"

#include <string.h>

enum {
	PORT_MAX = 65535,
	SLOTS_MAX = 10000,
	CONNECTIONS_MAX = 100000,
	WEIGHT_MAX = 1000,
	QUEUE_LIMIT_MAX = 100000,
};

#define MAX_AGE_MAX (24 * 3600 * KB_NS_PER_S)
#define DEADLINE_MIN KB_NS_PER_MS
#define DEADLINE_MAX (600 * KB_NS_PER_S)
#define GRACE_MIN KB_NS_PER_S
#define GRACE_MAX (3600 * KB_NS_PER_S)

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const char *const kind_names[] = {
	[KB_KIND_GROUP] = "group",
	[KB_KIND_READ_KIND] = "read-kind",
	[KB_KIND_TRAFFIC_CLASS] = "traffic-class",
	[KB_KIND_HOST] = "host",
	[KB_KIND_PLANNED_STOP] = "planned-stop",
};

static const char *const state_names[] = {
	[KB_ADMIN_STATE_ACTIVE] = "active",
	[KB_ADMIN_STATE_LEAVING] = "leaving",
};

const char *kb_spec_kind_name(kb_kind_t kind)
{
	return kind_names[kind];
}

const char *kb_spec_state_name(kb_admin_state_t state)
{
	return state_names[state];
}

kb_result_t kb_spec_kind_parse(kb_str_t text, kb_kind_t *kind)
{
	for (int i = 0; i < KB_KIND_COUNT; i++) {
		if (kb_str_equal(text, kb_str_from(kind_names[i]))) {
			*kind = (kb_kind_t)i;
			return KB_OK;
		}
	}
	return KB_ERR_NOT_FOUND;
}

static kb_result_t parse_state(const kb_fields_t *fields,
			       kb_admin_state_t *state)
{
	kb_str_t text;
	kb_result_t result = kb_fields_string(fields, "state", &text);

	if (result != KB_OK)
		return result;
	for (size_t i = 0; i < COUNT(state_names); i++) {
		if (kb_str_equal(text, kb_str_from(state_names[i]))) {
			*state = (kb_admin_state_t)i;
			return KB_OK;
		}
	}
	return kb_fields_fail(fields, "state",
			      "must be \"active\" or \"leaving\"");
}

static kb_result_t parse_target(const kb_fields_t *fields,
				kb_target_spec_t *target)
{
	static const char *const names[] = {
		"name",	  "address", "port",	    "dataCentre",
		"region", "slots",   "connections", "state",
	};
	unsigned port;
	kb_result_t result;

	if ((result = kb_fields_check_known(fields, names, COUNT(names))) ||
	    (result = kb_fields_name(fields, "name", &target->name)) ||
	    (result = kb_fields_address(fields, "address", &target->address)) ||
	    (result = kb_fields_number(fields, "port", 1, PORT_MAX, &port)) ||
	    (result = kb_fields_name(fields, "dataCentre",
				     &target->data_centre)) ||
	    (result = kb_fields_name(fields, "region", &target->region)) ||
	    (result = kb_fields_number(fields, "slots", 1, SLOTS_MAX,
				       &target->slots)) ||
	    (result =
		     kb_fields_number(fields, "connections", 1, CONNECTIONS_MAX,
				      &target->connections)) ||
	    (result = parse_state(fields, &target->state)))
		return result;
	target->port = (uint16_t)port;
	if (target->connections < target->slots)
		return kb_fields_fail(fields, "connections",
				      "must not be less than slots (%u)",
				      target->slots);
	return KB_OK;
}

static int same_endpoint(const kb_target_spec_t *a, const kb_target_spec_t *b)
{
	return a->port == b->port &&
	       kb_name_is(&a->address, kb_name_str(&b->address));
}

static kb_result_t check_distinct(const kb_fields_t *fields,
				  const kb_group_spec_t *group, size_t index)
{
	const kb_target_spec_t *target = &group->targets[index];

	for (size_t i = 0; i < index; i++) {
		if (kb_name_is(&group->targets[i].name,
			       kb_name_str(&target->name)))
			return kb_fields_fail(fields, "name",
					      "is also that of targets[%zu]",
					      i);
		if (same_endpoint(&group->targets[i], target))
			return kb_fields_fail(fields, "port",
					      "address and port are also "
					      "those of targets[%zu]",
					      i);
	}
	return KB_OK;
}

static kb_result_t parse_group(const kb_fields_t *fields,
			       kb_group_spec_t *group)
{
	static const char *const names[] = { "database", "targets" };
	kb_fields_t item;
	kb_result_t result;

	if ((result = kb_fields_check_known(fields, names, COUNT(names))) ||
	    (result = kb_fields_name(fields, "database", &group->database)) ||
	    (result =
		     kb_fields_array(fields, "targets", 1, KB_GROUP_MAX_TARGETS,
				     &group->target_count)))
		return result;
	for (size_t i = 0; i < group->target_count; i++) {
		if ((result = kb_fields_item(&item, fields, "targets", i)) ||
		    (result = parse_target(&item, &group->targets[i])) ||
		    (result = check_distinct(&item, group, i)))
			return result;
	}
	return KB_OK;
}

static kb_result_t parse_read_kind(const kb_fields_t *fields,
				   kb_read_kind_t *read_kind)
{
	static const char *const names[] = { "maxAge", "class" };
	kb_result_t result;

	if ((result = kb_fields_check_known(fields, names, COUNT(names))) ||
	    (result = kb_fields_duration(fields, "maxAge", 0, MAX_AGE_MAX,
					 &read_kind->max_age)))
		return result;
	return kb_fields_name(fields, "class", &read_kind->traffic_class);
}

static kb_result_t parse_traffic_class(const kb_fields_t *fields,
				       kb_traffic_class_t *traffic_class)
{
	static const char *const names[] = { "weight", "queueLimit", "deadline",
					     "bulk" };
	kb_result_t result;

	if ((result = kb_fields_check_known(fields, names, COUNT(names))) ||
	    (result = kb_fields_number(fields, "weight", 1, WEIGHT_MAX,
				       &traffic_class->weight)) ||
	    (result = kb_fields_number(fields, "queueLimit", 1, QUEUE_LIMIT_MAX,
				       &traffic_class->queue_limit)) ||
	    (result = kb_fields_duration(fields, "deadline", DEADLINE_MIN,
					 DEADLINE_MAX,
					 &traffic_class->deadline)))
		return result;
	return kb_fields_bool(fields, "bulk", &traffic_class->bulk);
}

static kb_result_t parse_host(const kb_fields_t *fields, kb_host_spec_t *host)
{
	static const char *const names[] = { "state" };
	kb_result_t result = kb_fields_check_known(fields, names, COUNT(names));

	if (result != KB_OK)
		return result;
	return parse_state(fields, &host->state);
}

static kb_result_t parse_planned_stop(const kb_fields_t *fields,
				      kb_planned_stop_t *stop)
{
	static const char *const names[] = { "host", "grace" };
	kb_result_t result;

	if ((result = kb_fields_check_known(fields, names, COUNT(names))) ||
	    (result = kb_fields_name(fields, "host", &stop->host)))
		return result;
	return kb_fields_duration(fields, "grace", GRACE_MIN, GRACE_MAX,
				  &stop->grace);
}

/* Returns the field of the spec that holds the resource's name. */
static kb_name_t *name_of(kb_spec_t *spec)
{
	switch (spec->kind) {
	case KB_KIND_GROUP:
		return &spec->u.group.name;
	case KB_KIND_READ_KIND:
		return &spec->u.read_kind.name;
	case KB_KIND_TRAFFIC_CLASS:
		return &spec->u.traffic_class.name;
	case KB_KIND_HOST:
		return &spec->u.host.name;
	case KB_KIND_PLANNED_STOP:
		break;
	}
	return &spec->u.planned_stop.name;
}

static kb_result_t parse_kind(const kb_fields_t *fields, kb_spec_t *spec)
{
	switch (spec->kind) {
	case KB_KIND_GROUP:
		return parse_group(fields, &spec->u.group);
	case KB_KIND_READ_KIND:
		return parse_read_kind(fields, &spec->u.read_kind);
	case KB_KIND_TRAFFIC_CLASS:
		return parse_traffic_class(fields, &spec->u.traffic_class);
	case KB_KIND_HOST:
		return parse_host(fields, &spec->u.host);
	case KB_KIND_PLANNED_STOP:
		break;
	}
	return parse_planned_stop(fields, &spec->u.planned_stop);
}

kb_result_t kb_spec_parse(kb_spec_t *spec, kb_kind_t kind, kb_str_t name,
			  const json_t *json, kb_fault_t *fault)
{
	kb_fields_t fields;
	kb_result_t result;

	memset(spec, 0, sizeof(*spec));
	spec->kind = kind;
	result = kb_fields_init(&fields, json, "spec", fault);
	if (result != KB_OK)
		return result;
	result = kb_name_set(name_of(spec), name);
	if (result != KB_OK)
		return result;
	return parse_kind(&fields, spec);
}

/* Returns how many targets of `a` are not in `b` at the same endpoint. */
static size_t count_missing(const kb_group_spec_t *a, const kb_group_spec_t *b)
{
	size_t missing = 0;

	for (size_t i = 0; i < a->target_count; i++) {
		const kb_target_spec_t *target = &a->targets[i];
		size_t at = kb_group_find_target(b, kb_name_str(&target->name));

		if (at == b->target_count ||
		    !same_endpoint(target, &b->targets[at]))
			missing++;
	}
	return missing;
}

kb_result_t kb_spec_check_change(const kb_spec_t *before,
				 const kb_spec_t *after, kb_fault_t *fault)
{
	const kb_group_spec_t *a = &before->u.group, *b = &after->u.group;

	if (before->kind != KB_KIND_GROUP ||
	    count_missing(a, b) + count_missing(b, a) <= 1)
		return KB_OK;
	snprintf(fault->path, sizeof(fault->path), "spec.targets");
	snprintf(fault->message, sizeof(fault->message),
		 "may gain or lose one target at a time");
	return KB_ERR_INVALID;
}

static json_t *target_to_json(const kb_target_spec_t *target)
{
	return json_pack(
		"{s:s,s:s,s:i,s:s,s:s,s:i,s:i,s:s}", "name", target->name.data,
		"address", target->address.data, "port", (int)target->port,
		"dataCentre", target->data_centre.data, "region",
		target->region.data, "slots", (int)target->slots, "connections",
		(int)target->connections, "state", state_names[target->state]);
}

static json_t *group_to_json(const kb_group_spec_t *group)
{
	json_t *targets = json_array();

	for (size_t i = 0; i < group->target_count; i++)
		if (json_array_append_new(targets,
					  target_to_json(&group->targets[i])))
			goto fail;
	return json_pack("{s:s,s:o}", "database", group->database.data,
			 "targets", targets);
fail:
	json_decref(targets);
	return NULL;
}

static json_t *read_kind_to_json(const kb_read_kind_t *read_kind)
{
	char max_age[KB_DURATION_TEXT_BYTES];

	kb_duration_format(read_kind->max_age, max_age);
	return json_pack("{s:s,s:s}", "maxAge", max_age, "class",
			 read_kind->traffic_class.data);
}

static json_t *traffic_class_to_json(const kb_traffic_class_t *traffic_class)
{
	char deadline[KB_DURATION_TEXT_BYTES];

	kb_duration_format(traffic_class->deadline, deadline);
	return json_pack("{s:i,s:i,s:s,s:b}", "weight",
			 (int)traffic_class->weight, "queueLimit",
			 (int)traffic_class->queue_limit, "deadline", deadline,
			 "bulk", traffic_class->bulk);
}

static json_t *planned_stop_to_json(const kb_planned_stop_t *stop)
{
	char grace[KB_DURATION_TEXT_BYTES];

	kb_duration_format(stop->grace, grace);
	return json_pack("{s:s,s:s}", "host", stop->host.data, "grace", grace);
}

json_t *kb_spec_to_json(const kb_spec_t *spec)
{
	switch (spec->kind) {
	case KB_KIND_GROUP:
		return group_to_json(&spec->u.group);
	case KB_KIND_READ_KIND:
		return read_kind_to_json(&spec->u.read_kind);
	case KB_KIND_TRAFFIC_CLASS:
		return traffic_class_to_json(&spec->u.traffic_class);
	case KB_KIND_HOST:
		return json_pack("{s:s}", "state",
				 state_names[spec->u.host.state]);
	case KB_KIND_PLANNED_STOP:
		break;
	}
	return planned_stop_to_json(&spec->u.planned_stop);
}
