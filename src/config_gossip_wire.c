#include "config_gossip_wire.h"

#include "gen/kumquat_member.h"

#include <stdlib.h>

enum {
	XDR_UNIT_BYTES = 4,
	/* All fields except the names, the changes and the lagging hosts. */
	MESSAGE_FIXED_BYTES = 64,
	/* Revision, deleted, and the lengths of kind, name and value. */
	CHANGE_FIXED_BYTES = 24,
	LAG_MAX_BYTES = 76,
};

_Static_assert(KBX_SPREAD_CHANGES_MAX == KB_CONFIG_GOSSIP_CHANGES_MAX,
	       "changes");
_Static_assert(KBX_SPREAD_HOSTS_MAX == KB_CONFIG_GOSSIP_LAGGING_MAX, "hosts");
_Static_assert(KBX_SPREAD_VALUE_MAX == KB_CONFIG_VALUE_MAX_BYTES, "values");
_Static_assert(KBX_MEMBER_NAME_MAX == KB_NAME_MAX_BYTES, "names");

void kb_config_gossip_message_init(kb_config_gossip_message_t *message,
				   kb_config_gossip_message_type_t type)
{
	memset(message, 0, offsetof(kb_config_gossip_message_t, lagging));
	message->storage = NULL;
	message->type = type;
}

void kb_config_gossip_message_finish(kb_config_gossip_message_t *message)
{
	free(message->storage);
	message->storage = NULL;
}

