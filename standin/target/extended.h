#ifndef ST_EXTENDED_H
#define ST_EXTENDED_H

#include "session.h"

/*
 * Handles a message of the extended query protocol. Only the unnamed statement
 * and portal are supported. Returns KB_OK, KB_ERR_PROTOCOL or
 * KB_ERR_NO_MEMORY.
 */
kb_result_t st_extended_message(st_session_t *session, char type,
				st_reader_t *body);

#endif
