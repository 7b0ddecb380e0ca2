#include "str.h"

int kb_str_equal(kb_str_t a, kb_str_t b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

int kb_str_extends(kb_str_t s, kb_str_t prefix)
{
	return s.len > prefix.len &&
	       (!prefix.len || !memcmp(s.data, prefix.data, prefix.len));
}

int kb_str_compare(kb_str_t a, kb_str_t b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int order = len ? memcmp(a.data, b.data, len) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

kb_result_t kb_name_set(kb_name_t *name, kb_str_t s)
{
	memset(name, 0, sizeof(*name));
	if (s.len > KB_NAME_MAX_BYTES)
		return KB_ERR_INVALID;
	if (!s.len)
		return KB_OK;
	if (memchr(s.data, 0, s.len))
		return KB_ERR_INVALID;
	memcpy(name->data, s.data, s.len);
	name->len = (uint8_t)s.len;
	return KB_OK;
}

int kb_name_is(const kb_name_t *name, kb_str_t s)
{
	return kb_str_equal(kb_name_str(name), s);
}

kb_result_t kb_str_to_u64(kb_str_t s, uint64_t *value)
{
	uint64_t result = 0;

	if (!s.len)
		return KB_ERR_INVALID;
	for (size_t i = 0; i < s.len; i++) {
		unsigned digit = (unsigned char)s.data[i] - (unsigned)'0';

		if (digit > 9 || __builtin_mul_overflow(result, 10, &result) ||
		    __builtin_add_overflow(result, digit, &result))
			return KB_ERR_INVALID;
	}
	*value = result;
	return KB_OK;
}
