#ifndef STANDIN_CODEC_H
#define STANDIN_CODEC_H

#include "kv.h"

#include <jansson.h>

/* Bytes decoded from base64; `data` is owned and `bytes` points into it. */
typedef struct standin_bytes {
	kb_str_t bytes;
	char *data;
} standin_bytes_t;

/*
 * Decodes the base64 field `name`; a missing field gives no bytes. Returns
 * KB_OK, KB_ERR_INVALID or KB_ERR_NO_MEMORY.
 */
kb_result_t standin_codec_bytes(standin_bytes_t *bytes, const json_t *object,
				const char *name);
void standin_codec_bytes_finish(standin_bytes_t *bytes);

/* Reads a 64-bit integer, given as a string or a number; 0 if missing. */
int64_t standin_codec_number(const json_t *object, const char *name);

/* Returns {"revision": "N"}. */
json_t *standin_codec_header(int64_t revision);

/* Returns a version of a key as a key-value message. */
json_t *standin_codec_version(const standin_version_t *version);

#endif
