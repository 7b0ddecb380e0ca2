#ifndef KB_START_WAIT_H
#define KB_START_WAIT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	/* Callers wait for the first configuration no longer than this. */
	KB_START_WAIT_SESSIONS_MS = 1000,
	/* Share of a read's time for which it waits for the first watermark. */
	KB_START_WAIT_READ_PERCENT = 75,
	/* A statement waits at its group's next holder no longer than this. */
	KB_START_WAIT_LEASE_MS = 300,
	/* Statements that wait for one group. */
	KB_START_WAIT_LEASE_MAX = 1024,
};

/*
 * Waiting after a start. All callers of a fleet that returns come at once, and
 * a refusal costs each of them an attempt, while what is missing arrives within
 * fractions of a second. What does not arrive is refused before callers give
 * up by themselves.
 */

/*
 * Whether a host that started at `started_at` lets new callers wait, as it does
 * not know yet which databases are configured.
 */
int kb_start_wait_holds_sessions(int is_configured, kb_time_t started_at,
				 kb_time_t now);

/*
 * Whether a read waits, as no watermark of its group has been received since
 * the start (`newest_watermark` is 0), without which no replica can serve it.
 * The primary could, but the reads of all callers would exceed its slots while
 * the replicas are idle. `time` is what the read has in all.
 */
int kb_start_wait_holds_read(kb_time_t newest_watermark, kb_time_t began_at,
			     kb_time_t time, kb_time_t now);

/*
 * Returns the time for which a statement that has `time_left` waits at a host
 * that does not serve its group, or 0. The host that the group's key names is
 * about to serve: after a restart it takes tenths of a second, in which the
 * callers of the whole fleet would repeat their statements many times.
 */
kb_time_t kb_start_wait_for_lease(int is_holder, size_t waiting,
				  kb_time_t time_left);

KB_END_DECLS

#endif
