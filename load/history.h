#ifndef KL_HISTORY_H
#define KL_HISTORY_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

#define KL_TEXT_BYTES 96
#define KL_NOTES_MAX 20
#define KL_NOTE_BYTES 200
#define KL_NO_WRITE SIZE_MAX
/* Body of a part that nobody has taken. */
#define KL_PART_FREE "free"

typedef enum kl_write_kind {
	/* Inserts a row whose body nobody else uses. */
	KL_WRITE_INSERT,
	/* Checks that a part is free and takes it. */
	KL_WRITE_TAKE,
} kl_write_kind_t;

/* A write and what its answers said. */
typedef struct kl_write {
	kl_write_kind_t kind;
	/* Table of an insert, as the caller numbers them. */
	unsigned table;
	/* The part that a take is about, and the take of it before. */
	size_t part;
	size_t previous_take;
	unsigned not_run;
	unsigned unknown;
	int acknowledged;
	/* When the first acknowledgement came. */
	kb_time_t acknowledged_at;
	int64_t affected;
} kl_write_t;

/* A part that rivals try to take. */
typedef struct kl_part {
	int created;
	/* The newest take of it, or KL_NO_WRITE. */
	size_t last_take;
} kl_part_t;

/* Promises that were broken, by kind. */
typedef struct kl_violations {
	/* Acknowledged and missing. */
	uint64_t lost;
	/* Landed, or was won, more than once. */
	uint64_t doubled;
	/* Older than its session or its read kind accepts. */
	uint64_t stale;
	/* Landed although every answer denied it. */
	uint64_t wrong_not_run;
} kl_violations_t;

/* Everything that sessions wrote, and what was found wrong. */
typedef struct kl_history {
	/* Makes bodies differ from those of other runs. */
	uint64_t tag;
	kl_write_t *writes;
	size_t write_count;
	size_t write_capacity;
	kl_part_t *parts;
	size_t part_count;
	size_t part_capacity;
	kl_violations_t violations;
	/* Descriptions of the first violations. */
	size_t note_count;
	char notes[KL_NOTES_MAX][KL_NOTE_BYTES];
} kl_history_t;

void kl_history_init(kl_history_t *history, uint64_t tag);
void kl_history_finish(kl_history_t *history);

/*
 * Add an insert, a part or a take of a part, before it is first sent. Return
 * KB_OK and set the index, or KB_ERR_NO_MEMORY.
 */
kb_result_t kl_history_add_insert(kl_history_t *history, unsigned table,
				  size_t *write);
kb_result_t kl_history_add_part(kl_history_t *history, size_t *part);
kb_result_t kl_history_add_take(kl_history_t *history, size_t part,
				size_t *write);

/* Writes the body that a write leaves, or the id of a part. */
void kl_history_body(const kl_history_t *history, size_t write,
		     char text[KL_TEXT_BYTES]);
void kl_history_part_id(const kl_history_t *history, size_t part,
			char text[KL_TEXT_BYTES]);

/* Records an answer to `write`; `affected` counts for a success. */
void kl_history_record_answer(kl_history_t *history, size_t write,
			      kb_outcome_t outcome, int64_t affected,
			      kb_time_t now);

/* Records that the creation of `part` was acknowledged. */
void kl_history_record_part(kl_history_t *history, size_t part);

/* A successful read. */
typedef struct kl_read {
	/* The insert whose row was looked for, or KL_NO_WRITE. */
	size_t write;
	/* The session that reads has also written. */
	int own;
	kb_time_t started;
	kb_time_t finished;
	/* What the read kind accepts; 0 asks for current data. */
	kb_time_t max_age;
	/* Age that the answer states; negative if it states none. */
	int64_t age_ms;
	size_t rows;
} kl_read_t;

/* Checks a read against the session's writes and its read kind. */
void kl_history_check_read(kl_history_t *history, const kl_read_t *read);

/* Check what a current read finds at the end. */
void kl_history_check_insert(kl_history_t *history, size_t write, size_t rows);
/* `body` is NULL if the part is missing. */
void kl_history_check_part(kl_history_t *history, size_t part,
			   const char *body);

/* Adds a description to the notes while there is room. */
void kl_history_add_note(kl_history_t *history, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the number of all violations. */
uint64_t kl_violations_total(const kl_violations_t *violations);

KB_END_DECLS

#endif
