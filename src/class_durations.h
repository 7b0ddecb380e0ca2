#ifndef KB_CLASS_DURATIONS_H
#define KB_CLASS_DURATIONS_H

#include "str.h"

KB_BEGIN_DECLS

#define KB_CLASS_DURATIONS_MAX 32

/* Number and total time of the requests of one traffic class. */
typedef struct kb_class_duration {
	kb_name_t traffic_class;
	uint64_t count;
	kb_time_t total;
} kb_class_duration_t;

/* Durations of requests by traffic class; zero-initialized it is empty. */
typedef struct kb_class_durations {
	size_t count;
	kb_class_duration_t classes[KB_CLASS_DURATIONS_MAX];
} kb_class_durations_t;

/* Adds a request; classes beyond KB_CLASS_DURATIONS_MAX are ignored. */
void kb_class_durations_add(kb_class_durations_t *durations,
			    kb_str_t traffic_class, kb_time_t duration);

KB_END_DECLS

#endif
