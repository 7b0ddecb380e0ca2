#ifndef KB_TARGET_NAMES_H
#define KB_TARGET_NAMES_H

#include "str.h"

KB_BEGIN_DECLS

enum {
	/* Targets of a group. */
	KB_TARGET_NAMES_MAX = 16,
};

/* Names of targets, each once. */
typedef struct kb_target_names {
	size_t count;
	kb_name_t names[KB_TARGET_NAMES_MAX];
} kb_target_names_t;

int kb_target_names_contain(const kb_target_names_t *names,
			    const kb_name_t *target);

/* Adds a target unless it is contained or there are too many. */
void kb_target_names_add(kb_target_names_t *names, const kb_name_t *target);

/* Whether both contain the same targets, in any order. */
int kb_target_names_equal(const kb_target_names_t *a,
			  const kb_target_names_t *b);

KB_END_DECLS

#endif
