#include "pool_command.h"

#include <stdio.h>

/* Name under which a shape is prepared, the same on every connection. */
kb_str_t kb_pool_shape_name(const kbs_run_args *args, char *buffer)
{
	kb_str_t shape = kb_text_str(args->shape);
	int len =
		snprintf(buffer, KB_POOL_SHAPE_NAME_BYTES, "%c%.*s",
			 args->kind == KBS_READ ? 'r' : 'w', KB_STR_ARG(shape));

	if (len < 0 || len >= KB_POOL_SHAPE_NAME_BYTES)
		return KB_STR("");
	return (kb_str_t){ buffer, (size_t)len };
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

/* Chooses what the connection needs next to run its job. */
void kb_pool_command_choose(kb_pool_conn_t *conn, kb_link_command_t *order,
			  char *name)
{
	const kbs_run_args *args = conn->job->args;
	const kbs_value *missing;

	memset(order, 0, sizeof(*order));
	order->id = KB_STR("");
	order->name = KB_STR("");
	order->body = KB_STR("");
	conn->setting = NULL;
	if (!conn->begun &&
	    kb_session_values_has_extra(&conn->values, args->values.values_val,
					args->values.values_len)) {
		order->kind = KB_LINK_COMMAND_RESET;
		return;
	}
	missing = kb_session_values_find_mismatch(&conn->values,
						  args->values.values_val,
						  args->values.values_len);
	if (missing) {
		order->kind = KB_LINK_COMMAND_SET;
		order->name = kb_text_str(missing->name);
		order->body = kb_text_str(missing->value);
		conn->setting = missing;
		return;
	}
	if (args->shape.kbs_text_len) {
		kb_str_t prepared = kb_pool_shape_name(args, name);

		order->name = prepared;
		if (!kb_session_values_get(&conn->shapes, prepared)) {
			order->kind = args->kind == KBS_READ
					      ? KB_LINK_COMMAND_PREPARE_READ
					      : KB_LINK_COMMAND_PREPARE_WRITE;
			order->body = kb_text_str(args->shape);
			return;
		}
	}
	if (args->transactional && !conn->begun) {
		order->kind = args->read_only ? KB_LINK_COMMAND_BEGIN_READ_ONLY
					      : KB_LINK_COMMAND_BEGIN;
		order->name = KB_STR("");
		order->include = kb_point_from(args->include);
		return;
	}
	order->kind = own_kind(args->kind);
	order->id = kb_text_str(args->id);
	order->body = kb_text_str(args->body);
	if (!args->transactional && args->kind == KBS_READ)
		order->include = kb_point_from(args->include);
}
