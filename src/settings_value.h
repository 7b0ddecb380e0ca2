#ifndef KB_SETTINGS_VALUE_H
#define KB_SETTINGS_VALUE_H

#include "settings.h"

KB_BEGIN_DECLS

/*
 * Sets the key `name` of `section` from its text. Returns NULL, or a message
 * that describes the error.
 */
const char *kb_settings_value_set(kb_settings_t *settings, const char *section,
				  const char *name, const char *value);

/* Calls `fn` with section, name and kind of value of each known key. */
void kb_settings_value_each(void (*fn)(void *ctx, const char *section,
				       const char *name, const char *form),
			    void *ctx);

KB_END_DECLS

#endif
