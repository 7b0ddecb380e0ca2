#ifndef KB_CLASS_DEFAULTS_H
#define KB_CLASS_DEFAULTS_H

#include "group.h"

KB_BEGIN_DECLS

/*
 * Built-in traffic classes and read kinds. A resource of the same name that
 * the operators declare replaces a built-in one.
 *
 * critical     writes that must take effect exactly once
 * interactive  other writes, and reads that a person waits for
 * refresh      reads that are repeated to poll for changes
 * browse       reads that tolerate data a few seconds old
 * bulk         large reads with a lower priority than all others
 */

/* Traffic class of a write that does not name one. */
#define KB_CLASS_DEFAULT_WRITE "critical"

/* Returns the default traffic classes and sets `*count`. */
const kb_traffic_class_t *kb_class_defaults(size_t *count);

/* Returns the default read kinds and sets `*count`. */
const kb_read_kind_t *kb_read_kind_defaults(size_t *count);

KB_END_DECLS

#endif
