#ifndef GROUP_INDEX_H
#define GROUP_INDEX_H

#include "proxy_internal.h"

/* Lets kb_proxy_group_find() find a group that a test made itself. */
inline void index_group(kb_proxy_t *proxy, kb_proxy_group_t *group)
{
	HASH_ADD_KEYPTR(by_name, proxy->groups_by_name, group->name.data,
			group->name.len, group);
}

/* To be called before the groups are freed. */
inline void clear_group_index(kb_proxy_t *proxy)
{
	HASH_CLEAR(by_name, proxy->groups_by_name);
}

#endif
