#include "proxy_internal.h"

#include "log.h"

#include <stdlib.h>

enum {
	/* Share of a target's connections that one gate may use. */
	GATE_SHARE_PERCENT = 60,
	GATE_CONNECTIONS_MIN = 2,
	/* The connections of an idle gate are closed after this time. */
	GATE_IDLE_S = 5,
};

static int always_may_serve(void *ctx, kb_time_t now)
{
	(void)ctx;
	(void)now;
	return 1;
}

static void on_target_event(void *ctx, kb_target_event_t event,
			    kb_point_t point)
{
	kb_proxy_gate_t *gate = ctx;

	kb_target_belief_on_event(&gate->belief, event, point,
				  kb_clock_monotonic(gate->proxy->clock));
}

/* Another target may serve what waits for one that does not answer. */
static void check_silence(kb_proxy_gate_t *gate, kb_time_t now)
{
	int silent = kb_target_belief_is_silent(&gate->belief, now);

	if (silent != gate->silent)
		kb_log(KB_EVENT_TARGET_SILENT, "target=%s silent=%d",
		       gate->target.data, silent);
	gate->silent = silent;
	if (silent)
		kb_link_pool_refuse_waiting(
			&gate->pool, KB_ERR_UNREACHABLE,
			"the target does not answer this host");
}

static const kb_link_pool_ops_t pool_ops = {
	.may_serve = always_may_serve,
	.on_target_event = on_target_event,
};

static kb_proxy_gate_t *find_gate(const kb_proxy_t *proxy, kb_str_t target)
{
	kb_proxy_gate_t *gate = NULL;

	HASH_FIND(by_target, proxy->gates_by_target, target.data, target.len,
		  gate);
	return gate;
}

static kb_proxy_gate_t *get_gate(kb_proxy_t *proxy,
				 const kb_target_entry_t *target)
{
	kb_proxy_gate_t *gate =
		find_gate(proxy, kb_name_str(&target->place.target));
	kb_proxy_gate_t **gates;

	if (gate)
		return gate;
	gates = reallocarray(proxy->gates, proxy->gate_count + 1,
			     sizeof(*gates));
	if (!gates)
		return NULL;
	proxy->gates = gates;
	gate = calloc(1, sizeof(*gate));
	if (!gate)
		return NULL;
	gate->proxy = proxy;
	gate->target = target->place.target;
	kb_link_pool_init(&gate->pool, &pool_ops, gate, proxy->setup.connector,
			  proxy->clock, kb_rng_next(&proxy->rng) >> 1);
	kb_pace_init(&gate->pool.pace, proxy->setup.settings->pace);
	gates[proxy->gate_count++] = gate;
	HASH_ADD_KEYPTR(by_target, proxy->gates_by_target, gate->target.data,
			gate->target.len, gate);
	return gate;
}

/* Connections that one gate may hold; a target may have several gates. */
static unsigned connection_limit(const kb_proxy_t *proxy,
				 const kb_target_entry_t *target)
{
	const kb_group_limits_t *limits = kb_databases_group(
		&proxy->databases, kb_name_str(&target->place.group));
	unsigned share =
		limits ? limits->connections * GATE_SHARE_PERCENT / 100 : 0;

	return share > GATE_CONNECTIONS_MIN ? share : GATE_CONNECTIONS_MIN;
}

/* Refuses a statement that the target would not run. */
static void refuse(kb_proxy_gate_t *gate, kb_target_verdict_t verdict,
		   kb_run_done_fn_t *done, void *ctx)
{
	kbs_run_res res = { .result = KB_ERR_UNREACHABLE };

	if (verdict == KB_TARGET_LAGS) {
		res.result = KB_ERR_NOT_FRESH;
		res.point = kb_point_to(gate->belief.position);
	}
	gate->proxy->stats.refused_by_gates++;
	kb_link_pool_load(&gate->pool, &res.load);
	done(ctx, &res);
}

