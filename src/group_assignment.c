#include "group_assignment.h"

void kb_group_assignment_find(const kb_placements_t *placements,
			      const kb_hosts_t *hosts,
			      const kb_group_placement_t *group,
			      kb_group_assignment_t *duties)
{
	const kb_member_t *members[KB_WATCHERS_MAX];
	size_t count = kb_placements_watchers(placements, group, members);

	memset(duties, 0, sizeof(*duties));
	for (size_t i = 0; i < count; i++) {
		kb_host_t *host =
			kb_hosts_find(hosts, kb_member_name(members[i]));

		if (host)
			duties->watchers[duties->watcher_count++] = host;
	}
	while (duties->rank < duties->watcher_count &&
	       !duties->watchers[duties->rank]->self)
		duties->rank++;
	duties->wanted = duties->rank < duties->watcher_count;
	for (size_t i = 0; i < group->spec.target_count; i++) {
		const kb_member_t *gate =
			kb_placements_gate(placements, group, i);

		duties->is_gate[i] = kb_placements_is_self(placements, gate);
		duties->wanted |= duties->is_gate[i];
	}
}
