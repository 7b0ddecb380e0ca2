#include "watermarks.h"

static const kb_watermark_t *watermark_at(const kb_watermarks_t *watermarks,
					  size_t i)
{
	return &watermarks->ring[(watermarks->first + i) % KB_WATERMARKS_MAX];
}

const kb_watermark_t *kb_watermarks_last(const kb_watermarks_t *watermarks)
{
	return watermarks->count
		       ? watermark_at(watermarks, watermarks->count - 1)
		       : NULL;
}

kb_time_t kb_watermarks_newest(const kb_watermarks_t *watermarks)
{
	const kb_watermark_t *last = kb_watermarks_last(watermarks);

	return last ? last->at : 0;
}

void kb_watermarks_add(kb_watermarks_t *watermarks, uint64_t term, kb_time_t at,
		       kb_point_t point)
{
	size_t end;

	if (term < watermarks->term)
		return;
	if (term > watermarks->term) {
		watermarks->term = term;
		watermarks->count = 0;
	}
	if (watermarks->count &&
	    at < kb_watermarks_newest(watermarks) +
			    KB_WATERMARKS_MIN_INTERVAL_MS * KB_NS_PER_MS)
		return;
	if (watermarks->count == KB_WATERMARKS_MAX) {
		watermarks->first = (watermarks->first + 1) % KB_WATERMARKS_MAX;
		watermarks->count--;
	}
	end = (watermarks->first + watermarks->count) % KB_WATERMARKS_MAX;
	watermarks->ring[end] = (kb_watermark_t){ at, point };
	watermarks->count++;
}

int kb_watermarks_lower_bound(const kb_watermarks_t *watermarks,
			      kb_time_t bound, kb_point_t *point)
{
	for (size_t i = 0; i < watermarks->count; i++) {
		const kb_watermark_t *watermark = watermark_at(watermarks, i);

		if (watermark->at < bound)
			continue;
		*point = watermark->point;
		return 1;
	}
	return 0;
}

kb_time_t kb_watermarks_deficit(const kb_watermarks_t *watermarks,
				kb_point_t end, kb_point_t point)
{
	kb_time_t past_end = 0;

	if (kb_point_compare(end, point) >= 0)
		return 0;
	for (size_t i = 0; i < watermarks->count; i++) {
		const kb_watermark_t *watermark = watermark_at(watermarks, i);

		if (!past_end && kb_point_compare(watermark->point, end) > 0)
			past_end = watermark->at;
		if (kb_point_compare(watermark->point, point) >= 0)
			return watermark->at - past_end;
	}
	return past_end ? kb_watermarks_newest(watermarks) - past_end : 0;
}
