#include "codec.h"

#include "json_text.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

kb_result_t standin_codec_bytes(standin_bytes_t *bytes, const json_t *object,
				const char *name)
{
	const json_t *field = json_object_get(object, name);
	const char *text = json_string_value(field);
	size_t text_len = json_string_length(field);
	size_t len = 0;

	*bytes = (standin_bytes_t){ { "", 0 }, NULL };
	if (!field)
		return KB_OK;
	if (!text)
		return KB_ERR_INVALID;
	bytes->data = malloc(text_len + 1);
	if (!bytes->data)
		return KB_ERR_NO_MEMORY;
	if (sodium_base642bin((unsigned char *)bytes->data, text_len + 1, text,
			      text_len, NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL)) {
		standin_codec_bytes_finish(bytes);
		return KB_ERR_INVALID;
	}
	bytes->bytes = (kb_str_t){ bytes->data, len };
	return KB_OK;
}

void standin_codec_bytes_finish(standin_bytes_t *bytes)
{
	free(bytes->data);
	*bytes = (standin_bytes_t){ { "", 0 }, NULL };
}

int64_t standin_codec_number(const json_t *object, const char *name)
{
	const json_t *field = json_object_get(object, name);

	if (json_is_string(field))
		return strtoll(json_string_value(field), NULL, 10);
	return json_integer_value(field);
}

json_t *standin_codec_header(int64_t revision)
{
	return json_pack("{s:o}", "revision", kb_json_text_int64(revision));
}

json_t *standin_codec_version(const standin_version_t *version)
{
	kb_str_t key = { version->key->data, version->key->len };
	kb_str_t value = { version->value, version->value_len };
	json_t *json = json_pack("{s:o,s:o}", "key", kb_json_text_base64(key),
				 "mod_revision",
				 kb_json_text_int64(version->mod_revision));

	if (!json || version->deleted)
		return json;
	json_object_set_new(json, "create_revision",
			    kb_json_text_int64(version->create_revision));
	json_object_set_new(json, "version",
			    kb_json_text_int64(version->version));
	json_object_set_new(json, "value", kb_json_text_base64(value));
	if (version->lease)
		json_object_set_new(json, "lease",
				    kb_json_text_int64(version->lease));
	return json;
}
