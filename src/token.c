#include "token.h"

#include <sodium.h>

/*
 * version (1) | key id (4, big-endian) | groups (1) | for each group: name
 * length (1), name, term and position (LEB128) | authenticator (32). The
 * authenticator covers the caller's name and everything before itself.
 */
enum {
	TOKEN_VERSION = 1,
	HEADER_BYTES = 6,
	VARINT_MAX_BYTES = 10,
	ITEM_MAX_BYTES = 1 + KB_NAME_MAX_BYTES + 2 * VARINT_MAX_BYTES,
	BODY_MAX_BYTES = HEADER_BYTES + KB_SESSION_MAX_GROUPS * ITEM_MAX_BYTES,
	TOKEN_MAX_BYTES = BODY_MAX_BYTES + crypto_auth_BYTES,
	VARINT_BITS = 7,
	VARINT_MORE = 0x80,
	BASE64_VARIANT = sodium_base64_VARIANT_URLSAFE_NO_PADDING,
};

_Static_assert(crypto_auth_KEYBYTES == KB_TOKEN_KEY_BYTES, "key size");
_Static_assert(sodium_base64_ENCODED_LEN(TOKEN_MAX_BYTES, BASE64_VARIANT) <=
		       KB_TOKEN_MAX_CHARS,
	       "token size");

/* Bytes that are read or written in order; `ok` falls once they run out. */
typedef struct token_cursor {
	uint8_t *next;
	const uint8_t *end;
	int ok;
} token_cursor_t;

static size_t find_item(const kb_session_t *session, kb_str_t group)
{
	size_t i;

	for (i = 0; i < session->count; i++)
		if (kb_name_is(&session->items[i].group, group))
			break;
	return i;
}

kb_result_t kb_session_update(kb_session_t *session, kb_str_t group,
			      kb_point_t point)
{
	size_t i = find_item(session, group);

	if (i < session->count) {
		if (kb_point_compare(session->items[i].point, point) < 0)
			session->items[i].point = point;
		return KB_OK;
	}
	if (session->count == KB_SESSION_MAX_GROUPS)
		return KB_ERR_TOO_LARGE;
	if (!group.len || kb_name_set(&session->items[i].group, group))
		return KB_ERR_INVALID;
	session->items[i].point = point;
	session->count++;
	return KB_OK;
}

int kb_session_has_room(const kb_session_t *session, kb_str_t group)
{
	return session->count < KB_SESSION_MAX_GROUPS ||
	       find_item(session, group) < session->count;
}

kb_point_t kb_session_find(const kb_session_t *session, kb_str_t group)
{
	size_t i = find_item(session, group);

	if (i < session->count)
		return session->items[i].point;
	return (kb_point_t){ 0, 0 };
}

kb_result_t kb_token_keyring_init(kb_token_keyring_t *ring)
{
	memset(ring, 0, sizeof(*ring));
	return sodium_init() < 0 ? KB_ERR_IO : KB_OK;
}

void kb_token_keyring_finish(kb_token_keyring_t *ring)
{
	sodium_memzero(ring, sizeof(*ring));
}

static const kb_token_key_t *find_key(const kb_token_keyring_t *ring,
				      uint32_t id)
{
	for (size_t i = 0; i < ring->count; i++)
		if (ring->keys[i].id == id)
			return &ring->keys[i];
	return NULL;
}

kb_result_t kb_token_keyring_add(kb_token_keyring_t *ring, uint32_t id,
				 kb_str_t hex)
{
	kb_token_key_t key = { .id = id };
	size_t len;

	if (find_key(ring, id) || hex.len != 2 * sizeof(key.secret))
		return KB_ERR_INVALID;
	if (ring->count == KB_TOKEN_MAX_KEYS)
		return KB_ERR_TOO_LARGE;
	if (sodium_hex2bin(key.secret, sizeof(key.secret), hex.data, hex.len,
			   NULL, &len, NULL) ||
	    len != sizeof(key.secret))
		return KB_ERR_INVALID;
	ring->keys[ring->count++] = key;
	sodium_memzero(&key, sizeof(key));
	return KB_OK;
}

static void put_byte(token_cursor_t *out, uint8_t byte)
{
	if (out->next == out->end)
		out->ok = 0;
	else
		*out->next++ = byte;
}

static uint8_t get_byte(token_cursor_t *in)
{
	if (in->next != in->end)
		return *in->next++;
	in->ok = 0;
	return 0;
}

static void put_varint(token_cursor_t *out, uint64_t value)
{
	while (value >= VARINT_MORE) {
		put_byte(out, (uint8_t)(value | VARINT_MORE));
		value >>= VARINT_BITS;
	}
	put_byte(out, (uint8_t)value);
}

static uint64_t get_varint(token_cursor_t *in)
{
	uint64_t value = 0;

	for (unsigned shift = 0; shift < VARINT_MAX_BYTES * VARINT_BITS;
	     shift += VARINT_BITS) {
		uint64_t byte = get_byte(in);
		uint64_t bits = byte & (VARINT_MORE - 1);

		value |= bits << shift;
		if (value >> shift != bits)
			break;
		if (byte < VARINT_MORE)
			return value;
	}
	in->ok = 0;
	return 0;
}

