#include "text.h"

#include <stdlib.h>

kb_result_t kb_text_copy(kbs_text *text, kb_str_t s)
{
	char *data = malloc(s.len + 1);

	if (data)
		memcpy(data, s.data, s.len);
	kb_text_free(text);
	if (!data)
		return KB_ERR_NO_MEMORY;
	data[s.len] = 0;
	text->kbs_text_val = data;
	text->kbs_text_len = (u_int)s.len;
	return KB_OK;
}

void kb_text_free(kbs_text *text)
{
	free(text->kbs_text_val);
	text->kbs_text_val = NULL;
	text->kbs_text_len = 0;
}
