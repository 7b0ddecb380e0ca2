#ifndef KB_TEXT_H
#define KB_TEXT_H

#include "kumquat_session.h"
#include "point.h"
#include "str.h"

KB_BEGIN_DECLS

/* Conversions between XDR types of the calls between hosts and internal
 * types. */

static inline kb_str_t kb_text_str(kbs_text text)
{
	kb_str_t s = { text.kbs_text_val ? text.kbs_text_val : "",
		       text.kbs_text_len };

	return s;
}

/* Returns a text that shares the bytes of `s`, which must outlive it. */
static inline kbs_text kb_text_view(kb_str_t s)
{
	kbs_text text = { (u_int)s.len, (char *)s.data };

	return text;
}

/*
 * Replaces `text` by a copy of `s`, to be freed with kb_text_free().
 * Returns KB_ERR_NO_MEMORY, leaving `text` empty.
 */
kb_result_t kb_text_copy(kbs_text *text, kb_str_t s);

/* Frees a copy made by kb_text_copy() and empties `text`. */
void kb_text_free(kbs_text *text);

static inline kb_point_t kb_point_from(kbs_point point)
{
	kb_point_t p = { point.term, point.position };

	return p;
}

static inline kbs_point kb_point_to(kb_point_t point)
{
	kbs_point p = { point.term, point.position };

	return p;
}

KB_END_DECLS

#endif
