#ifndef ST_WIRE_H
#define ST_WIRE_H

#include "engine.h"

#include <event2/buffer.h>

/* Reads the fields of a message; a read past its end sets `bad`. */
typedef struct st_reader {
	const uint8_t *at;
	const uint8_t *end;
	int bad;
} st_reader_t;

uint16_t st_read_u16(st_reader_t *reader);
uint32_t st_read_u32(st_reader_t *reader);
/* Reads a NUL-terminated string. */
kb_str_t st_read_text(st_reader_t *reader);
/* Reads `len` bytes. */
kb_str_t st_read_bytes(st_reader_t *reader, size_t len);

/* A cell of a row; `data` is NULL for SQL null. */
typedef kb_str_t st_cell_t;

/*
 * Each appends a message of the PostgreSQL wire protocol, version 3, to `out`.
 * Returns 0, or non-zero if memory is short.
 */
int st_wire_start(struct evbuffer *out, uint32_t process);
int st_wire_simple(struct evbuffer *out, char type);
int st_wire_ready(struct evbuffer *out, char status);
int st_wire_error(struct evbuffer *out, const char *severity,
		  const st_error_t *error);
int st_wire_columns(struct evbuffer *out, const char *const *names,
		    size_t count);
int st_wire_params(struct evbuffer *out, size_t count);
int st_wire_row(struct evbuffer *out, const st_cell_t *cells, size_t count);
int st_wire_complete(struct evbuffer *out, const char *tag);

#endif
