#ifndef KL_STATEMENT_H
#define KL_STATEMENT_H

#include "history.h"
#include "workload.h"

#include <jansson.h>

/* Each returns a new request body; NULL if memory is short. */

json_t *kl_statement_insert(const kl_op_spec_t *spec, const char *table,
			    const char *body);
json_t *kl_statement_part(const kl_op_spec_t *spec, const char *table,
			  const char *id);
json_t *kl_statement_take(const kl_op_spec_t *spec, const char *table,
			  const char *id, const char *body);
/* If `kind` is NULL, the read is current and confirmed like a write. */
json_t *kl_statement_find_body(const kl_read_kind_t *kind, const char *table,
			       const char *body);
json_t *kl_statement_find_id(const char *table, const char *id);
json_t *kl_statement_bulk(const kl_read_kind_t *kind, const char *table);

#endif
