#include "copies.h"

static kb_copy_t *find(kb_copies_t *copies, const kb_name_t *target)
{
	for (size_t i = 0; i < copies->count; i++)
		if (kb_name_is(&copies->copies[i].target, kb_name_str(target)))
			return &copies->copies[i];
	return NULL;
}

static kb_copy_t *add(kb_copies_t *copies, const kb_name_t *target)
{
	kb_copy_t *copy = find(copies, target);

	if (copy || copies->count == KB_TARGET_NAMES_MAX)
		return copy;
	copy = &copies->copies[copies->count++];
	memset(copy, 0, sizeof(*copy));
	copy->target = *target;
	return copy;
}

void kb_copies_add(kb_copies_t *copies, const kb_target_names_t *names,
		   kb_time_t now)
{
	for (size_t i = 0; i < names->count; i++) {
		if (find(copies, &names->names[i]))
			continue;
		kb_copy_t *copy = add(copies, &names->names[i]);

		if (copy)
			copy->missing_since = now;
	}
}

/* Whether the copy no longer counts. */
static int is_gone(const kb_copy_t *copy, kb_time_t now)
{
	return copy->missing_since &&
	       (copy->leaving || now - copy->missing_since >=
					 KB_COPIES_MISSING_MAX_S * KB_NS_PER_S);
}

void kb_copies_sync(kb_copies_t *copies, const kb_target_list_t *targets,
		    kb_str_t group, kb_time_t now)
{
	size_t kept = 0;

	for (const kb_target_entry_t *entry =
		     kb_target_list_first(targets, group);
	     entry; entry = kb_target_list_next(entry)) {
		kb_copy_t *copy = add(copies, &entry->place.target);

		if (!copy)
			continue;
		copy->leaving = entry->leaving;
		copy->missing_since = 0;
	}
	for (size_t i = 0; i < copies->count; i++) {
		kb_copy_t *copy = &copies->copies[i];

		if (!copy->missing_since &&
		    !kb_target_list_find(targets, kb_name_str(&copy->target)))
			copy->missing_since = now;
		if (!is_gone(copy, now))
			copies->copies[kept++] = *copy;
	}
	copies->count = kept;
}

size_t kb_copies_missing(const kb_copies_t *copies)
{
	size_t missing = 0;

	for (size_t i = 0; i < copies->count; i++)
		missing += copies->copies[i].missing_since != 0;
	return missing;
}

void kb_copies_names(const kb_copies_t *copies, kb_target_names_t *names)
{
	names->count = 0;
	for (size_t i = 0; i < copies->count; i++)
		kb_target_names_add(names, &copies->copies[i].target);
}
