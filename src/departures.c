#include "departures.h"

kb_departure_t *kb_departures_find(kb_departures_t *departures,
				   const kb_name_t *target)
{
	for (size_t i = 0; i < departures->count; i++)
		if (kb_name_is(&departures->departures[i].target,
			       kb_name_str(target)))
			return &departures->departures[i];
	return NULL;
}

kb_departure_t *kb_departures_add(kb_departures_t *departures,
				  const kb_name_t *target)
{
	kb_departure_t *departure = kb_departures_find(departures, target);

	if (departure || departures->count == KB_DEPARTURES_MAX)
		return departure;
	departure = &departures->departures[departures->count++];
	*departure = (kb_departure_t){ .target = *target };
	return departure;
}

void kb_departures_remove(kb_departures_t *departures, const kb_name_t *target)
{
	size_t kept = 0;

	for (size_t i = 0; i < departures->count; i++) {
		const kb_departure_t *departure = &departures->departures[i];

		if (!kb_name_is(&departure->target, kb_name_str(target)))
			departures->departures[kept++] = *departure;
	}
	departures->count = kept;
}

static int is_equal(const kb_departure_t *a, const kb_departure_t *b)
{
	return kb_name_is(&a->target, kb_name_str(&b->target)) &&
	       kb_endpoint_equal(&a->endpoint, &b->endpoint) &&
	       a->started_at_ms == b->started_at_ms &&
	       kb_name_is(&a->heir, kb_name_str(&b->heir));
}

int kb_departures_equal(const kb_departures_t *a, const kb_departures_t *b)
{
	if (a->count != b->count || a->truncated != b->truncated)
		return 0;
	for (size_t i = 0; i < a->count; i++)
		if (!is_equal(&a->departures[i], &b->departures[i]))
			return 0;
	return 1;
}
