#include "databases.h"

#include <stdlib.h>

void kb_databases_finish(kb_databases_t *databases)
{
	free(databases->databases);
	free(databases->groups);
	kb_teams_finish(&databases->teams);
	memset(databases, 0, sizeof(*databases));
}

static int compare(const void *a, const void *b)
{
	const kb_database_t *x = a;
	const kb_database_t *y = b;

	return kb_str_compare(kb_name_str(&x->name), kb_name_str(&y->name));
}

void kb_databases_sort(kb_databases_t *databases)
{
	if (databases->database_count)
		qsort(databases->databases, databases->database_count,
		      sizeof(*databases->databases), compare);
}

int kb_databases_replace(kb_databases_t *databases, kb_databases_t *next)
{
	if (databases->version && next->version <= databases->version) {
		kb_databases_finish(next);
		return 0;
	}
	kb_databases_finish(databases);
	*databases = *next;
	memset(next, 0, sizeof(*next));
	return 1;
}

const kb_database_t *kb_databases_find(const kb_databases_t *databases,
				       kb_str_t name)
{
	kb_database_t key;

	if (!databases->database_count || kb_name_set(&key.name, name))
		return NULL;
	return bsearch(&key, databases->databases, databases->database_count,
		       sizeof(key), compare);
}

const kb_group_limits_t *kb_databases_group(const kb_databases_t *databases,
					    kb_str_t group)
{
	for (size_t i = 0; i < databases->group_count; i++)
		if (kb_name_is(&databases->groups[i].group, group))
			return &databases->groups[i];
	return NULL;
}
