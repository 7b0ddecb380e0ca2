#include "json_text.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

enum { NUMBER_TEXT_BYTES = 24 };

json_t *kb_json_text_base64(kb_str_t bytes)
{
	size_t size = sodium_base64_encoded_len(bytes.len,
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);
	json_t *json;

	if (!text)
		return NULL;
	sodium_bin2base64(text, size, (const unsigned char *)bytes.data,
			  bytes.len, sodium_base64_VARIANT_ORIGINAL);
	json = json_string(text);
	free(text);
	return json;
}

json_t *kb_json_text_int64(int64_t value)
{
	char text[NUMBER_TEXT_BYTES];

	snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}
