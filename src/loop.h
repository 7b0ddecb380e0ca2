#ifndef KB_LOOP_H
#define KB_LOOP_H

#include "kumquatbridge.h"

struct event_base;

KB_BEGIN_DECLS

/*
 * Frees a loop whose events were all freed before. A connection that was freed
 * while a deferred callback of it was due keeps its memory and its socket until
 * that callback had its turn, so that the loop gives it one. NULL is allowed.
 */
void kb_loop_free(struct event_base *loop);

KB_END_DECLS

#endif
