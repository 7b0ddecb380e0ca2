#ifndef ST_TEXT_H
#define ST_TEXT_H

#include "kumquatbridge.h"

#include <stdlib.h>
#include <string.h>

/* A length-counted string that owns its bytes; `data` also ends in NUL. */
typedef struct st_text {
	char *data;
	size_t len;
} st_text_t;

/* Returns the bytes of `text`, which keeps them. */
static inline kb_str_t st_text_str(const st_text_t *text)
{
	kb_str_t s = { text->data, text->len };

	return s;
}

/* Copies `s` into `text`. Returns KB_OK or KB_ERR_NO_MEMORY. */
static inline kb_result_t st_text_init(st_text_t *text, kb_str_t s)
{
	text->len = 0;
	text->data = malloc(s.len + 1);
	if (!text->data)
		return KB_ERR_NO_MEMORY;
	if (s.len)
		memcpy(text->data, s.data, s.len);
	text->data[s.len] = 0;
	text->len = s.len;
	return KB_OK;
}

static inline void st_text_finish(st_text_t *text)
{
	free(text->data);
	text->data = NULL;
	text->len = 0;
}

#endif
