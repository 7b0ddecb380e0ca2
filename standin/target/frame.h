#ifndef ST_FRAME_H
#define ST_FRAME_H

#include "entry_log.h"

#include <event2/buffer.h>
#include <jansson.h>

/*
 * Messages between targets: a length of four bytes in network byte order,
 * then JSON.
 */

/*
 * Sends `message` and releases the reference. Returns KB_ERR_NO_MEMORY also if
 * `message` is NULL.
 */
kb_result_t st_frame_send(struct evbuffer *out, json_t *message);

/*
 * Reads one message. Returns KB_OK and sets `*message` to a new reference, or
 * to NULL if no message is complete; KB_ERR_PROTOCOL if the input is malformed.
 */
kb_result_t st_frame_read(struct evbuffer *in, json_t **message);

/* Returns the hello message: the terms, their starts and the last position. */
json_t *st_frame_hello(const st_log_t *log, uint64_t term);

/* Returns the message for the entry at `position`; NULL if memory is short. */
json_t *st_frame_entry(const st_entry_t *entry, uint64_t position);

/* Parses an entry; NULL if the message is malformed or memory is short. */
st_entry_t *st_frame_read_entry(const json_t *message, uint64_t *position);

/* Returns a non-negative number of `message`; 0 if it is missing. */
uint64_t st_frame_number(const json_t *message, const char *name);

#endif
