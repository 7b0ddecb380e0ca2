#ifndef KB_JSON_TEXT_H
#define KB_JSON_TEXT_H

#include "str.h"

#include <jansson.h>

KB_BEGIN_DECLS

/*
 * Return a value as a JSON string in the encoding of the store's gateway, or
 * NULL if out of memory.
 */
json_t *kb_json_text_base64(kb_str_t bytes);
json_t *kb_json_text_int64(int64_t value);

KB_END_DECLS

#endif
