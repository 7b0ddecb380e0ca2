#ifndef KL_HISTORY_H
#define KL_HISTORY_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

#define KL_TEXT_BYTES 96
#define KL_NOTES_MAX 20
#define KL_NOTE_BYTES 200
#define KL_NO_WRITE SIZE_MAX
/* Body of a part that is not taken. */
#define KL_PART_FREE "free"

typedef enum kl_write_kind {
	/* Inserts a row with a unique body. */
	KL_WRITE_INSERT,
	/* Takes a part if it is free, as a conditional update. */
	KL_WRITE_TAKE,
} kl_write_kind_t;

/* A write and the outcomes of its attempts. */
typedef struct kl_write {
	kl_write_kind_t kind;
	/* Table of an insert: an index that the caller defines. */
	unsigned table;
	/* The part of a take, and the previous take of that part. */
	size_t part;
	size_t previous_take;
	/* Number of responses with the outcomes "not run" and "unknown". */
	unsigned not_run;
	unsigned unknown;
	int acknowledged;
	/* Time of the first acknowledgement. */
	kb_time_t acknowledged_at;
	/* Rows that it changed, according to the first acknowledgement. */
	int64_t affected;
} kl_write_t;

/* A row that several sessions try to take; at most one may succeed. */
typedef struct kl_part {
	/* Its creation was acknowledged. */
	int created;
	/* The newest take of it, or KL_NO_WRITE. */
	size_t last_take;
} kl_part_t;

/* Number of violated guarantees, by kind. */
typedef struct kl_violations {
	/* Writes that were acknowledged but are missing. */
	uint64_t lost;
	/* Inserts present more than once, and parts taken more than once. */
	uint64_t doubled;
	/* Reads older than the session or the read kind allows. */
	uint64_t stale;
	/* Writes that took effect although all responses denied it. */
	uint64_t wrong_not_run;
} kl_violations_t;

/* All writes of a run and the violations found. */
typedef struct kl_history {
	/* Distinguishes the bodies of this run from those of other runs. */
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
 * Add an insert, a part or a take of a part, before the first attempt. Return
 * KB_OK and set the index, or return KB_ERR_NO_MEMORY.
 */
kb_result_t kl_history_add_insert(kl_history_t *history, unsigned table,
				  size_t *write);
kb_result_t kl_history_add_part(kl_history_t *history, size_t *part);
kb_result_t kl_history_add_take(kl_history_t *history, size_t part,
				size_t *write);

/* Formats the row body of a write, or the row id of a part. */
void kl_history_body(const kl_history_t *history, size_t write,
		     char text[KL_TEXT_BYTES]);
void kl_history_part_id(const kl_history_t *history, size_t part,
			char text[KL_TEXT_BYTES]);

/* Records a response to `write`; `affected` is used if it succeeded. */
void kl_history_record_answer(kl_history_t *history, size_t write,
			      kb_outcome_t outcome, int64_t affected,
			      kb_time_t now);

/* Records that the creation of `part` was acknowledged. */
void kl_history_record_part(kl_history_t *history, size_t part);

/* A successful read. */
typedef struct kl_read {
	/* The insert whose row is looked up, or KL_NO_WRITE. */
	size_t write;
	/* The insert was made by the same session. */
	int own;
	kb_time_t started;
	kb_time_t finished;
	/* Maximum age of the read kind; 0 requires current data. */
	kb_time_t max_age;
	/* Age that the response states; negative if none. */
	int64_t age_ms;
	/* Number of rows that were returned. */
	size_t rows;
} kl_read_t;

/* Checks a read for staleness. */
void kl_history_check_read(kl_history_t *history, const kl_read_t *read);

/* Check an insert or a part against a current read at the end of the run. */
void kl_history_check_insert(kl_history_t *history, size_t write, size_t rows);
/* `body` is the body that was read; NULL if the part is missing. */
void kl_history_check_part(kl_history_t *history, size_t part,
			   const char *body);

/* Adds a description to the notes unless they are full. */
void kl_history_add_note(kl_history_t *history, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the total number of violations. */
uint64_t kl_violations_total(const kl_violations_t *violations);

KB_END_DECLS

#endif
