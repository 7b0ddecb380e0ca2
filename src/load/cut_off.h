#ifndef KB_CUT_OFF_H
#define KB_CUT_OFF_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	/*
	 * A group that was served within this time may just have lost one
	 * answer.
	 */
	KB_CUT_OFF_UNSERVED_MIN_MS = 700,
	/* From then on the hosts that decide are asked whether they answer. */
	KB_CUT_OFF_DOUBT_MS = 350,
};

/*
 * What a host knows about the hosts that decide who serves a group: the voters
 * of the holder that served last.
 */
typedef struct kb_cut_off_view {
	/* Time since the group is last known to have been served. */
	kb_time_t unserved;
	unsigned voters;
	/* Voters that neither answer nor refuse connections. */
	unsigned silent;
} kb_cut_off_view_t;

/*
 * Whether the group is served, if at all, behind a cut that this host is on the
 * wrong side of. A holder that fails is replaced within the time for which
 * statements wait, as the majority of its voters tells when its lease has
 * ended. If the majority is silent, no replacement can be seen from here before
 * the cut ends, while the holder may serve on the other side: a statement
 * should be refused at once, so that its caller tries another host.
 */
int kb_cut_off_decide(const kb_cut_off_view_t *view);

/*
 * Whether a statement should wait for news of the holder in place of being sent
 * to it: a message to a host that is silent may only make the outcome of a
 * write unknown, and holds the statement back when another host takes over.
 */
int kb_cut_off_should_hold(int holder_is_silent, kb_time_t unserved);

KB_END_DECLS

#endif
