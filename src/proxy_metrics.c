#include "proxy_internal.h"

#include "metrics_text.h"

static void write_pool(struct evbuffer *out, const char *name,
		       const kb_link_pool_t *pool, uint64_t value)
{
	kb_metrics_text_value(out, name, "target", pool->place.target.data,
			      (double)value);
}

static void write_pools(kb_proxy_t *proxy, struct evbuffer *out,
			const char *name, const char *type, size_t offset,
			const char *help)
{
	kb_metrics_text_family(out, name, type, help);
	for (size_t i = 0; i < proxy->gate_count; i++) {
		const kb_link_pool_t *pool = &proxy->gates[i]->pool;

		write_pool(out, name, pool,
			   *(const uint64_t *)((const char *)&pool->counters +
					       offset));
	}
	for (size_t i = 0; i < proxy->group_count; i++) {
		const kb_link_pool_t *pool = &proxy->groups[i]->pool;

		if (pool->place.target.len)
			write_pool(out, name, pool,
				   *(const uint64_t *)((const char *)&pool
							       ->counters +
						       offset));
	}
}

void kb_proxy_write_metrics(kb_proxy_t *proxy, struct evbuffer *out)
{
	kb_proxy_stats_write(&proxy->stats, out);
	kb_start_phases_write(&proxy->start, out);
	kb_metrics_text_family(out, "sessions", "gauge", "Open sessions.");
	kb_metrics_text_value(out, "sessions", NULL, NULL,
			      (double)proxy->session_count);
	kb_metrics_text_family(out, "configuration_version", "gauge",
			       "Version of the configuration in force.");
	kb_metrics_text_value(out, "configuration_version", NULL, NULL,
			      (double)proxy->databases.version);
	kb_metrics_text_family(
		out, "hold_serving", "gauge",
		"Whether this host may serve a group's primary.");
	for (size_t i = 0; i < proxy->group_count; i++)
		kb_metrics_text_value(
			out, "hold_serving", "group",
			proxy->groups[i]->name.data,
			kb_lease_may_serve(&proxy->groups[i]->lease,
					   kb_clock_monotonic(proxy->clock)));
	kb_metrics_text_family(
		out, "promotion_blocked", "gauge",
		"Whether no target of a group that answers may be promoted.");
	for (size_t i = 0; i < proxy->group_count; i++)
		kb_metrics_text_value(out, "promotion_blocked", "group",
				      proxy->groups[i]->name.data,
				      proxy->groups[i]->monitor.blocked);
	kb_metrics_text_family(
		out, "orders_unknown", "gauge",
		"Whether an order of a former holder that this one does not "
		"know may take effect.");
	for (size_t i = 0; i < proxy->group_count; i++)
		kb_metrics_text_value(
			out, "orders_unknown", "group",
			proxy->groups[i]->name.data,
			kb_monitor_expects_orders(&proxy->groups[i]->monitor));
	kb_metrics_text_family(
		out, "promotion_open", "gauge",
		"Whether an order to promote another target may take effect "
		"while a group's primary serves.");
	for (size_t i = 0; i < proxy->group_count; i++)
		kb_metrics_text_value(
			out, "promotion_open", "group",
			proxy->groups[i]->name.data,
			kb_monitor_is_watching(&proxy->groups[i]->monitor));
#define POOL(member) offsetof(kb_link_pool_counters_t, member)
	write_pools(proxy, out, "target_statements_total", "counter",
		    POOL(statements), "Statements sent to a target.");
	write_pools(proxy, out, "target_connections_total", "counter",
		    POOL(opened), "Connections opened to a target.");
	write_pools(proxy, out, "target_displaced_total", "counter",
		    POOL(displaced),
		    "Connections closed for one of another team.");
	write_pools(proxy, out, "target_held_back_total", "counter",
		    POOL(held_back),
		    "Transactions that waited for others of their team.");
	write_pools(proxy, out, "target_lost_total", "counter", POOL(lost),
		    "Connections lost to a target.");
	write_pools(proxy, out, "target_in_flight_limit", "gauge",
		    POOL(allowed), "Statements that may be in flight.");
	write_pools(proxy, out, "target_rejected_total", "counter",
		    POOL(rejected),
		    "Statements that a target rejected as overloaded.");
	write_pools(proxy, out, "target_refused_total", "counter",
		    POOL(refused), "Statements refused before they waited.");
	write_pools(proxy, out, "target_expired_total", "counter",
		    POOL(expired),
		    "Statements whose time passed while they waited.");
	write_pools(proxy, out, "target_silent_total", "counter",
		    POOL(timeouts), "Statements whose answer was held lost.");
#undef POOL
	kb_proxy_loans_write_metrics(proxy, out);
}
