#include "change.h"

#include <stdlib.h>

enum {
	/*
	 * Conflicts after which an unconditional change, or the creation of a
	 * resource that is still absent, fails.
	 */
	CONFLICTS_MAX = 5,
};

static const kb_backoff_settings_t read_back_delays = {
	.base = 50 * KB_NS_PER_MS,
	.max = KB_NS_PER_S,
	.budget = 1,
	.refill = KB_NS_PER_S,
};

kb_result_t kb_change_init(kb_change_t *change, const kb_change_ops_t *ops,
			   void *ctx, const kb_change_request_t *request)
{
	const kb_resource_t *resource = request->resource;
	kb_str_t name = kb_name_str(&resource->name);

	memset(change, 0, sizeof(*change));
	change->ops = ops;
	change->ctx = ctx;
	change->id = resource->change.id;
	change->remove = request->remove;
	change->condition = request->condition;
	change->deadline = request->deadline;
	kb_backoff_init(&change->backoff, &read_back_delays, request->seed, 0);
	kb_resource_key(resource->kind, name, change->key);
	kb_resource_deleted_key(resource->kind, name, change->record_key);
	if (request->remove)
		change->value = kb_resource_format_deleted(&resource->change);
	else
		change->value = kb_resource_format(resource);
	if (!change->value)
		return KB_ERR_NO_MEMORY;
	if (strlen(change->value) <= KB_RESOURCE_VALUE_MAX_BYTES)
		return KB_OK;
	kb_change_finish(change);
	return KB_ERR_TOO_LARGE;
}

void kb_change_finish(kb_change_t *change)
{
	free(change->value);
	change->value = NULL;
}

static void end_change(kb_change_t *change, kb_result_t result,
		       int64_t revision, const kb_store_entry_t *current)
{
	kb_change_outcome_t outcome = { result, revision, current };

	change->ops->done(change->ctx, &outcome);
}

/* Ends the change because a call of the store failed. */
static void fail(kb_change_t *change, kb_result_t reason)
{
	if (change->is_uncertain)
		reason = KB_ERR_UNKNOWN;
	else if (kb_result_outcome(reason) == KB_OUTCOME_UNKNOWN)
		/*
		 * Only reads were sent, which have no effect. The store did not
		 * answer in time, or its answer was inconclusive.
		 */
		reason = KB_ERR_DEADLINE;
	end_change(change, reason, 0, NULL);
}

void kb_change_start(kb_change_t *change)
{
	change->step = KB_CHANGE_READ_VALUE;
	change->ops->read(change->ctx, kb_str_from(change->key));
}

static void write_value(kb_change_t *change)
{
	kb_store_write_t write = {
		.key = kb_str_from(change->key),
		.value = kb_str_from(change->value),
		.record = kb_str_from(change->record_key),
		.record_expected = change->record_revision,
		.expected = change->expected,
	};

	change->step = KB_CHANGE_WRITE;
	if (change->remove)
		change->ops->remove(change->ctx, &write);
	else
		change->ops->put(change->ctx, &write);
}

/* Schedules a read-back, or ends the change if its deadline comes first. */
static void schedule_read_back(kb_change_t *change, kb_time_t now)
{
	kb_time_t delay = kb_backoff_delay(&change->backoff, change->attempt++);

	if (delay >= change->deadline - now)
		fail(change, KB_ERR_UNKNOWN);
	else
		change->ops->wait(change->ctx, delay);
}

void kb_change_on_timer(kb_change_t *change)
{
	change->ops->read(change->ctx, kb_str_from(change->key));
}

/* Returns non-zero if `entry` was written by this change. */
static int is_own(const kb_change_t *change, const kb_store_entry_t *entry)
{
	kb_resource_t resource;
	kb_fault_t fault;

	if (kb_resource_parse(&resource, entry->key, entry->value,
			      entry->revision, &fault) != KB_OK)
		return 0;
	return kb_name_is(&resource.change.id, kb_name_str(&change->id));
}

/*
 * Returns non-zero if `current`, which another change wrote, proves that no
 * write of this change has taken effect: the key has not been deleted since the
 * expected revision and, in case of a put, has been written only once since.
 */
static int rules_out_own_write(const kb_change_t *change,
			       const kb_store_entry_t *current)
{
	if (!change->base_created || current->created != change->base_created)
		return 0;
	return change->remove || current->version == change->base_version + 1;
}

