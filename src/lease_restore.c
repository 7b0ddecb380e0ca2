#include "lease_internal.h"

#include "store.h"

int kb_lease_is_restored_key(const kb_lease_t *lease,
			     const kb_lease_record_t *record, int64_t revision)
{
	if (record)
		return record->era != kb_store_era(revision);
	return lease->known &&
	       (lease->restored ||
		kb_store_era(revision) > kb_store_era(lease->as_of));
}

void kb_lease_on_restored_key(kb_lease_t *lease,
			      const kb_lease_record_t *record, int64_t revision,
			      kb_time_t now)
{
	int is_new = !lease->restored ||
		     kb_store_era(revision) > kb_store_era(lease->as_of);

	/* It tells a host that has started whom it may ask. */
	if (!lease->known && record)
		lease->record = *record;
	if (record)
		kb_lease_learn_order(lease, &record->order);
	if (record)
		kb_lease_take_targets(lease, record);
	kb_lease_set_known(lease, now);
	lease->as_of = revision;
	lease->key_revision = record ? revision : 0;
	lease->restored = 1;
	if (!is_new)
		return;
	lease->era_known_at = now;
	lease->holder_seen_at = now;
	lease->preparing = 0;
	if (lease->role == KB_LEASE_SERVING)
		kb_lease_rebuild_grants(lease);
	else
		kb_lease_lose(lease);
	lease->ops->changed(lease->ctx, lease);
}

void kb_lease_rewrite_restored(kb_lease_t *lease, kb_time_t now)
{
	if (now >= kb_lease_valid_until(lease)) {
		/* Voters that have restarted do not grant it any more. */
		if (now - lease->era_known_at >=
		    KB_LEASE_RESTORED_DELAY_MS * KB_NS_PER_MS)
			kb_lease_lose(lease);
		return;
	}
	if (lease->rewriting && now - lease->write_sent_at <
					KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	/*
	 * An unanswered change of voters may have taken effect before the
	 * restore; then the new voters decide, too.
	 */
	if (!lease->rewriting)
		lease->pending = lease->record;
	lease->rewriting = 1;
	kb_lease_begin_write(lease, now);
}

void kb_lease_on_restore(kb_lease_t *lease)
{
	lease->first_start = 0;
}

static kb_time_t latest(kb_time_t a, kb_time_t b)
{
	return a > b ? a : b;
}

void kb_lease_on_fenced(kb_lease_t *lease, int64_t revision,
			kb_time_t other_granted_at, kb_time_t now)
{
	kb_time_t granted_at = latest(
		other_granted_at, latest(lease->granted_at, lease->started_at));
	kb_time_t end = granted_at + KB_LEASE_DURATION_MS * KB_NS_PER_MS;

	if (lease->role != KB_LEASE_WAITING || lease->revision != revision ||
	    !lease->record.former_unknown)
		return;
	/* Hosts whose keys were lost have to register before all are known. */
	end = latest(end, lease->era_known_at +
				  KB_LEASE_RESTORED_DELAY_MS * KB_NS_PER_MS);
	end = latest(end, now);
	if (end < lease->wait_until)
		lease->wait_until = end;
}
