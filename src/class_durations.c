#include "class_durations.h"

static kb_class_duration_t *find(kb_class_durations_t *durations, kb_str_t name)
{
	kb_class_duration_t *found;

	for (size_t i = 0; i < durations->count; i++)
		if (kb_name_is(&durations->classes[i].traffic_class, name))
			return &durations->classes[i];
	if (durations->count == KB_CLASS_DURATIONS_MAX)
		return NULL;
	found = &durations->classes[durations->count];
	if (kb_name_set(&found->traffic_class, name))
		return NULL;
	durations->count++;
	return found;
}

void kb_class_durations_add(kb_class_durations_t *durations,
			    kb_str_t traffic_class, kb_time_t duration)
{
	kb_class_duration_t *found = find(durations, traffic_class);

	if (!found)
		return;
	found->count++;
	found->total += duration;
}
