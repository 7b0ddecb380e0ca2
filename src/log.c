#include "log.h"

#include <inttypes.h>
#include <jansson.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_CATEGORY "kumquatbridge"
#define LOG_FIELDS_MAX_BYTES 1024

enum {
	/* Rate and burst of the token bucket that limits the lines. */
	LOG_LINES_PER_S = 100,
	LOG_LINES_BURST = 400,
	/* PIPE_BUF: a pipe accepts a line of up to this size at once, or
	 * poll() reports that it is full. */
	LOG_LINE_MAX_BYTES = 4096,
};

static const kb_event_info_t catalogue[] = {
#define KB_EVENT(number, name, level, text) \
	{ KB_EVENT_##name, #name, KB_LOG_##level, text },
#include "log_events.h"
#undef KB_EVENT
};

static log4c_category_t *category;
static const char *log_host;

static const int priorities[] = {
	[KB_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
	[KB_LOG_INFO] = LOG4C_PRIORITY_INFO,
	[KB_LOG_WARN] = LOG4C_PRIORITY_WARN,
	[KB_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *const level_names[] = {
	[KB_LOG_DEBUG] = "debug",
	[KB_LOG_INFO] = "info",
	[KB_LOG_WARN] = "warn",
	[KB_LOG_ERROR] = "error",
};

const kb_event_info_t *kb_log_catalogue(size_t *count)
{
	*count = sizeof(catalogue) / sizeof(catalogue[0]);
	return catalogue;
}

static const kb_event_info_t *find_event(kb_event_t event)
{
	for (size_t i = 0; i < sizeof(catalogue) / sizeof(catalogue[0]); i++)
		if (catalogue[i].event == event)
			return &catalogue[i];
	return NULL;
}

kb_result_t kb_log_level_parse(const char *text, kb_log_level_t *level)
{
	for (int i = KB_LOG_DEBUG; i <= KB_LOG_ERROR; i++) {
		if (!strcmp(text, level_names[i])) {
			*level = (kb_log_level_t)i;
			return KB_OK;
		}
	}
	return KB_ERR_INVALID;
}

/* The token bucket, and the lines dropped since the last one written. */
static double tokens = LOG_LINES_BURST;
static kb_time_t refilled_at;
static uint64_t suppressed;

/* Takes a token; returns zero if the rate limit is exceeded. */
static int take_token(void)
{
	struct timespec time;
	kb_time_t now;

	clock_gettime(CLOCK_MONOTONIC, &time);
	now = time.tv_sec * KB_NS_PER_S + time.tv_nsec;
	tokens += (double)(now - refilled_at) / (double)KB_NS_PER_S *
		  LOG_LINES_PER_S;
	refilled_at = now;
	if (tokens > LOG_LINES_BURST)
		tokens = LOG_LINES_BURST;
	if (tokens < 1)
		return 0;
	tokens--;
	return 1;
}

/* Writes a line, or drops it if that would block. */
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	struct pollfd room = { .fd = STDOUT_FILENO, .events = POLLOUT };
	char line[LOG_LINE_MAX_BYTES];
	int len;

	(void)appender;
	len = snprintf(line, sizeof(line), "%s\n", event->evt_msg);
	if (len < 0 || len >= (int)sizeof(line) || poll(&room, 1, 0) != 1 ||
	    !(room.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, (size_t)len) != len) {
		suppressed++;
		return -1;
	}
	return len;
}

static const log4c_appender_type_t line_appender = {
	.name = "kumquatbridge_lines",
	.append = append_line,
};

kb_result_t kb_log_init(const char *host, kb_log_level_t level)
{
	log4c_appender_t *appender;

	category = log4c_category_get(LOG_CATEGORY);
	if (!category)
		return KB_ERR_IO;
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("kumquatbridge_stdout");
	if (!appender)
		return KB_ERR_IO;
	log4c_appender_set_type(appender, &line_appender);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priorities[level]);
	log_host = host;
	return KB_OK;
}

void kb_log_finish(void)
{
	category = NULL;
	log4c_fini();
}

static void add_fields(json_t *line, char *fields)
{
	char *save = NULL;

	for (char *pair = strtok_r(fields, " ", &save); pair;
	     pair = strtok_r(NULL, " ", &save)) {
		char *equals = strchr(pair, '=');

		if (!equals)
			continue;
		*equals = 0;
		json_object_set_new(line, pair, json_string(equals + 1));
	}
}

static void write_event(const kb_event_info_t *info, char *fields)
{
	struct timespec now;
	json_t *line;
	char *text;

	clock_gettime(CLOCK_REALTIME, &now);
	line = json_pack("{s:f,s:s,s:s,s:i,s:s,s:s}", "time",
			 (double)now.tv_sec + (double)now.tv_nsec / 1e9, "host",
			 log_host, "level", level_names[info->level], "event",
			 (int)info->event, "name", info->name, "text",
			 info->text);
	if (!line)
		return;
	add_fields(line, fields);
	text = json_dumps(line, JSON_COMPACT);
	if (text)
		log4c_category_log(category, priorities[info->level], "%s",
				   text);
	free(text);
	json_decref(line);
}

/* Logs how many lines were dropped since the last one written. */
static void log_suppressed(void)
{
	char fields[LOG_FIELDS_MAX_BYTES];
	uint64_t count = suppressed;

	suppressed = 0;
	snprintf(fields, sizeof(fields), "lines=%" PRIu64, count);
	write_event(find_event(KB_EVENT_LOG_SUPPRESSED), fields);
}

void kb_log(kb_event_t event, const char *format, ...)
{
	const kb_event_info_t *info = find_event(event);
	char fields[LOG_FIELDS_MAX_BYTES];
	va_list args;

	if (!category || !info ||
	    !log4c_category_is_priority_enabled(category,
						priorities[info->level]))
		return;
	if (!take_token()) {
		suppressed++;
		return;
	}
	if (suppressed)
		log_suppressed();
	va_start(args, format);
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	write_event(info, fields);
}
