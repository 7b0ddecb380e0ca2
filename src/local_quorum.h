#ifndef KB_LOCAL_QUORUM_H
#define KB_LOCAL_QUORUM_H

#include "watch.h"

KB_BEGIN_DECLS

/*
 * Returns non-zero if requests can be confirmed without `target`: the primary
 * and prompt replicas at less than half its round trip make a majority.
 */
int kb_local_quorum_excludes(const kb_watch_t *watch, kb_time_t now,
			     const kb_watch_target_t *target);

KB_END_DECLS

#endif
