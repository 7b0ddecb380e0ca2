#include "text.h"

#include <stdlib.h>
#include <string.h>

kb_str_t st_text_str(const st_text_t *text)
{
	kb_str_t s = { text->data, text->len };

	return s;
}

kb_result_t st_text_init(st_text_t *text, kb_str_t s)
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

void st_text_finish(st_text_t *text)
{
	free(text->data);
	text->data = NULL;
	text->len = 0;
}
