#ifndef ST_FRAME_H
#define ST_FRAME_H

#include "entry_log.h"

#include <event2/buffer.h>
#include <jansson.h>

/* Messages between targets: a length of four bytes, then JSON. */

/* Sends `message` and drops the reference; NULL counts as short memory. */
kb_result_t st_frame_send(struct evbuffer *out, json_t *message);

/*
 * Takes one message. Returns KB_OK and sets `*message` to a new reference, or
 * to NULL if none is complete; KB_ERR_PROTOCOL if the input is malformed.
 */
kb_result_t st_frame_read(struct evbuffer *in, json_t **message);

/* Describes the log: its terms, starts and last position. */
json_t *st_frame_hello(const st_log_t *log, uint64_t term);

/* The entry at `position`; NULL if memory is short. */
json_t *st_frame_entry(const st_entry_t *entry, uint64_t position);

/* Reads an entry; NULL if the message is malformed or memory is short. */
st_entry_t *st_frame_read_entry(const json_t *message, uint64_t *position);

/* Reads a member that is a number of 0 or above; 0 if it is missing. */
uint64_t st_frame_number(const json_t *message, const char *name);

#endif
