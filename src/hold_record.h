#ifndef KB_HOLD_RECORD_H
#define KB_HOLD_RECORD_H

#include "hold.h"

KB_BEGIN_DECLS

/* Returns the text of a record, to be freed, or NULL. */
char *kb_hold_record_format(const kb_hold_record_t *record);

/* Reads the text of a record. Returns KB_ERR_PROTOCOL. */
kb_result_t kb_hold_record_parse(kb_hold_record_t *record, kb_str_t text);

KB_END_DECLS

#endif
