#ifndef KB_SYNC_CODEC_H
#define KB_SYNC_CODEC_H

#include "mirror.h"

KB_BEGIN_DECLS

/* Compressed changes of a copy of the store, ready to be sent. */
typedef struct kb_sync_data {
	/* The changes lead from `after`, or from no copy, to `revision`. */
	int64_t after;
	int whole;
	int64_t revision;
	/* Size before compression. */
	uint32_t size;
	/* Compressed bytes, of which `len` are used. */
	char *bytes;
	size_t len;
} kb_sync_data_t;

/*
 * Encodes the changes that `args` lacks; kb_sync_data_finish() frees them.
 * Returns KB_ERR_NO_MEMORY, or KB_ERR_TOO_LARGE.
 */
kb_result_t kb_sync_codec_encode(kb_sync_data_t *data,
				 const kb_mirror_t *mirror,
				 const kbs_sync_args *args);
void kb_sync_data_finish(kb_sync_data_t *data);

/*
 * Applies an answer to the call that was sent at `sent_at`. Ignored if the copy
 * is newer. Returns KB_ERR_PROTOCOL if it is malformed, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_sync_codec_apply(kb_mirror_t *mirror, const kbs_feed_res *res,
				kb_time_t sent_at);

KB_END_DECLS

#endif
