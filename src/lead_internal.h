#ifndef KB_LEAD_INTERNAL_H
#define KB_LEAD_INTERNAL_H

#include "lead.h"

KB_BEGIN_DECLS

/* Functions shared by the source files of the monitor. */

void kb_lead_set_paused(kb_lead_t *lead, int paused);
void kb_lead_enter(kb_lead_t *lead, kb_lead_state_t state, kb_time_t now);
kb_lead_probe_t *kb_lead_probe_of(kb_lead_t *lead, kb_str_t target);
void kb_lead_send_probe(kb_lead_t *lead, kb_lead_probe_t *probe,
			const kb_target_entry_t *entry, kb_time_t now);
/*
 * Probes the targets that have not answered since `after`, and returns their
 * number; `*answered` is the number of the others.
 */
size_t kb_lead_probe_all(kb_lead_t *lead, const kb_target_list_t *targets,
			 kb_time_t after, kb_time_t now, size_t *answered);
/* Directs statements to `primary` and enters KB_LEAD_SERVING. */
void kb_lead_serve(kb_lead_t *lead, const kb_target_entry_t *primary,
		   const kb_target_report_t *report, kb_time_t now);

void kb_lead_begin_promotion(kb_lead_t *lead, kb_time_t now);
void kb_lead_tick_promoting(kb_lead_t *lead, const kb_target_list_t *targets,
			    kb_time_t now);
void kb_lead_tick_replacing(kb_lead_t *lead, const kb_target_list_t *targets,
			    kb_time_t now);
/* Repeats the step-down command to the replaced primary. */
void kb_lead_tick_replaced(kb_lead_t *lead, const kb_target_list_t *targets,
			   kb_time_t now);

KB_END_DECLS

#endif
