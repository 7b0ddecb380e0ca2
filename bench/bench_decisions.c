#include "load/admission.h"
#include "freshness.h"
#include "load/pool.h"
#include "route.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>

/* Measures the time and memory of each decision on the data path. */

enum {
	ROUNDS = 200000,
	TARGETS = 3,
	CALLERS = 20,
	DEPTH = 40,
};

static kb_clock_t system_clock;
static const char *separator = "";

static void report(const char *name, kb_time_t began, unsigned rounds,
		   size_t bytes)
{
	kb_time_t took = kb_clock_monotonic(&system_clock) - began;
	double each = (double)took / (double)rounds;

	fprintf(stderr, "%-34s %9.0f ns %8zu bytes\n", name, each, bytes);
	printf("%s{\"name\":\"%s\",\"ns\":%.0f,\"bytes\":%zu}", separator, name,
	       each, bytes);
	separator = ",";
}

static void check(kb_result_t result)
{
	if (!result)
		return;
	fprintf(stderr, "%s\n", kb_strerror(result));
	exit(1);
}

static void measure_token(size_t groups)
{
	static const char secret[] = "000102030405060708090a0b0c0d0e0f"
				     "101112131415161718191a1b1c1d1e1f";
	kb_str_t caller = KB_STR("caller");
	char text[KB_TOKEN_MAX_CHARS], name[64];
	kb_token_keyring_t ring;
	kb_session_t session = { 0 };
	size_t len = 0;
	kb_time_t began;

	check(kb_token_keyring_init(&ring));
	check(kb_token_keyring_add(&ring, 1, kb_str_from(secret)));
	for (size_t i = 0; i < groups; i++) {
		snprintf(name, sizeof(name), "group-%zu", i);
		check(kb_session_update(&session, kb_str_from(name),
					(kb_point_t){ 7, 123456789 }));
	}
	began = kb_clock_monotonic(&system_clock);
	for (int i = 0; i < ROUNDS; i++)
		check(kb_token_encode(&ring, caller, &session, text,
				      sizeof(text), &len));
	snprintf(name, sizeof(name), "token encode, %zu groups", groups);
	report(name, began, ROUNDS, len);
	began = kb_clock_monotonic(&system_clock);
	for (int i = 0; i < ROUNDS; i++)
		check(kb_token_decode(&ring, caller, (kb_str_t){ text, len },
				      &session));
	snprintf(name, sizeof(name), "token decode, %zu groups", groups);
	report(name, began, ROUNDS, sizeof(session));
	kb_token_keyring_finish(&ring);
}

/* The entry that holds the only slot. */
static kb_admission_entry_t *running;

static void start(kb_admission_t *admission, kb_admission_entry_t *entry,
		  kb_time_t now)
{
	(void)admission;
	(void)now;
	running = entry;
}

static void refuse(kb_admission_t *admission, kb_admission_entry_t *entry,
		   kb_result_t result, kb_time_t now)
{
	(void)admission;
	(void)entry;
	(void)now;
	check(result);
}

static void submit(kb_admission_t *admission, kb_admission_entry_t *entry,
		   int number)
{
	char caller[32];

	snprintf(caller, sizeof(caller), "caller-%d", number % CALLERS);
	memset(entry, 0, sizeof(*entry));
	check(kb_name_set(&entry->caller, kb_str_from(caller)));
	check(kb_name_set(&entry->traffic_class, KB_STR("interactive")));
	entry->deadline = KB_TIME_NEVER;
	kb_admission_submit(admission, entry, 0);
}

static void measure_admission(void)
{
	static const kb_admission_ops_t ops = { start, refuse };
	static kb_admission_entry_t entries[DEPTH];
	kb_admission_limits_t limits = kb_admission_default_limits(1, 7);
	kb_traffic_class_t class = { .weight = 1, .queue_limit = DEPTH };
	kb_admission_t *admission = malloc(sizeof(*admission));
	kb_time_t began;

	if (!admission)
		check(KB_ERR_NO_MEMORY);
	kb_admission_init(admission, &ops, &limits);
	check(kb_name_set(&class.name, KB_STR("interactive")));
	check(kb_admission_set_class(admission, &class));
	for (int i = 0; i < DEPTH; i++)
		submit(admission, &entries[i], i);
	began = kb_clock_monotonic(&system_clock);
	for (int i = 0; i < ROUNDS; i++) {
		kb_admission_entry_t *ended = running;

		kb_admission_done(admission, ended, i);
		submit(admission, ended, i);
	}
	report("admission, 40 queued of 20 callers", began, ROUNDS,
	       sizeof(*admission));
	free(admission);
}

static void measure_route(void)
{
	kb_route_hint_t hints[TARGETS] = { 0 };
	kb_route_candidate_t candidates[TARGETS];
	kb_route_settings_t settings;
	kb_least_work_t policy;
	kb_route_requirements_t need = {
		.max_age = KB_NS_PER_S,
		.point = { 1, 90 },
		.deadline = KB_TIME_NEVER,
	};
	kb_time_t began;
	size_t target, sum = 0;

	kb_route_default_settings(&settings);
	kb_least_work_init(&policy);
	for (size_t i = 0; i < TARGETS; i++) {
		kb_route_view_t view = {
			.primary = !i,
			.applied = { 1, 100 },
			.age = KB_NS_PER_MS,
		};

		kb_route_hint_update(&hints[i], &view, 0);
		candidates[i] = (kb_route_candidate_t){
			.target = i,
			.hint = &hints[i],
			.slots = 2,
		};
	}
	began = kb_clock_monotonic(&system_clock);
	for (int i = 0; i < ROUNDS; i++) {
		kb_route_t route;

		kb_route_init(&route, &settings, &policy.policy, &need,
			      candidates, TARGETS, i);
		check(kb_route_next(&route, i, &target));
		sum += target;
	}
	report("route, 3 targets", began, ROUNDS,
	       sizeof(policy) + sizeof(hints));
	if (!sum)
		check(KB_ERR_INVALID);
}

static void measure_freshness(void)
{
	kb_freshness_t freshness;
	kb_report_t primary = { .term = 1, .role = KB_ROLE_PRIMARY };
	kb_report_t replica = { .term = 1, .received = ROUNDS };
	kb_time_t began;

	kb_freshness_init(&freshness);
	kb_history_append(&primary.history, 1, 1);
	kb_history_append(&replica.history, 1, 1);
	began = kb_clock_monotonic(&system_clock);
	for (int i = 1; i <= ROUNDS; i++) {
		primary.received = primary.applied = (uint64_t)i;
		kb_freshness_add_sample(&freshness, i * KB_NS_PER_MS, &primary,
					1);
	}
	report("freshness probe, samples full", began, ROUNDS,
	       sizeof(freshness));
	/* Worst case: the replica has only reached the oldest sample. */
	replica.applied = freshness.samples[0].point.position;
	began = kb_clock_monotonic(&system_clock);
	for (int i = 0; i < ROUNDS; i++)
		if (kb_freshness_as_of(&freshness, &replica) == KB_TIME_NEVER)
			check(KB_ERR_INVALID);
	report("freshness reached, worst case", began, ROUNDS,
	       sizeof(freshness));
}

int main(void)
{
	kb_clock_init_system(&system_clock);
	printf("{\"bench\":\"decisions\",\"rows\":[");
	measure_token(1);
	measure_token(KB_SESSION_MAX_GROUPS);
	measure_admission();
	measure_route();
	measure_freshness();
	printf("],\"poolBytes\":%zu}\n", sizeof(kb_pool_t));
	return 0;
}
