#ifndef FAKE_MESSAGE_H
#define FAKE_MESSAGE_H

#include "fake_group.h"

KB_BEGIN_DECLS

enum { FAKE_PUSH_ENTRIES = 16 };

typedef enum fake_message_kind {
	/* To targets. */
	FAKE_PROBE,
	FAKE_COMMAND,
	FAKE_WRITE,
	FAKE_PUSH,
	FAKE_PUSHED,
	/* To hosts. */
	FAKE_REPORT,
	FAKE_COMMAND_RESULT,
	FAKE_WRITE_RESULT,
	FAKE_VIEW_REQUEST,
	FAKE_VIEW,
	FAKE_HINT,
	/* Timers, which a host or target sends to itself. */
	FAKE_TIMER,
	FAKE_SUBMIT,
	FAKE_REPLICATE,
} fake_message_kind_t;

/* A message between two nodes. */
typedef struct fake_message {
	fake_message_kind_t kind;
	size_t from, to;
	/* Generation of the host that sent it, or of its request. */
	uint64_t generation;
	/* Probe id, write id or term of a push. */
	uint64_t id;
	/* Primary to follow, or the number of entries a push keeps. */
	size_t target;
	kb_command_t command;
	kb_result_t result;
	/*
	 * In the reply to a command: it was granted. In the result of a write:
	 * it was committed on a replaced primary.
	 */
	int granted;
	kb_point_t point;
	kb_primary_view_t view;
	kb_report_t report;
	size_t entry_count;
	fake_entry_t entries[FAKE_PUSH_ENTRIES];
} fake_message_t;

/* Sends a message over the network between two nodes. */
void fake_send(fake_group_t *group, fake_message_t *message);

/* Delivers a message to the node itself after `delay`. */
void fake_send_self(fake_group_t *group, fake_message_kind_t kind, size_t node,
		    kb_time_t delay);

/* Handle a message on arrival. */
void fake_target_receive(fake_group_t *group, fake_message_t *message);
void fake_host_receive(fake_group_t *group, fake_message_t *message);

/* Sends missing entries to the followers of `target`. */
void fake_target_push(fake_group_t *group, size_t target);

/* Starts a host with fresh state machines. */
void fake_host_start(fake_group_t *group, size_t index);

/* Record a promotion or an acknowledgement and check the invariants. */
void fake_record_promotion(fake_group_t *group, size_t target);
void fake_record_ack(fake_group_t *group, const fake_ack_t *ack);

KB_END_DECLS

#endif
