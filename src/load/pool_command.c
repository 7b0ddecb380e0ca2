#include "pool_command.h"

#include <sodium.h>

enum {
	/* Length of the digest that names a shape unfit to be a name. */
	SHAPE_DIGEST_BYTES = 32,
};

/* Whether a shape can be part of a name as it is. */
static int is_name(kb_str_t shape)
{
	if (shape.len > KB_POOL_SHAPE_NAME_BYTES - 2)
		return 0;
	for (size_t i = 0; i < shape.len; i++)
		if (shape.data[i] <= ' ' || shape.data[i] > '~')
			return 0;
	return 1;
}

kb_str_t kb_pool_shape_name(const kbs_run_args *args, char *buffer)
{
	kb_str_t shape = kb_text_str(args->shape);
	unsigned char digest[SHAPE_DIGEST_BYTES];
	int is_read = args->kind == KBS_READ;

	if (is_name(shape)) {
		buffer[0] = is_read ? 'r' : 'w';
		memcpy(buffer + 1, shape.data, shape.len);
		buffer[1 + shape.len] = '\0';
		return (kb_str_t){ buffer, 1 + shape.len };
	}
	/* Capitals keep digests apart from shapes of the same text. */
	buffer[0] = is_read ? 'R' : 'W';
	crypto_generichash(digest, sizeof(digest),
			   (const unsigned char *)shape.data, shape.len, NULL,
			   0);
	sodium_bin2hex(buffer + 1, KB_POOL_SHAPE_NAME_BYTES - 1, digest,
		       sizeof(digest));
	return (kb_str_t){ buffer, 1 + 2 * SHAPE_DIGEST_BYTES };
}

static kb_link_command_kind_t own_kind(kbs_kind kind)
{
	switch (kind) {
	case KBS_READ:
		return KB_LINK_COMMAND_READ;
	case KBS_WRITE:
		return KB_LINK_COMMAND_WRITE;
	default:
		return KB_LINK_COMMAND_COMMIT;
	}
}

void kb_pool_command_choose(kb_pool_conn_t *conn, kb_link_command_t *command,
			    char *name)
{
	const kbs_run_args *args = conn->job->args;
	const kbs_value *missing;

	memset(command, 0, sizeof(*command));
	command->id = KB_STR("");
	command->name = KB_STR("");
	command->body = KB_STR("");
	conn->value_sent = NULL;
	if (!conn->in_transaction &&
	    kb_session_values_has_extra(&conn->values, args->values.values_val,
					args->values.values_len)) {
		command->kind = KB_LINK_COMMAND_RESET;
		return;
	}
	missing = kb_session_values_find_mismatch(&conn->values,
						  args->values.values_val,
						  args->values.values_len);
	if (missing) {
		command->kind = KB_LINK_COMMAND_SET;
		command->name = kb_text_str(missing->name);
		command->body = kb_text_str(missing->value);
		conn->value_sent = missing;
		return;
	}
	if (args->shape.kbs_text_len) {
		kb_str_t prepared = kb_pool_shape_name(args, name);

		command->name = prepared;
		if (!kb_session_values_get(&conn->shapes, prepared)) {
			command->kind = args->kind == KBS_READ
						? KB_LINK_COMMAND_PREPARE_READ
						: KB_LINK_COMMAND_PREPARE_WRITE;
			command->body = kb_text_str(args->shape);
			return;
		}
	}
	if (args->transactional && !conn->in_transaction) {
		command->kind = args->read_only
					? KB_LINK_COMMAND_BEGIN_READ_ONLY
					: KB_LINK_COMMAND_BEGIN;
		command->name = KB_STR("");
		command->include = kb_point_from(args->include);
		return;
	}
	command->kind = own_kind(args->kind);
	command->id = kb_text_str(args->id);
	command->body = kb_text_str(args->body);
	if (!args->transactional && args->kind == KBS_READ)
		command->include = kb_point_from(args->include);
}
