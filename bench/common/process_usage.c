#include "process_usage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { PATH_BYTES = 64, LINE_BYTES = 1024, DECIMAL = 10 };

static const double us_per_s = 1e6;

int process_list_parse(process_list_t *list, const char *text)
{
	list->count = 0;
	while (*text) {
		char *end;
		long pid = strtol(text, &end, DECIMAL);

		if (end == text || pid <= 0 || list->count == PROCESS_USAGE_MAX)
			return -1;
		list->pids[list->count++] = (int)pid;
		if (*end && *end != ',')
			return -1;
		text = *end ? end + 1 : end;
	}
	return list->count ? 0 : -1;
}

/* Reads the first line of /proc/PID/NAME. Returns 0 or -1. */
static int read_line(int pid, const char *name, char *line, int size)
{
	char path[PATH_BYTES];
	FILE *file;
	char *got;

	snprintf(path, sizeof(path), "/proc/%d/%s", pid, name);
	file = fopen(path, "r");
	if (!file)
		return -1;
	got = fgets(line, size, file);
	fclose(file);
	return got ? 0 : -1;
}

double process_cpu_us(int pid)
{
	char line[LINE_BYTES];
	unsigned long user, system;
	const char *rest;

	if (read_line(pid, "stat", line, sizeof(line)))
		return -1;
	/* The command name may itself contain parentheses. */
	rest = strrchr(line, ')');
	if (!rest || sscanf(rest + 1,
			    " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u"
			    " %lu %lu",
			    &user, &system) != 2)
		return -1;
	return (double)(user + system) * us_per_s /
	       (double)sysconf(_SC_CLK_TCK);
}

double process_resident_bytes(int pid)
{
	char line[LINE_BYTES];
	unsigned long pages;

	if (read_line(pid, "statm", line, sizeof(line)) ||
	    sscanf(line, "%*u %lu", &pages) != 1)
		return -1;
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}