static size_t padded(size_t len)
{
	return (len + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES * XDR_UNIT_BYTES;
}

size_t kb_config_gossip_wire_change_size(const kb_config_change_t *change)
{
	return CHANGE_FIXED_BYTES + padded(change->kind.len) +
	       padded(change->name.len) + padded(change->value.len);
}

static size_t max_size(const kb_config_gossip_message_t *message)
{
	size_t size = MESSAGE_FIXED_BYTES + XDR_UNIT_BYTES +
		      padded(message->from.len) +
		      message->lagging_count * LAG_MAX_BYTES;

	for (size_t i = 0; i < message->change_count; i++)
		size += kb_config_gossip_wire_change_size(&message->changes[i]);
	return size;
}

/* Points the counted field of an XDR structure at the bytes of a string. */
#define BORROW(field, s)                 \
	((field##_len) = (u_int)(s).len, \
	 (field##_val) = (char *)(uintptr_t)(s).data)

static void change_to_wire(kbx_spread_change *wire,
			   const kb_config_change_t *change)
{
	BORROW(wire->kind.kind, change->kind);
	BORROW(wire->name.name, change->name);
	BORROW(wire->value.value, change->value);
	wire->revision = change->revision;
	wire->deleted = change->deleted;
}

static void message_to_wire(kbx_spread_message *wire,
			    const kb_config_gossip_message_t *message)
{
	for (size_t i = 0; i < message->change_count; i++)
		change_to_wire(&wire->changes.changes_val[i],
			       &message->changes[i]);
	for (size_t i = 0; i < message->lagging_count; i++) {
		kbx_spread_lag *lag = &wire->lagging.lagging_val[i];

		BORROW(lag->host.host, message->lagging[i].host);
		lag->revision = message->lagging[i].revision;
	}
	wire->changes.changes_len = (u_int)message->change_count;
	wire->lagging.lagging_len = (u_int)message->lagging_count;
	wire->protocol = KBX_SPREAD_PROTOCOL;
	wire->type = message->type;
	BORROW(wire->from.from, message->from);
	wire->revision = message->revision;
	wire->after = message->after;
	wire->digest = message->digest;
	wire->floor = message->floor;
	wire->whole = message->full;
	wire->more = message->more;
	wire->hosts = message->hosts;
	wire->in_force = message->in_force;
}

kb_result_t
kb_config_gossip_wire_encode(const kb_config_gossip_message_t *message,
			     char **bytes, size_t *len)
{
	kbx_spread_lag lagging[KB_CONFIG_GOSSIP_LAGGING_MAX];
	kbx_spread_message wire = { .lagging.lagging_val = lagging };
	kb_result_t result = KB_ERR_NO_MEMORY;
	size_t size = max_size(message);
	XDR xdr;

	*bytes = NULL;
	if (message->change_count > KB_CONFIG_GOSSIP_CHANGES_MAX ||
	    message->lagging_count > KB_CONFIG_GOSSIP_LAGGING_MAX ||
	    size > KB_CONFIG_GOSSIP_MESSAGE_MAX_BYTES)
		return KB_ERR_TOO_LARGE;
	wire.changes.changes_val = calloc(message->change_count + 1,
					  sizeof(*wire.changes.changes_val));
	*bytes = malloc(size);
	if (!wire.changes.changes_val || !*bytes)
		goto cleanup;
	message_to_wire(&wire, message);
	xdrmem_create(&xdr, *bytes, (u_int)size, XDR_ENCODE);
	result = xdr_kbx_spread_message(&xdr, &wire) ? KB_OK : KB_ERR_TOO_LARGE;
	*len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
cleanup:
	free(wire.changes.changes_val);
	if (result) {
		free(*bytes);
		*bytes = NULL;
	}
	return result;
}

static kb_str_t str_of(const char *data, u_int len)
{
	return (kb_str_t){ data, len };
}

static bool is_name(kb_str_t s)
{
	return s.len && !memchr(s.data, '\0', s.len);
}

/* Copies the strings of `wire` to `end`. Returns the new end, or NULL if the
 * change is invalid. */
static char *change_from_wire(kb_config_change_t *change,
			      const kbx_spread_change *wire, char *end)
{
	kb_str_t parts[] = {
		str_of(wire->kind.kind_val, wire->kind.kind_len),
		str_of(wire->name.name_val, wire->name.name_len),
		str_of(wire->value.value_val, wire->value.value_len),
	};

	if (!is_name(parts[0]) || !is_name(parts[1]) || !wire->revision)
		return NULL;
	for (size_t i = 0; i < sizeof(parts) / sizeof(*parts); i++) {
		if (parts[i].len)
			memcpy(end, parts[i].data, parts[i].len);
		parts[i].data = end;
		end += parts[i].len;
	}
	change->kind = parts[0];
	change->name = parts[1];
	change->value = parts[2];
	change->revision = wire->revision;
	change->deleted = wire->deleted;
	return end;
}

static kb_result_t changes_from_wire(kb_config_gossip_message_t *message,
				     const kbx_spread_message *wire)
{
	size_t count = wire->changes.changes_len;
	size_t bytes = count * sizeof(kb_config_change_t);
	kb_config_change_t *changes;
	char *end;

	for (size_t i = 0; i < count; i++) {
		const kbx_spread_change *change = &wire->changes.changes_val[i];

		bytes += (size_t)change->kind.kind_len + change->name.name_len +
			 change->value.value_len;
	}
	if (!count)
		return KB_OK;
	changes = malloc(bytes);
	if (!changes)
		return KB_ERR_NO_MEMORY;
	end = (char *)(changes + count);
	for (size_t i = 0; i < count && end; i++)
		end = change_from_wire(&changes[i],
				       &wire->changes.changes_val[i], end);
	if (!end) {
		free(changes);
		return KB_ERR_PROTOCOL;
	}
	message->changes = changes;
	message->change_count = count;
	message->storage = changes;
	return KB_OK;
}

static kb_result_t message_from_wire(kb_config_gossip_message_t *message,
				     const kbx_spread_message *wire)
{
	if (wire->type < KB_CONFIG_GOSSIP_PUSH ||
	    wire->type > KB_CONFIG_GOSSIP_STATUS || !wire->from.from_len ||
	    kb_name_set(&message->from,
			str_of(wire->from.from_val, wire->from.from_len)))
		return KB_ERR_PROTOCOL;
	message->type = (kb_config_gossip_message_type_t)wire->type;
	message->revision = wire->revision;
	message->after = wire->after;
	message->digest = wire->digest;
	message->floor = wire->floor;
	message->full = wire->whole;
	message->more = wire->more;
	message->hosts = wire->hosts;
	message->in_force = wire->in_force;
	message->lagging_count = wire->lagging.lagging_len;
	for (size_t i = 0; i < message->lagging_count; i++) {
		const kbx_spread_lag *lag = &wire->lagging.lagging_val[i];

		if (kb_name_set(&message->lagging[i].host,
				str_of(lag->host.host_val, lag->host.host_len)))
			return KB_ERR_PROTOCOL;
		message->lagging[i].revision = lag->revision;
	}
	return changes_from_wire(message, wire);
}

kb_result_t kb_config_gossip_wire_decode(kb_config_gossip_message_t *message,
					 const void *buffer, size_t len)
{
	kbx_spread_message wire = { 0 };
	kb_result_t result = KB_ERR_PROTOCOL;
	u_int protocol;
	XDR xdr;

	kb_config_gossip_message_init(message, KB_CONFIG_GOSSIP_PUSH);
	if (len > KB_CONFIG_GOSSIP_MESSAGE_MAX_BYTES)
		return KB_ERR_PROTOCOL;
	xdrmem_create(&xdr, (char *)(uintptr_t)buffer, (u_int)len, XDR_DECODE);
	if (!xdr_u_int(&xdr, &protocol))
		goto cleanup;
	if (protocol != KBX_SPREAD_PROTOCOL) {
		result = KB_ERR_VERSION;
		goto cleanup;
	}
	xdr_setpos(&xdr, 0);
	if (!xdr_kbx_spread_message(&xdr, &wire))
		goto cleanup;
	if (xdr_getpos(&xdr) == len)
		result = message_from_wire(message, &wire);
cleanup:
	xdr_free((xdrproc_t)xdr_kbx_spread_message, &wire);
	xdr_destroy(&xdr);
	return result;
}
