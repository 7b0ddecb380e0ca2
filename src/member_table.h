#ifndef KB_MEMBER_TABLE_H
#define KB_MEMBER_TABLE_H

#include "member_wire.h"

KB_BEGIN_DECLS

/* Record of one host as known to this host. */
typedef struct kb_member {
	/*
	 * Name, address, data centre and region without separators; NULL marks
	 * an unused entry of the table.
	 */
	char *text;
	uint8_t name_len;
	uint8_t address_len;
	uint8_t data_centre_len;
	uint8_t region_len;
	uint16_t port;
	/* A kb_member_state_t. */
	uint8_t state;
	/* Set if the host's last record of itself said that it is leaving. */
	bool leaving;
	uint64_t instance;
	uint32_t incarnation;
	/* Number of times that this record is still to be gossiped. */
	uint8_t sends_left;
	bool queued;
	/*
	 * Set if the instance is new, so that gossip has to include its
	 * location.
	 */
	bool new_instance;
	/*
	 * Time at which a suspect is considered dead, or a dead host is
	 * removed.
	 */
	kb_time_t deadline;
} kb_member_t;

/* All known hosts. The index of a host stays the same until it is removed. */
typedef struct kb_member_table {
	kb_member_t *members;
	/*
	 * Entries in use have an index below `used`; some of those may be free.
	 */
	uint32_t used;
	uint32_t capacity;
	/*
	 * Hash table by name with open addressing; holds an index plus 1, or 0.
	 */
	uint32_t *slots;
	uint32_t slot_count;
	uint32_t count;
	uint32_t state_count[KB_MEMBER_STATE_COUNT];
	/*
	 * Digest: for each bucket of names, the sum of the hashes of all hosts
	 * that are not dead.
	 */
	uint32_t buckets[KB_MEMBER_BUCKET_COUNT];
} kb_member_table_t;

#define KB_MEMBER_NONE UINT32_MAX

void kb_member_table_init(kb_member_table_t *table);

/* Frees all memory owned by `table`. */
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
 * Replaces the record of host `index` by `record`, which has the same name.
 * Empty location fields leave the location unchanged. Returns KB_ERR_NO_MEMORY,
 * leaving the host unchanged, or KB_OK.
 */
kb_result_t kb_member_table_update(kb_member_table_t *table, uint32_t index,
				   const kb_member_record_t *record);

/* Removes host `index`. */
void kb_member_table_remove(kb_member_table_t *table, uint32_t index);

/* Returns the digest bucket of host `name`. */
uint32_t kb_member_table_bucket(kb_str_t name);

/* Returns the bytes allocated by `table`. */
size_t kb_member_table_bytes(const kb_member_table_t *table);

/* Converts `member` to the record that is sent to other hosts. */
void kb_member_to_record(const kb_member_t *member, kb_member_record_t *record);

/* Clears the location fields of `record`: address, data centre and region. */
void kb_member_clear_location(kb_member_record_t *record);

/*
 * Compares two records of the same host by instance, incarnation and state.
 * Returns a value below, equal to or above 0.
 */
int kb_member_compare_records(const kb_member_t *member,
			      const kb_member_record_t *record);

/*
 * The strings returned by the functions below are valid until the host is
 * updated or removed.
 */
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

/* Returns whether the host is alive, leaving or suspect. */
static inline bool kb_member_is_live(const kb_member_t *member)
{
	return member->text && member->state != KB_MEMBER_DEAD;
}

/* Returns whether the host may be assigned new work. */
static inline bool kb_member_is_eligible(const kb_member_t *member)
{
	return kb_member_is_live(member) && !member->leaving;
}

KB_END_DECLS

#endif
