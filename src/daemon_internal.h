#ifndef KB_DAEMON_INTERNAL_H
#define KB_DAEMON_INTERNAL_H

#include "daemon.h"

KB_BEGIN_DECLS

/* Listens for calls of other hosts. */
kb_result_t kb_daemon_start_rpc_server(kb_daemon_t *daemon);

/*
 * Begins a planned stop: no new work is taken, gates move to other hosts, and
 * the daemon ends when its work is done or `grace` has passed.
 */
void kb_daemon_begin_stop(kb_daemon_t *daemon, kb_time_t grace);

/* Event callbacks with the daemon as argument. */
void kb_daemon_on_signal(int signal_number, short what, void *daemon);
void kb_daemon_on_drain_timer(int fd, short what, void *daemon);
void kb_daemon_on_update(int fd, short what, void *daemon);

/* Brings the services in line with placements from the loop. */
void kb_daemon_schedule_update(kb_daemon_t *daemon);

/* Takes a change of the catalogue. */
void kb_daemon_on_resource(void *daemon, kb_kind_t kind, kb_str_t name,
			   const kb_resource_t *resource);

extern const kb_fleet_ops_t kb_daemon_fleet_ops;

KB_END_DECLS

#endif
