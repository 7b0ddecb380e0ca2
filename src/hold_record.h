#ifndef KB_HOLD_RECORD_H
#define KB_HOLD_RECORD_H

#include "hold.h"

KB_BEGIN_DECLS

/* Returns a record as JSON text, to be freed, or NULL without memory. */
char *kb_hold_record_format(const kb_hold_record_t *record);

/* Parses a record. Returns KB_ERR_PROTOCOL if it is malformed. */
kb_result_t kb_hold_record_parse(kb_hold_record_t *record, kb_str_t text);

KB_END_DECLS

#endif
