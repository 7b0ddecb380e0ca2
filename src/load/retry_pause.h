#ifndef KB_RETRY_PAUSE_H
#define KB_RETRY_PAUSE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	KB_RETRY_PAUSE_MIN_MS = 30,
	KB_RETRY_PAUSE_MAX_MS = 500,
};

/*
 * Returns the pause before a statement is tried again that waits for a holder
 * or a replica, `waited` after it began. It grows with the time that the
 * statement has waited, by which it is delayed by at most a quarter when it can
 * be served; so the number of attempts grows with the logarithm of that time.
 */
kb_time_t kb_retry_pause(kb_time_t waited);

KB_END_DECLS

#endif
