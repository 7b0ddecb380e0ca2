#include "watermarks.h"

static const kb_watermark_t *stamp_at(const kb_watermarks_t *stamps, size_t i)
{
	return &stamps->ring[(stamps->first + i) % KB_WATERMARKS_MAX];
}

const kb_watermark_t *kb_watermarks_last(const kb_watermarks_t *stamps)
{
	return stamps->count ? stamp_at(stamps, stamps->count - 1) : NULL;
}

kb_time_t kb_watermarks_newest(const kb_watermarks_t *stamps)
{
	const kb_watermark_t *last = kb_watermarks_last(stamps);

	return last ? last->at : 0;
}

void kb_watermarks_add(kb_watermarks_t *stamps, uint64_t term, kb_time_t at,
		       kb_point_t point)
{
	size_t end;

	if (term < stamps->term)
		return;
	if (term > stamps->term) {
		stamps->term = term;
		stamps->count = 0;
	}
	if (stamps->count &&
	    at < kb_watermarks_newest(stamps) +
			    KB_WATERMARKS_MIN_INTERVAL_MS * KB_NS_PER_MS)
		return;
	if (stamps->count == KB_WATERMARKS_MAX) {
		stamps->first = (stamps->first + 1) % KB_WATERMARKS_MAX;
		stamps->count--;
	}
	end = (stamps->first + stamps->count) % KB_WATERMARKS_MAX;
	stamps->ring[end] = (kb_watermark_t){ at, point };
	stamps->count++;
}

int kb_watermarks_lower_bound(const kb_watermarks_t *stamps, kb_time_t bound,
			      kb_point_t *point)
{
	for (size_t i = 0; i < stamps->count; i++) {
		const kb_watermark_t *stamp = stamp_at(stamps, i);

		if (stamp->at < bound)
			continue;
		*point = stamp->point;
		return 1;
	}
	return 0;
}