/* Sets the expected revision. `entry` is the value to be replaced, or NULL. */
static void set_base(kb_change_t *change, const kb_store_entry_t *entry)
{
	int64_t revision = entry ? entry->revision : KB_STORE_ABSENT;

	if (change->condition == KB_STORE_ANY)
		change->expected = revision;
	else
		change->expected = change->condition;
	change->base_created = 0;
	change->base_version = 0;
	if (entry && entry->revision == change->expected) {
		change->base_created = entry->created;
		change->base_version = entry->version;
	}
}

static void start_write(kb_change_t *change, const kb_store_entry_t *entry)
{
	set_base(change, entry);
	if (change->remove || change->expected != KB_STORE_ABSENT) {
		write_value(change);
		return;
	}
	change->step = KB_CHANGE_READ_RECORD;
	change->ops->read(change->ctx, kb_str_from(change->record_key));
}

static void on_value(kb_change_t *change, const kb_store_entry_t *entry)
{
	if (!entry && change->remove && change->condition == KB_STORE_ANY) {
		end_change(change, KB_ERR_NOT_FOUND, 0, NULL);
		return;
	}
	/* The request repeats a change that is already stored. */
	if (entry && !change->remove && is_own(change, entry)) {
		end_change(change, KB_OK, entry->revision, entry);
		return;
	}
	start_write(change, entry);
}

static void on_record(kb_change_t *change, const kb_store_entry_t *entry)
{
	change->record_revision = entry ? entry->revision : KB_STORE_ABSENT;
	write_value(change);
}

/*
 * Derives the outcome of a lost write from the current value, which is no
 * longer at the expected revision.
 */
static void resolve_lost_write(kb_change_t *change,
			       const kb_store_entry_t *current)
{
	if (!current && change->remove)
		end_change(change, KB_OK, 0, NULL);
	else if (current && !change->remove && is_own(change, current))
		end_change(change, KB_OK, current->revision, current);
	else if (current && rules_out_own_write(change, current))
		end_change(change, KB_ERR_CONFLICT, 0, current);
	else
		end_change(change, KB_ERR_UNKNOWN, 0, current);
}

static void on_read_back(kb_change_t *change, int64_t revision,
			 const kb_store_entry_t *entry)
{
	int64_t present = entry ? entry->revision : KB_STORE_ABSENT;

	if (revision < change->expected || present <= change->expected)
		/* The value has not been replaced, or the read was stale. */
		write_value(change);
	else
		resolve_lost_write(change, entry);
}

void kb_change_on_read(kb_change_t *change, kb_result_t result,
		       const kb_store_range_t *range, kb_time_t now)
{
	const kb_store_entry_t *entry;

	if (result != KB_OK) {
		if (change->is_uncertain)
			schedule_read_back(change, now);
		else
			fail(change, result);
		return;
	}
	entry = range->count ? &range->entries[0] : NULL;
	switch (change->step) {
	case KB_CHANGE_READ_VALUE:
		on_value(change, entry);
		break;
	case KB_CHANGE_READ_RECORD:
		on_record(change, entry);
		break;
	case KB_CHANGE_WRITE:
		on_read_back(change, range->revision, entry);
		break;
	}
}

static void on_conflict(kb_change_t *change, const kb_store_entry_t *current)
{
	int may_retry = change->condition == KB_STORE_ANY ||
			(change->condition == KB_STORE_ABSENT && !current);

	if (change->is_uncertain)
		resolve_lost_write(change, current);
	else if (!may_retry || ++change->conflicts == CONFLICTS_MAX)
		end_change(change, KB_ERR_CONFLICT, 0, current);
	else if (current)
		start_write(change, current);
	else
		kb_change_start(change);
}

void kb_change_on_written(kb_change_t *change, kb_result_t result,
			  const kb_store_written_t *written, kb_time_t now)
{
	if (result == KB_OK) {
		end_change(change, KB_OK, written->revision, NULL);
	} else if (result == KB_ERR_CONFLICT) {
		on_conflict(change, written->current);
	} else if (kb_result_outcome(result) == KB_OUTCOME_UNKNOWN) {
		change->is_uncertain = 1;
		schedule_read_back(change, now);
	} else if (change->is_uncertain) {
		schedule_read_back(change, now);
	} else {
		fail(change, result);
	}
}
