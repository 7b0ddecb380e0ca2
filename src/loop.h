#ifndef KB_LOOP_H
#define KB_LOOP_H

#include "kumquatbridge.h"

struct event_base;

KB_BEGIN_DECLS

/*
 * Frees an event loop; all its events must have been freed before. libevent
 * keeps the memory and socket of a connection that was freed with a deferred
 * callback pending until that callback has run, so the loop runs once more
 * before it is freed. NULL is allowed.
 */
void kb_loop_free(struct event_base *loop);

KB_END_DECLS

#endif
