#ifndef KB_LEASE_RECORD_H
#define KB_LEASE_RECORD_H

#include "lease.h"

KB_BEGIN_DECLS

/* Returns a record as JSON text, to be freed, or NULL without memory. */
char *kb_lease_record_format(const kb_lease_record_t *record);

/* Parses a record. Returns KB_ERR_PROTOCOL if it is malformed. */
kb_result_t kb_lease_record_parse(kb_lease_record_t *record, kb_str_t text);

KB_END_DECLS

#endif
