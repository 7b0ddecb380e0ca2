#ifndef KB_TOKEN_H
#define KB_TOKEN_H

#include "point.h"
#include "str.h"

KB_BEGIN_DECLS

/* Groups that one session may write to. */
#define KB_SESSION_MAX_GROUPS 16

/* The newest point of one group that a session must see. */
typedef struct kb_session_item {
	kb_name_t group;
	kb_point_t point;
} kb_session_item_t;

/* What one session must see, by group. All zero is an empty session. */
typedef struct kb_session {
	size_t count;
	kb_session_item_t items[KB_SESSION_MAX_GROUPS];
} kb_session_t;

/*
 * Raises the point of `group` to `point` if that is higher. Returns
 * KB_ERR_TOO_LARGE, changing nothing, if the session holds the maximum number
 * of other groups, and KB_ERR_INVALID if `group` is no valid name. No group is
 * ever dropped to make room, so a host asks kb_session_has_room() before it
 * runs a write.
 */
kb_result_t kb_session_update(kb_session_t *session, kb_str_t group,
			      kb_point_t point);

/* Returns non-zero if kb_session_update() can record a point of `group`. */
int kb_session_has_room(const kb_session_t *session, kb_str_t group);

/* Returns the point of `group`; a point of position 0 asks for nothing. */
kb_point_t kb_session_find(const kb_session_t *session, kb_str_t group);

#define KB_TOKEN_KEY_BYTES 32
#define KB_TOKEN_MAX_KEYS 8

/* A secret that authenticates tokens, shared by all hosts. */
typedef struct kb_token_key {
	/* Names the key in a token; unique within a ring. */
	uint32_t id;
	uint8_t secret[KB_TOKEN_KEY_BYTES];
} kb_token_key_t;

/* Keys of which the first signs and all verify. */
typedef struct kb_token_keyring {
	size_t count;
	kb_token_key_t keys[KB_TOKEN_MAX_KEYS];
} kb_token_keyring_t;

/*
 * Initializes an empty ring and the cryptographic library. Returns
 * KB_ERR_IO if the library cannot be used.
 */
kb_result_t kb_token_keyring_init(kb_token_keyring_t *ring);

/* Erases the secrets. */
void kb_token_keyring_finish(kb_token_keyring_t *ring);

/*
 * Appends a key whose secret is given as 64 hexadecimal digits. Returns
 * KB_ERR_INVALID if it is malformed or the id is taken, KB_ERR_TOO_LARGE if
 * the ring is full.
 */
kb_result_t kb_token_keyring_add(kb_token_keyring_t *ring, uint32_t id,
				 kb_str_t hex);

/* Size of a buffer that holds any token and its closing NUL. */
#define KB_TOKEN_MAX_CHARS 2200

/*
 * Writes the token of `session` for `caller` into `text`, ending in NUL, and
 * its length into `*len`. Returns KB_ERR_INVALID if the ring is empty and
 * KB_ERR_TOO_LARGE if `size` is too small or `caller` too long.
 */
kb_result_t kb_token_encode(const kb_token_keyring_t *ring, kb_str_t caller,
			    const kb_session_t *session, char *text,
			    size_t size, size_t *len);

/*
 * Reads a token that was made for `caller` under any key of the ring. An
 * empty `text` gives an empty session. Returns KB_ERR_TOKEN_INVALID, leaving
 * `session` empty, if the token is malformed, forged, made for another caller
 * or under a key that the ring does not hold.
 */
kb_result_t kb_token_decode(const kb_token_keyring_t *ring, kb_str_t caller,
			    kb_str_t text, kb_session_t *session);

KB_END_DECLS

#endif
