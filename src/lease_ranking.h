#ifndef KB_LEASE_RANKING_H
#define KB_LEASE_RANKING_H

#include "str.h"

KB_BEGIN_DECLS

enum {
	/* Hosts of a ranking; those after them do not take over. */
	KB_LEASE_HOSTS_MAX = 24,
};

/*
 * Live hosts in order of preference: the current voters, as they can take over
 * fastest, then others that are suitable as a holder or voter.
 */
typedef struct kb_lease_ranking {
	size_t count;
	kb_name_t hosts[KB_LEASE_HOSTS_MAX];
} kb_lease_ranking_t;

KB_END_DECLS

#endif
