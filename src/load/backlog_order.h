#ifndef KB_BACKLOG_ORDER_H
#define KB_BACKLOG_ORDER_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/* A statement that has waited for its target to come into service. */
typedef struct kb_backlog_entry {
	/* 0 is the highest. */
	int64_t priority;
	kb_time_t objective;
} kb_backlog_entry_t;

/*
 * Compares two statements by the order in which a backlog is taken up: those
 * that can meet their objective at `now` first, by priority and then by the
 * earliest objective. Those that are late come after them, the ones that were
 * promised last first, as their callers are the likeliest to be still there.
 * A statement that is taken up is never displaced by later ones, so that what
 * is accepted is served in its time and the rest is refused at once.
 */
int kb_backlog_order_compare(const kb_backlog_entry_t *a,
			     const kb_backlog_entry_t *b, kb_time_t now);

KB_END_DECLS

#endif
