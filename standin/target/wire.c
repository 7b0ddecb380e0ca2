#include "wire.h"

#include "str.h"

#include <arpa/inet.h>

enum { TYPE_TEXT_OID = 25, NULL_LENGTH = -1, VARIABLE_SIZE = -1 };

static int require_bytes(st_reader_t *reader, size_t len)
{
	if ((size_t)(reader->end - reader->at) >= len)
		return 1;
	reader->bad = 1;
	reader->at = reader->end;
	return 0;
}

uint16_t st_read_u16(st_reader_t *reader)
{
	uint16_t value = 0;

	if (!require_bytes(reader, sizeof(value)))
		return 0;
	memcpy(&value, reader->at, sizeof(value));
	reader->at += sizeof(value);
	return ntohs(value);
}

uint32_t st_read_u32(st_reader_t *reader)
{
	uint32_t value = 0;

	if (!require_bytes(reader, sizeof(value)))
		return 0;
	memcpy(&value, reader->at, sizeof(value));
	reader->at += sizeof(value);
	return ntohl(value);
}

kb_str_t st_read_text(st_reader_t *reader)
{
	size_t left = (size_t)(reader->end - reader->at);
	const uint8_t *nul = left ? memchr(reader->at, 0, left) : NULL;
	kb_str_t text = { (const char *)reader->at, 0 };

	if (!nul) {
		reader->bad = 1;
		return text;
	}
	text.len = (size_t)(nul - reader->at);
	reader->at = nul + 1;
	return text;
}

kb_str_t st_read_bytes(st_reader_t *reader, size_t len)
{
	kb_str_t bytes = { (const char *)reader->at, 0 };

	if (!require_bytes(reader, len))
		return bytes;
	bytes.len = len;
	reader->at += len;
	return bytes;
}

static int put_u8(struct evbuffer *out, uint8_t value)
{
	return evbuffer_add(out, &value, sizeof(value));
}

static int put_u16(struct evbuffer *out, uint16_t value)
{
	value = htons(value);
	return evbuffer_add(out, &value, sizeof(value));
}

static int put_u32(struct evbuffer *out, uint32_t value)
{
	value = htonl(value);
	return evbuffer_add(out, &value, sizeof(value));
}

static int put_text(struct evbuffer *out, const char *text)
{
	return evbuffer_add(out, text, strlen(text) + 1);
}

/* Writes the header of a message whose body has `len` bytes. */
static int put_header(struct evbuffer *out, char type, size_t len)
{
	return put_u8(out, (uint8_t)type) ||
	       put_u32(out, (uint32_t)(len + sizeof(uint32_t)));
}

static int put_parameter(struct evbuffer *out, const char *name,
			 const char *value)
{
	return put_header(out, 'S', strlen(name) + strlen(value) + 2) ||
	       put_text(out, name) || put_text(out, value);
}

int st_wire_start(struct evbuffer *out, uint32_t process)
{
	return put_header(out, 'R', sizeof(uint32_t)) || put_u32(out, 0) ||
	       put_parameter(out, "server_version", "15.0") ||
	       put_parameter(out, "client_encoding", "UTF8") ||
	       put_parameter(out, "standard_conforming_strings", "on") ||
	       put_header(out, 'K', 2 * sizeof(uint32_t)) ||
	       put_u32(out, process) || put_u32(out, 0) ||
	       st_wire_ready(out, 'I');
}

int st_wire_simple(struct evbuffer *out, char type)
{
	return put_header(out, type, 0);
}

int st_wire_ready(struct evbuffer *out, char status)
{
	return put_header(out, 'Z', 1) || put_u8(out, (uint8_t)status);
}

int st_wire_error(struct evbuffer *out, const char *severity,
		  const st_error_t *error)
{
	size_t len = 2 * (strlen(severity) + 2) + strlen(error->sqlstate) + 2 +
		     strlen(error->message) + 2 + 1;

	return put_header(out, 'E', len) || put_u8(out, 'S') ||
	       put_text(out, severity) || put_u8(out, 'V') ||
	       put_text(out, severity) || put_u8(out, 'C') ||
	       put_text(out, error->sqlstate) || put_u8(out, 'M') ||
	       put_text(out, error->message) || put_u8(out, 0);
}

static int put_column(struct evbuffer *out, const char *name)
{
	return put_text(out, name) || put_u32(out, 0) || put_u16(out, 0) ||
	       put_u32(out, TYPE_TEXT_OID) ||
	       put_u16(out, (uint16_t)VARIABLE_SIZE) ||
	       put_u32(out, (uint32_t)VARIABLE_SIZE) || put_u16(out, 0);
}

int st_wire_columns(struct evbuffer *out, const char *const *names,
		    size_t count)
{
	enum { COLUMN_FIXED_BYTES = 18 };
	size_t len = sizeof(uint16_t);
	int failed;

	for (size_t i = 0; i < count; i++)
		len += strlen(names[i]) + 1 + COLUMN_FIXED_BYTES;
	failed = put_header(out, 'T', len) || put_u16(out, (uint16_t)count);
	for (size_t i = 0; i < count; i++)
		failed |= put_column(out, names[i]);
	return failed;
}

int st_wire_params(struct evbuffer *out, size_t count)
{
	int failed = put_header(out, 't',
				sizeof(uint16_t) + count * sizeof(uint32_t)) ||
		     put_u16(out, (uint16_t)count);

	for (size_t i = 0; i < count; i++)
		failed |= put_u32(out, TYPE_TEXT_OID);
	return failed;
}

int st_wire_row(struct evbuffer *out, const st_cell_t *cells, size_t count)
{
	size_t len = sizeof(uint16_t);
	int failed;

	for (size_t i = 0; i < count; i++)
		len += sizeof(uint32_t) + cells[i].len;
	failed = put_header(out, 'D', len) || put_u16(out, (uint16_t)count);
	for (size_t i = 0; i < count; i++) {
		if (!cells[i].data) {
			failed |= put_u32(out, (uint32_t)NULL_LENGTH);
			continue;
		}
		failed |= put_u32(out, (uint32_t)cells[i].len) ||
			  evbuffer_add(out, cells[i].data, cells[i].len);
	}
	return failed;
}

int st_wire_complete(struct evbuffer *out, const char *tag)
{
	return put_header(out, 'C', strlen(tag) + 1) || put_text(out, tag);
}
