#include "member_wire.h"

#include "gen/kumquat_member.h"

enum {
	XDR_UNIT_BYTES = 4,
	/* Protocol, type, sequence, lengths of the two arrays, and `more`. */
	MESSAGE_FIXED_BYTES = 28,
	/* Port, instance, incarnation and state. */
	RECORD_FIXED_BYTES = 20,
};

_Static_assert(KBX_MEMBER_NAME_MAX == KB_NAME_MAX_BYTES, "name bound");
_Static_assert(KBX_MEMBER_RECORDS_MAX == KB_MEMBER_RECORDS_MAX, "records");
_Static_assert(KBX_MEMBER_BUCKETS_MAX == KB_MEMBER_BUCKET_COUNT, "buckets");

void kb_member_message_init(kb_member_message_t *message)
{
	memset(message, 0, offsetof(kb_member_message_t, records));
}

static size_t name_size(const kb_name_t *name)
{
	size_t padded = (name->len + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES;

	return XDR_UNIT_BYTES + padded * XDR_UNIT_BYTES;
}

size_t kb_member_wire_record_size(const kb_member_record_t *record)
{
	return RECORD_FIXED_BYTES + name_size(&record->name) +
	       name_size(&record->address) + name_size(&record->data_centre) +
	       name_size(&record->region);
}

size_t kb_member_wire_size(const kb_member_message_t *message)
{
	size_t size = MESSAGE_FIXED_BYTES + name_size(&message->to) +
		      name_size(&message->subject) +
		      kb_member_wire_record_size(&message->from) +
		      message->bucket_count * XDR_UNIT_BYTES;

	for (size_t i = 0; i < message->record_count; i++)
		size += kb_member_wire_record_size(&message->records[i]);
	return size;
}

/* Points an XDR string at the bytes of `name`, without a copy. */
#define SET_XDR_NAME(field, name)     \
	((field##_len) = (name)->len, \
	 (field##_val) = (char *)(uintptr_t)(name)->data)

static void record_to_wire(kbx_member_record *wire,
			   const kb_member_record_t *record)
{
	SET_XDR_NAME(wire->name.name, &record->name);
	SET_XDR_NAME(wire->address.address, &record->address);
	SET_XDR_NAME(wire->data_centre.data_centre, &record->data_centre);
	SET_XDR_NAME(wire->region.region, &record->region);
	wire->port = record->port;
	wire->instance = record->instance;
	wire->incarnation = record->incarnation;
	wire->state = record->state;
}

kb_result_t kb_member_wire_encode(const kb_member_message_t *message,
				  void *buffer, size_t size, size_t *len)
{
	kbx_member_record records[KB_MEMBER_RECORDS_MAX];
	kbx_member_message wire = { .protocol = KBX_MEMBER_PROTOCOL };
	kb_result_t result = KB_OK;
	XDR xdr;

	if (message->record_count > KB_MEMBER_RECORDS_MAX ||
	    message->bucket_count > KB_MEMBER_BUCKET_COUNT || size > UINT32_MAX)
		return KB_ERR_TOO_LARGE;
	wire.type = message->type;
	wire.sequence = message->sequence;
	SET_XDR_NAME(wire.to.to, &message->to);
	record_to_wire(&wire.from, &message->from);
	SET_XDR_NAME(wire.subject.subject, &message->subject);
	for (size_t i = 0; i < message->record_count; i++)
		record_to_wire(&records[i], &message->records[i]);
	wire.records.records_len = (u_int)message->record_count;
	wire.records.records_val = records;
	wire.buckets.buckets_len = (u_int)message->bucket_count;
	wire.buckets.buckets_val = (u_int *)(uintptr_t)message->buckets;
	wire.more = message->more;
	xdrmem_create(&xdr, buffer, (u_int)size, XDR_ENCODE);
	if (xdr_kbx_member_message(&xdr, &wire))
		*len = xdr_getpos(&xdr);
	else
		result = KB_ERR_TOO_LARGE;
	xdr_destroy(&xdr);
	return result;
}

static kb_result_t name_from_wire(kb_name_t *name, const char *data, u_int len)
{
	kb_str_t s = { data, len };

	if (kb_name_set(name, s))
		return KB_ERR_PROTOCOL;
	return KB_OK;
}

static kb_result_t record_from_wire(kb_member_record_t *record,
				    const kbx_member_record *wire)
{
	if (name_from_wire(&record->name, wire->name.name_val,
			   wire->name.name_len) ||
	    name_from_wire(&record->address, wire->address.address_val,
			   wire->address.address_len) ||
	    name_from_wire(&record->data_centre,
			   wire->data_centre.data_centre_val,
			   wire->data_centre.data_centre_len) ||
	    name_from_wire(&record->region, wire->region.region_val,
			   wire->region.region_len))
		return KB_ERR_PROTOCOL;
	if (!record->name.len || wire->port > UINT16_MAX ||
	    wire->state >= KB_MEMBER_STATE_COUNT)
		return KB_ERR_PROTOCOL;
	record->port = (uint16_t)wire->port;
	record->instance = wire->instance;
	record->incarnation = wire->incarnation;
	record->state = (kb_member_state_t)wire->state;
	return KB_OK;
}

static kb_result_t message_from_wire(kb_member_message_t *message,
				     const kbx_member_message *wire)
{
	u_int buckets = wire->buckets.buckets_len;

	if (wire->type < KB_MEMBER_PROBE || wire->type > KB_MEMBER_SYNC_REPLY)
		return KB_ERR_PROTOCOL;
	if (buckets != 0 && buckets != KB_MEMBER_BUCKET_COUNT)
		return KB_ERR_PROTOCOL;
	if (name_from_wire(&message->to, wire->to.to_val, wire->to.to_len) ||
	    name_from_wire(&message->subject, wire->subject.subject_val,
			   wire->subject.subject_len) ||
	    record_from_wire(&message->from, &wire->from))
		return KB_ERR_PROTOCOL;
	message->type = (kb_member_message_type_t)wire->type;
	message->sequence = wire->sequence;
	message->more = wire->more;
	message->record_count = wire->records.records_len;
	for (size_t i = 0; i < message->record_count; i++)
		if (record_from_wire(&message->records[i],
				     &wire->records.records_val[i]))
			return KB_ERR_PROTOCOL;
	message->bucket_count = buckets;
	if (buckets)
		memcpy(message->buckets, wire->buckets.buckets_val,
		       buckets * sizeof(*message->buckets));
	return KB_OK;
}

kb_result_t kb_member_wire_decode(kb_member_message_t *message,
				  const void *buffer, size_t len)
{
	kbx_member_message wire = { 0 };
	kb_result_t result = KB_ERR_PROTOCOL;
	u_int protocol;
	XDR xdr;

	kb_member_message_init(message);
	if (len > KB_MEMBER_MESSAGE_MAX_BYTES)
		return KB_ERR_PROTOCOL;
	xdrmem_create(&xdr, (char *)(uintptr_t)buffer, (u_int)len, XDR_DECODE);
	if (!xdr_u_int(&xdr, &protocol))
		goto cleanup;
	if (protocol != KBX_MEMBER_PROTOCOL) {
		result = KB_ERR_VERSION;
		goto cleanup;
	}
	xdr_setpos(&xdr, 0);
	if (!xdr_kbx_member_message(&xdr, &wire))
		goto cleanup;
	if (xdr_getpos(&xdr) == len)
		result = message_from_wire(message, &wire);
cleanup:
	xdr_free((xdrproc_t)xdr_kbx_member_message, &wire);
	xdr_destroy(&xdr);
	return result;
}
