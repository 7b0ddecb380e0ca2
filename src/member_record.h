#ifndef KB_MEMBER_RECORD_H
#define KB_MEMBER_RECORD_H

#include "str.h"

#include <stdbool.h>

KB_BEGIN_DECLS

/* What the fleet believes of a host, in rising order of precedence. */
typedef enum kb_member_state {
	KB_MEMBER_ALIVE,
	/* It serves what it has and takes no new work. */
	KB_MEMBER_LEAVING,
	/* A probe failed; it is dead unless it refutes this in time. */
	KB_MEMBER_SUSPECT,
	KB_MEMBER_DEAD,
} kb_member_state_t;

enum {
	KB_MEMBER_STATE_COUNT = KB_MEMBER_DEAD + 1,
};

/*
 * A claim about one host, as it travels between hosts. A rumour about an
 * instance that is known already leaves `address`, `data_centre` and `region`
 * empty.
 */
typedef struct kb_member_record {
	kb_name_t name;
	/* IP number in text form. */
	kb_name_t address;
	uint16_t port;
	kb_name_t data_centre;
	kb_name_t region;
	/* Identifies one run of the host's process; a later run has a higher
	 * one. 0 means that no run has been heard of. */
	uint64_t instance;
	/* Raised by the host itself to refute a claim about it. */
	uint32_t incarnation;
	kb_member_state_t state;
} kb_member_record_t;

KB_END_DECLS

#endif
