#ifndef KB_DURATION_H
#define KB_DURATION_H

#include "str.h"

KB_BEGIN_DECLS

/* Size of a buffer for any formatted duration or size, with the final NUL. */
#define KB_DURATION_TEXT_BYTES 32

/*
 * Parses a whole number with one of the units ns, us, ms, s, m or h. Returns
 * KB_ERR_INVALID if the unit is missing or the value exceeds kb_time_t.
 */
kb_result_t kb_duration_parse(kb_str_t text, kb_time_t *duration);

/* Writes `duration`, which is not negative, in the largest exact unit. */
void kb_duration_format(kb_time_t duration, char text[KB_DURATION_TEXT_BYTES]);

/*
 * Parses a number of bytes with one of the units B, KiB, MiB or GiB. Returns
 * KB_ERR_INVALID if the unit is missing or the value exceeds 63 bits.
 */
kb_result_t kb_duration_parse_size(kb_str_t text, uint64_t *bytes);

/* Writes a number of bytes in the largest exact unit. */
void kb_duration_format_size(uint64_t bytes, char text[KB_DURATION_TEXT_BYTES]);

KB_END_DECLS

#endif
