#ifndef KB_MEMBER_TABLE_H
#define KB_MEMBER_TABLE_H

#include "member_wire.h"

KB_BEGIN_DECLS

/* One host as this host knows it. */
typedef struct kb_member {
	/* Name, address, data centre and region, back to back; NULL marks an
	 * unused place of the table. */
	char *text;
	uint8_t name_len;
	uint8_t address_len;
	uint8_t data_centre_len;
	uint8_t region_len;
	uint16_t port;
	/* A kb_member_state_t. */
	uint8_t state;
	/* Set if the last claim of the host itself said that it leaves. */
	bool leaving;
	uint64_t instance;
	uint32_t incarnation;
	/* Times that a rumour of this host is still to be sent. */
	uint8_t sends_left;
	bool queued;
	/* Set if the instance is new, so that rumours have to tell its place.
	 */
	bool fresh;
	/* Time at which a suspect is held dead, or a dead host forgotten. */
	kb_time_t deadline;
} kb_member_t;

/* All hosts known. The index of a host is fixed until it is removed. */
typedef struct kb_member_table {
	kb_member_t *members;
	/* Places in use are below `used`; some of these may be free. */
	uint32_t used;
	uint32_t capacity;
	/* Open addressing by name; holds an index plus 1, or 0. */
	uint32_t *slots;
	uint32_t slot_count;
	uint32_t count;
	uint32_t state_count[KB_MEMBER_STATE_COUNT];
	/* Sum of the hashes of all hosts that are not dead, by name. */
	uint32_t buckets[KB_MEMBER_BUCKET_COUNT];
} kb_member_table_t;

#define KB_MEMBER_NONE UINT32_MAX

void kb_member_table_init(kb_member_table_t *table);

/* Frees all that `table` owns. */
void kb_member_table_finish(kb_member_table_t *table);

/* Returns the index of host `name`, or KB_MEMBER_NONE. */
uint32_t kb_member_table_find(const kb_member_table_t *table, kb_str_t name);

/*
 * Adds the host of `record`, which must not be in the table yet, and sets
 * `*index`. Returns KB_ERR_NO_MEMORY or KB_OK.
 */
kb_result_t kb_member_table_add(kb_member_table_t *table,
				const kb_member_record_t *record,
				uint32_t *index);

/*
 * Replaces what is known of host `index` by `record`, which names the same
 * host. Empty place fields leave those of the host as they are. Returns
 * KB_ERR_NO_MEMORY, leaving the host unchanged, or KB_OK.
 */
kb_result_t kb_member_table_update(kb_member_table_t *table, uint32_t index,
				   const kb_member_record_t *record);

/* Forgets host `index`. */
void kb_member_table_remove(kb_member_table_t *table, uint32_t index);

/* Returns the bucket of host `name`. */
uint32_t kb_member_table_bucket(kb_str_t name);

/* Returns the bytes allocated by `table`. */
size_t kb_member_table_bytes(const kb_member_table_t *table);

/* Fills `record` with the claim that this host holds about `member`. */
void kb_member_to_record(const kb_member_t *member, kb_member_record_t *record);

/* Empties the place fields of `record`. */
void kb_member_clear_location(kb_member_record_t *record);

/*
 * Compares claims about the same host by instance, incarnation and state.
 * Returns a value below, equal to or above 0.
 */
int kb_member_compare_claims(const kb_member_t *member,
			     const kb_member_record_t *record);

/* The strings returned are valid until the host is updated or removed. */
static inline kb_str_t kb_member_name(const kb_member_t *member)
{
	return (kb_str_t){ member->text, member->name_len };
}

static inline kb_str_t kb_member_address(const kb_member_t *member)
{
	return (kb_str_t){ member->text + member->name_len,
			   member->address_len };
}

static inline kb_str_t kb_member_data_centre(const kb_member_t *member)
{
	return (kb_str_t){ member->text + member->name_len +
				   member->address_len,
			   member->data_centre_len };
}

static inline kb_str_t kb_member_region(const kb_member_t *member)
{
	return (kb_str_t){ member->text + member->name_len +
				   member->address_len +
				   member->data_centre_len,
			   member->region_len };
}

/* Whether the host is thought to run: alive, leaving or suspect. */
static inline bool kb_member_is_live(const kb_member_t *member)
{
	return member->text && member->state != KB_MEMBER_DEAD;
}

/* Whether the host may be given new work. */
static inline bool kb_member_is_eligible(const kb_member_t *member)
{
	return kb_member_is_live(member) && !member->leaving;
}

KB_END_DECLS

#endif
