#ifndef KB_RENDEZVOUS_H
#define KB_RENDEZVOUS_H

#include "str.h"

KB_BEGIN_DECLS

/*
 * Returns the rendezvous score of `node` for `key`: the node with the highest
 * score owns the key, the next highest takes over if it goes.
 */
uint64_t kb_rendezvous_score(kb_str_t node, kb_str_t key);

KB_END_DECLS

#endif
