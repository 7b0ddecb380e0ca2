#include "class_defaults.h"

#define NAME(literal)                        \
	{                                    \
		sizeof(literal) - 1, literal \
	}
#define SECONDS(count) ((count)*KB_NS_PER_S)
#define MILLISECONDS(count) ((count)*KB_NS_PER_MS)

static const kb_traffic_class_t classes[] = {
	/* The deadline is long enough for a failover. */
	{ NAME("critical"), 8, 256, SECONDS(10), 0 },
	{ NAME("interactive"), 8, 128, SECONDS(3), 0 },
	{ NAME("refresh"), 4, 64, SECONDS(2), 0 },
	{ NAME("browse"), 2, 64, SECONDS(5), 0 },
	{ NAME("bulk"), 1, 32, SECONDS(30), 1 },
};

static const kb_read_kind_t read_kinds[] = {
	{ NAME("current"), 0, NAME("interactive") },
	{ NAME("refresh"), MILLISECONDS(500), NAME("refresh") },
	{ NAME("browse"), SECONDS(5), NAME("browse") },
	{ NAME("bulk"), SECONDS(10), NAME("bulk") },
};

const kb_traffic_class_t *kb_class_defaults(size_t *count)
{
	*count = sizeof(classes) / sizeof(classes[0]);
	return classes;
}

const kb_read_kind_t *kb_read_kind_defaults(size_t *count)
{
	*count = sizeof(read_kinds) / sizeof(read_kinds[0]);
	return read_kinds;
}
