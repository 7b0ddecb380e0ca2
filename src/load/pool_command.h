#ifndef KB_POOL_COMMAND_H
#define KB_POOL_COMMAND_H

#include "pool_conn.h"

KB_BEGIN_DECLS

enum {
	/* Size of the buffer for a prepared statement's name. */
	KB_POOL_SHAPE_NAME_BYTES = 300,
};

/*
 * Returns the name under which a statement's shape is prepared, the same on
 * every connection and different for each shape. It is in `buffer`, of
 * KB_POOL_SHAPE_NAME_BYTES. A shape that is too long for it or contains other
 * than printable characters is named by its digest.
 */
kb_str_t kb_pool_shape_name(const kbs_run_args *args, char *buffer);

/*
 * Chooses the next command of the connection's job: a preparation or, once
 * nothing is missing, the statement itself. `name` is a buffer of
 * KB_POOL_SHAPE_NAME_BYTES that the command refers to.
 */
void kb_pool_command_choose(kb_pool_conn_t *conn, kb_link_command_t *command,
			    char *name);

KB_END_DECLS

#endif
