#include "proxy_internal.h"

#include "log.h"

#include <inttypes.h>

int kb_proxy_is_registered(const kb_proxy_t *proxy)
{
	return !proxy->mirror.revision ||
	       kb_mirror_find(&proxy->mirror,
			      kb_name_str(&proxy->registration.key));
}

/* Tells the leases that the store was restored. */
static void restore_groups(kb_proxy_t *proxy, kb_time_t now)
{
	for (size_t i = 0; i < proxy->group_count; i++) {
		kb_proxy_group_t *group = proxy->groups[i];
		char key[KB_PROXY_LEASE_KEY_MAX_BYTES];

		group->quiet = 0;
		kb_lease_on_restore(&group->lease);
		kb_proxy_lease_key(group, key);
		if (!kb_mirror_find(&proxy->mirror, kb_str_from(key)))
			kb_lease_on_key(&group->lease, NULL,
					proxy->mirror.revision, now);
	}
}

/*
 * A group without a record in a store that was restored before this process
 * started may have a holder, though the settings name a first start.
 */
static void check_first_start(kb_proxy_t *proxy)
{
	if (kb_store_era(proxy->mirror.revision) <= KB_STORE_FIRST_ERA)
		return;
	proxy->store_restored = 1;
	for (size_t i = 0; i < proxy->group_count; i++)
		proxy->groups[i]->lease.first_start = 0;
}

void kb_proxy_check_restore(kb_proxy_t *proxy, kb_time_t now)
{
	int64_t before = proxy->checked_revision;
	int64_t revision = proxy->mirror.revision;

	proxy->checked_revision = revision;
	if (!before)
		check_first_start(proxy);
	if (!before || kb_store_era(revision) == kb_store_era(before))
		return;
	kb_log(KB_EVENT_STORE_RESTORED,
	       "era=%" PRId64 " number=%" PRId64 " before=%" PRId64,
	       kb_store_era(revision), kb_store_number(revision),
	       kb_store_number(before));
	proxy->store_restored = 1;
	restore_groups(proxy, now);
	if (!kb_proxy_is_registered(proxy))
		kb_registration_refresh(&proxy->registration);
}
