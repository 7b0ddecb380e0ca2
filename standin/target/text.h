#ifndef ST_TEXT_H
#define ST_TEXT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/* A string with a length that owns its bytes; `data` ends in NUL. */
typedef struct st_text {
	char *data;
	size_t len;
} st_text_t;

/* Returns a view of `text`, which keeps ownership. */
kb_str_t st_text_str(const st_text_t *text);

/* Copies `s` into `text`. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_text_init(st_text_t *text, kb_str_t s);

/* Frees the bytes and sets `text` to empty. */
void st_text_finish(st_text_t *text);

KB_END_DECLS

#endif
