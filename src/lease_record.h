#ifndef KB_LEASE_RECORD_H
#define KB_LEASE_RECORD_H

#include "lease.h"

KB_BEGIN_DECLS

/* Returns the text of a record, to be freed, or NULL. */
char *kb_lease_record_format(const kb_lease_record_t *record);

/* Reads the text of a record. Returns KB_ERR_PROTOCOL. */
kb_result_t kb_lease_record_parse(kb_lease_record_t *record, kb_str_t text);

KB_END_DECLS

#endif
