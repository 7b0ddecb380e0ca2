#include "show.h"

#include <stdlib.h>
#include <string.h>

enum {
	JSON_STYLE = JSON_INDENT(2),
	KIND_WIDTH = 14,
	NAME_WIDTH = 20,
	NUMBER_WIDTH = 10,
	IN_FORCE_WIDTH = 10,
	BY_WIDTH = 12,
	TIME_WIDTH = 21,
	CELL_WIDTH = 16,
};

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static long long number_of(const json_t *object, const char *name)
{
	return (long long)json_integer_value(json_object_get(object, name));
}

void ctl_show_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_STYLE);
	putchar('\n');
}

static void print_missing(FILE *out, const json_t *status)
{
	const json_t *missing = json_object_get(status, "missing");
	long long more = number_of(status, "hosts") -
			 number_of(status, "inForce") -
			 (long long)json_array_size(missing);
	const char *separator = "";
	size_t i;
	json_t *name;

	json_array_foreach(missing, i, name)
	{
		fprintf(out, "%s%s", separator, json_string_value(name));
		separator = ", ";
	}
	if (more > 0)
		fprintf(out, "%s%lld more", separator, more);
}

void ctl_show_status(FILE *out, const json_t *status)
{
	fprintf(out, "%lld of %lld", number_of(status, "inForce"),
		number_of(status, "hosts"));
	if (number_of(status, "inForce") < number_of(status, "hosts")) {
		fprintf(out, ", missing ");
		print_missing(out, status);
	}
}

static void show_resource(const json_t *resource)
{
	const json_t *status = json_object_get(resource, "status");
	const json_t *change = json_object_get(resource, "change");
	char in_force[CELL_WIDTH * 2];

	snprintf(in_force, sizeof(in_force), "%lld/%lld",
		 number_of(status, "inForce"), number_of(status, "hosts"));
	printf("%-*s %-*s %*lld %-*s %-*s %-*s ", KIND_WIDTH,
	       text_of(resource, "kind"), NAME_WIDTH, text_of(resource, "name"),
	       NUMBER_WIDTH, number_of(resource, "revision"), IN_FORCE_WIDTH,
	       in_force, BY_WIDTH, text_of(change, "by"), TIME_WIDTH,
	       text_of(change, "at"));
	print_missing(stdout, status);
	putchar('\n');
}

void ctl_show_resources(const json_t *resources)
{
	json_t *resource;
	size_t i;

	printf("%-*s %-*s %*s %-*s %-*s %-*s %s\n", KIND_WIDTH, "KIND",
	       NAME_WIDTH, "NAME", NUMBER_WIDTH, "REVISION", IN_FORCE_WIDTH,
	       "IN FORCE", BY_WIDTH, "CHANGED BY", TIME_WIDTH, "AT", "MISSING");
	json_array_foreach(resources, i, resource) show_resource(resource);
}

static void show_cell(const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		printf("%-*s ", CELL_WIDTH, json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	printf("%-*s ", CELL_WIDTH, text ? text : "");
	free(text);
}

static void show_rows(const char *title, const json_t *rows)
{
	json_t *first = json_array_get(rows, 0);
	const char *column;
	json_t *value;
	json_t *row;
	size_t i;

	printf("%s:\n", title);
	json_object_foreach(first, column, value)
		printf("%-*s ", CELL_WIDTH, column);
	putchar('\n');
	json_array_foreach(rows, i, row)
	{
		json_object_foreach(first, column, value)
			show_cell(json_object_get(row, column));
		putchar('\n');
	}
}

void ctl_show_report(const json_t *report)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)report, name, value)
	{
		if (json_is_object(json_array_get(value, 0))) {
			show_rows(name, value);
			continue;
		}
		printf("%s: ", name);
		show_cell(value);
		putchar('\n');
	}
}

void ctl_show_event(const json_t *event)
{
	const json_t *resource = json_object_get(event, "resource");
	const json_t *subject = resource ? resource : event;
	const json_t *status = json_object_get(subject, "status");
	const char *by = text_of(json_object_get(resource, "change"), "by");

	printf("%*lld %-8s %s/%s", NUMBER_WIDTH, number_of(event, "revision"),
	       text_of(event, "type"), text_of(subject, "kind"),
	       text_of(subject, "name"));
	if (*by)
		printf(" by %s", by);
	if (status) {
		printf(", in force on ");
		ctl_show_status(stdout, status);
	}
	putchar('\n');
	fflush(stdout);
}
