#ifndef KB_CLASS_DEFAULTS_H
#define KB_CLASS_DEFAULTS_H

#include "group.h"

KB_BEGIN_DECLS

/*
 * The traffic classes and read kinds that exist unless the operators declare
 * others of the same name.
 *
 * critical     writes that must neither be lost nor doubled
 * interactive  other writes and reads that a person waits for
 * refresh      reads that are repeated to follow changes
 * browse       reads that tolerate some seconds of age
 * bulk         large reads that give way to all others
 */

/* Name of the class of a write that names none. */
#define KB_CLASS_DEFAULT_WRITE "critical"

/* Returns the default traffic classes and sets `*count`. */
const kb_traffic_class_t *kb_class_defaults(size_t *count);

/* Returns the default read kinds and sets `*count`. */
const kb_read_kind_t *kb_read_kind_defaults(size_t *count);

KB_END_DECLS

#endif
