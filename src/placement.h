#ifndef KB_PLACEMENT_H
#define KB_PLACEMENT_H

#include "member.h"

KB_BEGIN_DECLS

/* How near a host is to a target. */
typedef enum kb_locality {
	KB_LOCALITY_ANY,
	KB_LOCALITY_REGION,
	KB_LOCALITY_DATA_CENTRE,
} kb_locality_t;

/* Rank of a host for a duty; the highest one takes it. */
typedef struct kb_placement {
	/* Index of the host, or KB_MEMBER_NONE for the lowest rank. */
	uint32_t host;
	kb_locality_t nearness;
	uint64_t score;
} kb_placement_t;

#define KB_PLACEMENT_NONE \
	((kb_placement_t){ KB_MEMBER_NONE, KB_LOCALITY_ANY, 0 })

/* Returns the nearness of `member` to the place given. */
kb_locality_t kb_placement_locality(const kb_member_t *member,
				    kb_str_t data_centre, kb_str_t region);

/* Whether `a` ranks above `b`. */
bool kb_placement_outranks(const kb_member_table_t *table,
			   const kb_placement_t *a, const kb_placement_t *b);

KB_END_DECLS

#endif
