#ifndef KB_RENDEZVOUS_H
#define KB_RENDEZVOUS_H

#include "str.h"

KB_BEGIN_DECLS

/*
 * Returns the rendezvous hashing score of `node` for `key`. The node with the
 * highest score owns the key; if it leaves, the one with the next highest
 * score takes over.
 */
uint64_t kb_rendezvous_score(kb_str_t node, kb_str_t key);

KB_END_DECLS

#endif