void kb_proxy_gate_run(kb_proxy_t *proxy, const kb_target_entry_t *target,
		       const kbs_run_args *args, kb_run_done_fn_t *done,
		       void *ctx)
{
	kb_proxy_gate_t *gate = get_gate(proxy, target);
	kb_target_verdict_t verdict = KB_TARGET_SEND;

	if (!gate || (target->leaving && !args->transaction)) {
		kbs_run_res res = { .result = KB_ERR_DRAINING };

		done(ctx, &res);
		return;
	}
	gate->used_at = kb_clock_monotonic(proxy->clock);
	kb_link_pool_bind(&gate->pool, &target->place, target->slots,
			  connection_limit(proxy, target));
	if (!args->transaction)
		verdict = kb_target_belief_judge(&gate->belief,
						 kb_point_from(args->include),
						 gate->used_at);
	if (verdict != KB_TARGET_SEND) {
		refuse(gate, verdict, done, ctx);
		return;
	}
	kb_link_pool_run(&gate->pool, args, done, ctx);
}

void kb_proxy_gate_free(kb_proxy_gate_t *gate)
{
	kb_link_pool_finish(&gate->pool);
	free(gate);
}

/*
 * Whether the target has become the primary. Its holder needs the connections
 * that the gate no longer uses.
 */
static int serves_primary(const kb_proxy_gate_t *gate)
{
	const kb_proxy_t *proxy = gate->proxy;
	const kb_target_entry_t *target = kb_target_list_find(
		&proxy->targets, kb_name_str(&gate->target));
	const kb_proxy_group_t *group;

	if (!target)
		return 0;
	if (target->reports_primary)
		return 1;
	group = kb_proxy_group_find(proxy, kb_name_str(&target->place.group));
	return group && kb_name_is(&group->primary, kb_name_str(&gate->target));
}

void kb_proxy_gates_tick(kb_proxy_t *proxy, kb_time_t now)
{
	for (size_t i = 0; i < proxy->gate_count; i++) {
		kb_proxy_gate_t *gate = proxy->gates[i];

		kb_link_pool_tick(&gate->pool);
		check_silence(gate, now);
		if (gate->pool.conns &&
		    (now - gate->used_at > GATE_IDLE_S * KB_NS_PER_S ||
		     serves_primary(gate)))
			kb_link_pool_close_idle(&gate->pool);
	}
	for (size_t i = 0; i < proxy->gate_count; i++) {
		kb_proxy_gate_t *gate = proxy->gates[i];

		if (gate->pool.conns || gate->pool.jobs ||
		    now - gate->used_at <= GATE_IDLE_S * KB_NS_PER_S)
			continue;
		proxy->gates[i--] = proxy->gates[--proxy->gate_count];
		if (proxy->gates_by_target)
			HASH_DELETE(by_target, proxy->gates_by_target, gate);
		kb_proxy_gate_free(gate);
	}
}

kb_host_t *kb_proxy_gate_host(kb_proxy_t *proxy,
			      const kb_target_entry_t *target, kb_time_t now)
{
	kb_host_ranking_subject_t subject = {
		.key = kb_name_str(&target->place.target),
		.data_centre = kb_name_str(&target->data_centre),
		.region = kb_settings_region(proxy->setup.settings,
					     &target->data_centre),
	};
	kb_proxy_load_t *load = kb_proxy_load_get(proxy, subject.key);

	if (!load)
		return NULL;
	kb_host_ranking_update(&load->gates, &proxy->hosts, &subject);
	for (size_t i = 0; i < load->gates.count; i++)
		if (kb_proxy_host_usable(load->gates.hosts[i], now))
			return load->gates.hosts[i];
	return NULL;
}

kb_proxy_load_t *kb_proxy_load_get(kb_proxy_t *proxy, kb_str_t target)
{
	kb_proxy_load_t *load = NULL;

	HASH_FIND(by_target, proxy->loads, target.data, target.len, load);
	if (load)
		return load;
	load = calloc(1, sizeof(*load));
	if (!load)
		return NULL;
	if (kb_name_set(&load->target, target)) {
		free(load);
		return NULL;
	}
	HASH_ADD_KEYPTR(by_target, proxy->loads, load->target.data,
			load->target.len, load);
	return load;
}

void kb_proxy_loads_finish(kb_proxy_t *proxy)
{
	kb_proxy_load_t *load = proxy->loads;

	/* Frees the table only; the entries stay linked. */
	HASH_CLEAR(by_target, proxy->loads);
	while (load) {
		kb_proxy_load_t *next = load->by_target.next;

		free(load);
		load = next;
	}
}
