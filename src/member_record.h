#ifndef KB_MEMBER_RECORD_H
#define KB_MEMBER_RECORD_H

#include "str.h"

#include <stdbool.h>

KB_BEGIN_DECLS

/*
 * Known state of a host. Between records of one incarnation the higher value
 * takes precedence.
 */
typedef enum kb_member_state {
	KB_MEMBER_ALIVE,
	/* It serves the work it has and accepts no new work. */
	KB_MEMBER_LEAVING,
	/*
	 * A probe has failed; the host is considered dead unless it refutes
	 * this in time.
	 */
	KB_MEMBER_SUSPECT,
	KB_MEMBER_DEAD,
} kb_member_state_t;

enum {
	KB_MEMBER_STATE_COUNT = KB_MEMBER_DEAD + 1,
};

/*
 * State of one host, as sent between hosts. A gossiped record of an instance
 * that is already known leaves `address`, `data_centre` and `region` empty.
 */
typedef struct kb_member_record {
	kb_name_t name;
	/* IP address in text form. */
	kb_name_t address;
	uint16_t port;
	kb_name_t data_centre;
	kb_name_t region;
	/*
	 * Identifies one process run by the host; a later process has a higher
	 * value. 0 means that no message of a process has been received.
	 */
	uint64_t instance;
	/* Increased by the host itself to refute a record about it. */
	uint32_t incarnation;
	kb_member_state_t state;
} kb_member_record_t;

KB_END_DECLS

#endif
