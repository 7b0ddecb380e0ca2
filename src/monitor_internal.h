#ifndef KB_MONITOR_INTERNAL_H
#define KB_MONITOR_INTERNAL_H

#include "monitor.h"

KB_BEGIN_DECLS

/* Functions shared by the source files of the monitor. */

void kb_monitor_set_paused(kb_monitor_t *monitor, int paused);
void kb_monitor_set_state(kb_monitor_t *monitor, kb_monitor_state_t state,
			  kb_time_t now);
kb_monitor_probe_t *kb_monitor_find_probe(kb_monitor_t *monitor,
					  kb_str_t target);
void kb_monitor_send_probe(kb_monitor_t *monitor, kb_monitor_probe_t *probe,
			   const kb_target_entry_t *entry, kb_time_t now);
/*
 * Probes the targets that have not answered since `after`, and returns their
 * number; `*answered` is the number of the others.
 */
size_t kb_monitor_probe_all(kb_monitor_t *monitor,
			    const kb_target_list_t *targets, kb_time_t after,
			    kb_time_t now, size_t *answered);
/* Directs statements to `primary` and enters KB_MONITOR_SERVING. */
void kb_monitor_begin_serving(kb_monitor_t *monitor,
			      const kb_target_entry_t *primary,
			      const kb_target_report_t *report, kb_time_t now);

void kb_monitor_begin_promotion(kb_monitor_t *monitor, kb_time_t now);
void kb_monitor_tick_promoting(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now);
void kb_monitor_tick_switchover(kb_monitor_t *monitor,
				const kb_target_list_t *targets, kb_time_t now);
/* Repeats the step-down command to the replaced primary. */
void kb_monitor_tick_step_down(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now);

KB_END_DECLS

#endif
