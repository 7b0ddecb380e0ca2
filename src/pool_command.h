#ifndef KB_POOL_COMMAND_H
#define KB_POOL_COMMAND_H

#include "pool_conn.h"

KB_BEGIN_DECLS

enum {
	/* Longest name of a prepared shape; longer ones are not prepared. */
	KB_POOL_SHAPE_NAME_BYTES = 300,
};

/* Returns the name of a shape, the same on every connection. */
kb_str_t kb_pool_shape_name(const kbs_run_args *args, char *buffer);

/* Chooses what the connection needs next to run its job. */
void kb_pool_command_choose(kb_pool_conn_t *conn, kb_link_command_t *order,
			  char *name);

KB_END_DECLS

#endif
