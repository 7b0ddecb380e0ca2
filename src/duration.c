#include "duration.h"

#include <inttypes.h>
#include <stdio.h>

typedef struct kb_unit {
	const char *name;
	uint64_t factor;
} kb_unit_t;

/* Both tables go from the smallest unit to the largest. */
static const kb_unit_t time_units[] = {
	{ "ns", 1 },
	{ "us", (uint64_t)KB_NS_PER_US },
	{ "ms", (uint64_t)KB_NS_PER_MS },
	{ "s", (uint64_t)KB_NS_PER_S },
	{ "m", (uint64_t)KB_NS_PER_S * 60 },
	{ "h", (uint64_t)KB_NS_PER_S * 3600 },
};

static const kb_unit_t size_units[] = {
	{ "B", 1 },
	{ "KiB", UINT64_C(1) << 10 },
	{ "MiB", UINT64_C(1) << 20 },
	{ "GiB", UINT64_C(1) << 30 },
};

#define UNIT_COUNT(units) (sizeof(units) / sizeof((units)[0]))

static kb_result_t parse(const kb_unit_t *units, size_t count, kb_str_t text,
			 uint64_t *value)
{
	kb_str_t digits = { text.data, 0 };
	kb_str_t suffix;
	uint64_t number;

	while (digits.len < text.len && text.data[digits.len] >= '0' &&
	       text.data[digits.len] <= '9')
		digits.len++;
	if (kb_str_to_u64(digits, &number) != KB_OK)
		return KB_ERR_INVALID;
	suffix = (kb_str_t){ text.data + digits.len, text.len - digits.len };
	for (size_t i = 0; i < count; i++) {
		if (!kb_str_equal(suffix, kb_str_from(units[i].name)))
			continue;
		if (__builtin_mul_overflow(number, units[i].factor, value) ||
		    *value > INT64_MAX)
			return KB_ERR_INVALID;
		return KB_OK;
	}
	return KB_ERR_INVALID;
}

static void format(const kb_unit_t *units, size_t count, uint64_t value,
		   char text[KB_DURATION_TEXT_BYTES])
{
	size_t i = count - 1;

	while (i && (value < units[i].factor || value % units[i].factor))
		i--;
	snprintf(text, KB_DURATION_TEXT_BYTES, "%" PRIu64 "%s",
		 value / units[i].factor, units[i].name);
}

kb_result_t kb_duration_parse(kb_str_t text, kb_time_t *duration)
{
	uint64_t value;
	kb_result_t result;

	result = parse(time_units, UNIT_COUNT(time_units), text, &value);
	if (result == KB_OK)
		*duration = (kb_time_t)value;
	return result;
}

void kb_duration_format(kb_time_t duration, char text[KB_DURATION_TEXT_BYTES])
{
	if (!duration)
		snprintf(text, KB_DURATION_TEXT_BYTES, "0s");
	else
		format(time_units, UNIT_COUNT(time_units), (uint64_t)duration,
		       text);
}

kb_result_t kb_duration_parse_size(kb_str_t text, uint64_t *bytes)
{
	return parse(size_units, UNIT_COUNT(size_units), text, bytes);
}

void kb_duration_format_size(uint64_t bytes, char text[KB_DURATION_TEXT_BYTES])
{
	format(size_units, UNIT_COUNT(size_units), bytes, text);
}