static void put_item(token_cursor_t *out, const kb_session_item_t *item)
{
	put_byte(out, item->group.len);
	for (size_t i = 0; i < item->group.len; i++)
		put_byte(out, (uint8_t)item->group.data[i]);
	put_varint(out, item->point.term);
	put_varint(out, item->point.position);
}

static kb_result_t get_item(token_cursor_t *in, kb_session_t *session)
{
	size_t len = get_byte(in);
	kb_str_t group = { (const char *)in->next, len };
	kb_point_t point;

	if (len > (size_t)(in->end - in->next))
		return KB_ERR_TOKEN_INVALID;
	in->next += len;
	point.term = get_varint(in);
	point.position = get_varint(in);
	if (!in->ok || find_item(session, group) < session->count ||
	    kb_session_update(session, group, point))
		return KB_ERR_TOKEN_INVALID;
	return KB_OK;
}

static void authenticate(uint8_t *mac, const kb_token_key_t *key,
			 kb_str_t caller, const uint8_t *body, size_t len)
{
	crypto_auth_hmacsha512256_state state;
	uint8_t caller_len = (uint8_t)caller.len;

	crypto_auth_hmacsha512256_init(&state, key->secret,
				       sizeof(key->secret));
	crypto_auth_hmacsha512256_update(&state, &caller_len,
					 sizeof(caller_len));
	crypto_auth_hmacsha512256_update(&state, (const uint8_t *)caller.data,
					 caller.len);
	crypto_auth_hmacsha512256_update(&state, body, len);
	crypto_auth_hmacsha512256_final(&state, mac);
	sodium_memzero(&state, sizeof(state));
}

kb_result_t kb_token_encode(const kb_token_keyring_t *ring, kb_str_t caller,
			    const kb_session_t *session, char *text,
			    size_t size, size_t *len)
{
	uint8_t token[TOKEN_MAX_BYTES];
	token_cursor_t out = { token, token + BODY_MAX_BYTES, 1 };
	size_t body_len, token_len, text_size;

	if (!ring->count)
		return KB_ERR_INVALID;
	if (caller.len > KB_NAME_MAX_BYTES)
		return KB_ERR_TOO_LARGE;
	put_byte(&out, TOKEN_VERSION);
	for (int shift = 24; shift >= 0; shift -= 8)
		put_byte(&out, (uint8_t)(ring->keys[0].id >> shift));
	put_byte(&out, (uint8_t)session->count);
	for (size_t i = 0; i < session->count; i++)
		put_item(&out, &session->items[i]);
	body_len = (size_t)(out.next - token);
	authenticate(out.next, &ring->keys[0], caller, token, body_len);
	token_len = body_len + crypto_auth_BYTES;
	text_size = sodium_base64_encoded_len(token_len, BASE64_VARIANT);
	if (!out.ok || text_size > size)
		return KB_ERR_TOO_LARGE;
	sodium_bin2base64(text, size, token, token_len, BASE64_VARIANT);
	*len = text_size - 1;
	return KB_OK;
}

static kb_result_t verify(const kb_token_keyring_t *ring, kb_str_t caller,
			  const uint8_t *body, size_t len)
{
	uint8_t mac[crypto_auth_BYTES];
	const kb_token_key_t *key;
	uint32_t id = 0;

	for (size_t i = 1; i <= sizeof(id); i++)
		id = id << 8 | body[i];
	key = find_key(ring, id);
	if (!key || caller.len > KB_NAME_MAX_BYTES)
		return KB_ERR_TOKEN_INVALID;
	authenticate(mac, key, caller, body, len);
	if (sodium_memcmp(mac, body + len, sizeof(mac)))
		return KB_ERR_TOKEN_INVALID;
	return KB_OK;
}

static kb_result_t parse_body(uint8_t *body, size_t len, kb_session_t *session)
{
	token_cursor_t in = { body + HEADER_BYTES, body + len, 1 };
	size_t count = body[HEADER_BYTES - 1];

	for (size_t i = 0; i < count; i++)
		if (get_item(&in, session))
			return KB_ERR_TOKEN_INVALID;
	return in.next == in.end ? KB_OK : KB_ERR_TOKEN_INVALID;
}

kb_result_t kb_token_decode(const kb_token_keyring_t *ring, kb_str_t caller,
			    kb_str_t text, kb_session_t *session)
{
	uint8_t token[TOKEN_MAX_BYTES];
	size_t len, body_len;

	memset(session, 0, sizeof(*session));
	if (!text.len)
		return KB_OK;
	if (sodium_base642bin(token, sizeof(token), text.data, text.len, NULL,
			      &len, NULL, BASE64_VARIANT))
		return KB_ERR_TOKEN_INVALID;
	if (len < HEADER_BYTES + crypto_auth_BYTES || token[0] != TOKEN_VERSION)
		return KB_ERR_TOKEN_INVALID;
	body_len = len - crypto_auth_BYTES;
	if (verify(ring, caller, token, body_len))
		return KB_ERR_TOKEN_INVALID;
	if (!parse_body(token, body_len, session))
		return KB_OK;
	memset(session, 0, sizeof(*session));
	return KB_ERR_TOKEN_INVALID;
}
