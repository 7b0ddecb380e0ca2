#ifndef KB_MEMBER_WIRE_H
#define KB_MEMBER_WIRE_H

#include "member_record.h"

KB_BEGIN_DECLS

enum {
	/*
	 * Upper bound of an encoded message, so that it fits into one datagram.
	 */
	KB_MEMBER_MESSAGE_MAX_BYTES = 1400,
	KB_MEMBER_RECORDS_MAX = 32,
	/* Buckets into which the digest of all members is divided. */
	KB_MEMBER_BUCKET_COUNT = 256,
};

typedef enum kb_member_message_type {
	/* Requests an ACK with the same sequence from host `to`. */
	KB_MEMBER_PROBE = 1,
	KB_MEMBER_ACK = 2,
	/* Requests the receiver to probe `subject` and to relay its ACK. */
	KB_MEMBER_PROBE_REQUEST = 3,
	/* Carries records only. */
	KB_MEMBER_GOSSIP = 4,
	/* Carries the sender's digest in `buckets`. */
	KB_MEMBER_SYNC = 5,
	/*
	 * Carries records of the buckets that differ; `more` is set if some are
	 * left.
	 */
	KB_MEMBER_SYNC_REPLY = 6,
} kb_member_message_type_t;

/* A message of the membership protocol. */
typedef struct kb_member_message {
	kb_member_message_type_t type;
	uint64_t sequence;
	/* Name of the receiver. */
	kb_name_t to;
	kb_member_record_t from;
	kb_name_t subject;
	bool more;
	size_t record_count;
	size_t bucket_count;
	kb_member_record_t records[KB_MEMBER_RECORDS_MAX];
	uint32_t buckets[KB_MEMBER_BUCKET_COUNT];
} kb_member_message_t;

/* Clears all fields of `message` except the arrays at its end. */
void kb_member_message_init(kb_member_message_t *message);

/* Returns the encoded size of `record` in bytes. */
size_t kb_member_wire_record_size(const kb_member_record_t *record);

/* Returns the encoded size of `message` in bytes. */
size_t kb_member_wire_size(const kb_member_message_t *message);

/*
 * Encodes `message` into `buffer` and sets `*len`. Returns KB_ERR_TOO_LARGE
 * if it exceeds `size` bytes.
 */
kb_result_t kb_member_wire_encode(const kb_member_message_t *message,
				  void *buffer, size_t size, size_t *len);

/*
 * Decodes all `len` bytes of `buffer` into `message`. Returns KB_ERR_VERSION
 * for an unknown protocol version and KB_ERR_PROTOCOL if the bytes are not a
 * valid message; `message` is then undefined.
 */
kb_result_t kb_member_wire_decode(kb_member_message_t *message,
				  const void *buffer, size_t len);

KB_END_DECLS

#endif
