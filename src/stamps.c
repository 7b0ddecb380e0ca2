#include "stamps.h"

static const kb_stamp_t *stamp_at(const kb_stamps_t *stamps, size_t i)
{
	return &stamps->ring[(stamps->first + i) % KB_STAMPS_MAX];
}

const kb_stamp_t *kb_stamps_last(const kb_stamps_t *stamps)
{
	return stamps->count ? stamp_at(stamps, stamps->count - 1) : NULL;
}

kb_time_t kb_stamps_newest(const kb_stamps_t *stamps)
{
	const kb_stamp_t *last = kb_stamps_last(stamps);

	return last ? last->at : 0;
}

void kb_stamps_add(kb_stamps_t *stamps, uint64_t term, kb_time_t at,
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
	    at < kb_stamps_newest(stamps) + KB_STAMPS_SPACING_MS * KB_NS_PER_MS)
		return;
	if (stamps->count == KB_STAMPS_MAX) {
		stamps->first = (stamps->first + 1) % KB_STAMPS_MAX;
		stamps->count--;
	}
	end = (stamps->first + stamps->count) % KB_STAMPS_MAX;
	stamps->ring[end] = (kb_stamp_t){ at, point };
	stamps->count++;
}

int kb_stamps_include(const kb_stamps_t *stamps, kb_time_t bound,
		      kb_point_t *point)
{
	for (size_t i = 0; i < stamps->count; i++) {
		const kb_stamp_t *stamp = stamp_at(stamps, i);

		if (stamp->at < bound)
			continue;
		*point = stamp->point;
		return 1;
	}
	return 0;
}
