#ifndef KB_TESTS_LEASE_CLUSTER_OPS_H
#define KB_TESTS_LEASE_CLUSTER_OPS_H

#include "lease_cluster.h"

/* Calls of the simulated leases to the store and to other hosts. */
namespace lease_simulation
{

inline void Cluster::on_read(void *ctx, kb_lease_t *, kb_time_t sent_at)
{
	Host &host = *static_cast<Host *>(ctx);
	Cluster &cluster = *host.cluster;

	cluster.after(cluster.delay(), [&host, &cluster, sent_at] {
		bool ok = cluster.reaches_store(host);
		bool found = cluster.exists;
		kb_lease_record_t seen = cluster.seen_record();
		int64_t revision =
			found ? cluster.key_revision : cluster.revision;

		cluster.deliver(host, cluster.delay(), [=, &host, &cluster] {
			kb_lease_on_read(&host.lease, sent_at,
					 ok ? KB_OK : KB_ERR_TIMEOUT,
					 found ? &seen : nullptr, revision,
					 cluster.now);
		});
	});
}

inline void Cluster::on_write(void *ctx, kb_lease_t *,
			      const kb_lease_record_t *record, int64_t expected,
			      uint64_t number)
{
	Host &host = *static_cast<Host *>(ctx);
	Cluster &cluster = *host.cluster;
	kb_lease_record_t copy = *record;
	kb_time_t late = 0;

	/* The store holds the record as text. */
	char *text = kb_lease_record_format(record);
	EXPECT_EQ(KB_OK, kb_lease_record_parse(&copy, kb_str_from(text)));
	free(text);
	if (cluster.below(100) < (uint64_t)cluster.late_write_percent)
		late = (kb_time_t)(1 + cluster.below(4)) * KB_NS_PER_S;
	cluster.after(cluster.delay() + late, [=, &host, &cluster] {
		bool reached = late || cluster.reaches_store(host);
		int64_t present = cluster.exists ? cluster.key_revision : 0;
		/* The store compares numbers, not eras. */
		bool done = reached && kb_store_number(present) ==
					       kb_store_number(expected);
		bool other_era =
			expected && kb_store_era(expected) !=
					    kb_store_era(cluster.revision);
		int64_t revision;

		if (done)
			cluster.put_record(copy);
		revision = cluster.revision;
		if (late || (!reached && cluster.store_silent))
			return;
		cluster.deliver(host, cluster.delay(), [=, &host, &cluster] {
			kb_lease_on_written(&host.lease, number,
					    !reached || (done && other_era)
						    ? KB_ERR_UNKNOWN
					    : done ? KB_OK
						   : KB_ERR_CONFLICT,
					    revision, cluster.now);
		});
	});
}

/* The order that a call about `revision` carries; its number is 0 for none. */
inline kb_promotion_order_t sent_order(const kb_lease_t *lease,
				       int64_t revision)
{
	const kb_promotion_order_t *order =
		kb_lease_unrecorded_order(lease, revision);

	return order ? *order : kb_promotion_order_t{};
}

inline void Cluster::on_request_renewal(void *ctx, kb_lease_t *lease,
					const kb_name_t *voter,
					kb_time_t sent_at)
{
	Host &host = *static_cast<Host *>(ctx);
	Cluster &cluster = *host.cluster;
	Host &other = *cluster.find(voter);
	kb_name_t self = lease->self;
	int64_t revision = lease->revision;
	int live = kb_lease_is_live(lease, sent_at);
	kb_promotion_order_t order = sent_order(lease, revision);
	int informed = lease->knowledge.known;

	if (!cluster.is_linked(cluster.index(host), cluster.index(other)))
		return;
	cluster.deliver(other, cluster.delay(), [=, &host, &other, &cluster] {
		kb_name_t from = name_of(other.name);

		int64_t requested_revision = revision;

		if (cluster.broken_rule == BrokenRule::GRANTS_EARLIER_REVISIONS)
			requested_revision = std::max(
				{ requested_revision, other.lease.revision,
				  other.lease.granted_revision });
		int granted =
			kb_lease_grant(&other.lease, &self, requested_revision,
				       live, cluster.now);
		if (granted &&
		    cluster.broken_rule != BrokenRule::FORGETS_ORDERS)
			kb_lease_learn_order(&other.lease, &order);
		if (granted && informed)
			other.lease.knowledge.informed = 1;
		int other_informed = other.lease.knowledge.informed ||
				     cluster.broken_rule ==
					     BrokenRule::CLAIMS_TO_BE_INFORMED;
		kb_promotion_order_t known = sent_order(&other.lease, revision);
		kb_time_t exclusive_time =
			cluster.broken_rule == BrokenRule::HIDES_OTHER_GRANTS
				? KB_NS_PER_S
				: kb_lease_exclusive_time(&other.lease,
							  cluster.now);

		if (!cluster.is_linked(cluster.index(host),
				       cluster.index(other)))
			return;
		cluster.deliver(host, cluster.delay(), [=, &host, &cluster] {
			kb_lease_learn_order(&host.lease, &known);
			kb_lease_on_grant(&host.lease, &from, sent_at, granted,
					  exclusive_time, cluster.now);
			if (granted && other_informed)
				kb_lease_on_informed_voter(&host.lease, &from);
			if (cluster.broken_rule == BrokenRule::ONE_GRANT)
				for (size_t i = 0; i < host.lease.grant_count;
				     i++)
					kb_lease_on_grant(
						&host.lease,
						&host.lease.grants[i].voter,
						sent_at, granted,
						exclusive_time, cluster.now);
		});
	});
}

inline void Cluster::on_fence_hosts(void *ctx, kb_lease_t *lease, kb_time_t)
{
	struct Round {
		size_t missing;
		kb_time_t other_granted_at;
	};
	Host &host = *static_cast<Host *>(ctx);
	Cluster &cluster = *host.cluster;
	auto round = std::make_shared<Round>();
	kb_name_t self = lease->self;
	int64_t revision = lease->revision;

	round->missing = cluster.hosts.size() - 1;
	for (auto &each : cluster.hosts) {
		Host &other = *each;

		if (&other == &host || !cluster.is_linked(cluster.index(host),
							  cluster.index(other)))
			continue;
		cluster.deliver(other, cluster.delay(), [=, &host, &other, &cluster] {
			if (!kb_lease_grant(&other.lease, &self, revision, 0,
					    cluster.now))
				return;
			kb_time_t other_granted_at =
				cluster.now -
				kb_lease_exclusive_time(&other.lease,
							cluster.now);
			kb_promotion_order_t known =
				sent_order(&other.lease, revision);
			cluster.deliver(
				host, cluster.delay(), [=, &host, &cluster] {
					kb_lease_learn_order(&host.lease,
							     &known);
					round->missing--;
					round->other_granted_at = std::max(
						round->other_granted_at,
						other_granted_at);
					if (cluster.broken_rule ==
					    BrokenRule::ONE_FENCED_HOST)
						round->missing = 0;
					if (!round->missing)
						kb_lease_on_fenced(
							&host.lease, revision,
							round->other_granted_at,
							cluster.now);
				});
		});
	}
}

inline void Cluster::on_query_holder(void *ctx, kb_lease_t *lease)
{
	Host &host = *static_cast<Host *>(ctx);
	Cluster &cluster = *host.cluster;

	for (size_t i = 0; i < lease->record.voters.count; i++) {
		Host *other = cluster.find(&lease->record.voters.hosts[i]);

		if (other == &host || !cluster.is_linked(cluster.index(host),
							 cluster.index(*other)))
			continue;
		kb_time_t seen_at = other->lease.holder_seen_at;

		cluster.deliver(host, 2 * cluster.delay(), [=, &host] {
			kb_lease_on_holder_seen(&host.lease, 1, seen_at);
		});
	}
}

inline void Cluster::on_notify_holder(void *ctx, kb_lease_t *,
				      const kb_name_t *name)
{
	Host &host = *static_cast<Host *>(ctx);
	Cluster &cluster = *host.cluster;
	Host &other = *cluster.find(name);

	if (!cluster.is_linked(cluster.index(host), cluster.index(other)))
		return;
	cluster.deliver(other, cluster.delay(), [&other, &cluster] {
		kb_lease_refresh(&other.lease, cluster.now);
	});
}
} // namespace lease_simulation

#endif
