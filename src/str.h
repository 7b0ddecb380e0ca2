#ifndef KB_STR_H
#define KB_STR_H

#include "kumquatbridge.h"

#include <string.h>

KB_BEGIN_DECLS

#define KB_NAME_MAX_BYTES 63

/* A short length-counted string stored inline; `data` also ends in NUL. */
typedef struct kb_name {
	uint8_t len;
	char data[KB_NAME_MAX_BYTES + 1];
} kb_name_t;

/* A string literal as a kb_str_t. */
#define KB_STR(literal) ((kb_str_t){ (literal), sizeof(literal) - 1 })

/* printf arguments for "%.*s". */
#define KB_STR_ARG(s) (int)(s).len, (s).data

static inline kb_str_t kb_str_from(const char *text)
{
	kb_str_t s = { text, text ? strlen(text) : 0 };

	return s;
}

static inline kb_str_t kb_name_str(const kb_name_t *name)
{
	kb_str_t s = { name->data, name->len };

	return s;
}

/* Returns non-zero if both strings hold the same bytes. */
int kb_str_equal(kb_str_t a, kb_str_t b);

/* Returns non-zero if `s` begins with `prefix` and is longer than it. */
int kb_str_extends(kb_str_t s, kb_str_t prefix);

/* Compares bytes as memcmp() does; a prefix is less than a longer string. */
int kb_str_compare(kb_str_t a, kb_str_t b);

/*
 * Copies `s` into `name`. Returns KB_ERR_INVALID, leaving `name` empty, if
 * `s` is longer than KB_NAME_MAX_BYTES or holds a NUL byte.
 */
kb_result_t kb_name_set(kb_name_t *name, kb_str_t s);

/* Returns non-zero if `name` and `s` hold the same bytes. */
int kb_name_is(const kb_name_t *name, kb_str_t s);

/* Parses a decimal number without sign. Returns KB_ERR_INVALID if `s` is
 * empty, holds another character or exceeds 64 bits. */
kb_result_t kb_str_to_u64(kb_str_t s, uint64_t *value);

KB_END_DECLS

#endif
