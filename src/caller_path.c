#include "caller_path.h"

#include <stdio.h>

#define PARTS_MAX 6
#define PATH_BYTES 128
#define PREFIX "/v1/groups/"

/* The parts of a path after the group. "*" is the name of a transaction. */
typedef struct route {
	const char *parts[3];
	kbx_action action;
	int has_body;
} route_t;

static const route_t routes[] = {
	{ { "statements", NULL, NULL }, KBX_ACTION_WRITE, 1 },
	{ { "transactions", NULL, NULL }, KBX_ACTION_BEGIN, 0 },
	{ { "transactions", "*", "statements" }, KBX_ACTION_STATEMENT, 1 },
	{ { "transactions", "*", "commit" }, KBX_ACTION_COMMIT, 0 },
	{ { "transactions", "*", "rollback" }, KBX_ACTION_ROLLBACK, 0 },
};

static size_t split(kb_str_t path, kb_str_t parts[PARTS_MAX])
{
	size_t count = 0;

	while (count < PARTS_MAX) {
		const char *slash = memchr(path.data, '/', path.len);
		size_t len = slash ? (size_t)(slash - path.data) : path.len;

		parts[count++] = (kb_str_t){ path.data, len };
		if (!slash)
			return count;
		path.data += len + 1;
		path.len -= len + 1;
	}
	return 0;
}

static int matches(const route_t *route, const kb_str_t *parts, size_t count,
		   kb_str_t *transaction)
{
	for (size_t i = 0; i < sizeof(route->parts) / sizeof(route->parts[0]);
	     i++) {
		const char *expected = route->parts[i];

		if (!expected)
			return i == count;
		if (i >= count)
			return 0;
		if (!strcmp(expected, "*"))
			*transaction = parts[i];
		else if (!kb_str_equal(parts[i], kb_str_from(expected)))
			return 0;
	}
	return count == sizeof(route->parts) / sizeof(route->parts[0]);
}

kb_result_t kb_caller_path_parse(kb_str_t path, kb_caller_path_t *parsed)
{
	kb_str_t parts[PARTS_MAX];
	size_t prefix = sizeof(PREFIX) - 1;
	size_t count;

	if (path.len <= prefix || memcmp(path.data, PREFIX, prefix))
		return KB_ERR_NOT_FOUND;
	path.data += prefix;
	path.len -= prefix;
	count = split(path, parts);
	if (count < 2 || !parts[0].len || parts[0].len > KB_NAME_MAX_BYTES)
		return KB_ERR_NOT_FOUND;
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		parsed->transaction = KB_STR("");
		if (!matches(&routes[i], parts + 1, count - 1,
			     &parsed->transaction))
			continue;
		parsed->group = parts[0];
		parsed->action = routes[i].action;
		parsed->has_body = routes[i].has_body;
		return KB_OK;
	}
	return KB_ERR_NOT_FOUND;
}

static void format_path(const route_t *route, char path[PATH_BYTES])
{
	int len = snprintf(path, PATH_BYTES, PREFIX "{group}");

	for (size_t i = 0; i < sizeof(route->parts) / sizeof(route->parts[0]) &&
			   route->parts[i];
	     i++)
		len += snprintf(path + len, PATH_BYTES - (size_t)len, "/%s",
				strcmp(route->parts[i], "*") ? route->parts[i]
							     : "{transaction}");
}

void kb_caller_path_each(kb_caller_path_fn_t *fn, void *ctx)
{
	char path[PATH_BYTES];

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		format_path(&routes[i], path);
		fn(ctx, path, "post");
	}
	fn(ctx, "/healthz", "get");
	fn(ctx, "/metrics", "get");
}
