#ifndef KB_LOG_H
#define KB_LOG_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

typedef enum kb_log_level {
	KB_LOG_DEBUG,
	KB_LOG_INFO,
	KB_LOG_WARN,
	KB_LOG_ERROR,
} kb_log_level_t;

/* Numbers of the log events. */
typedef enum kb_event {
#define KB_EVENT(number, name, level, text) KB_EVENT_##name = number,
#include "log_events.h"
#undef KB_EVENT
} kb_event_t;

/* An entry of the catalogue of events. */
typedef struct kb_event_info {
	kb_event_t event;
	const char *name;
	kb_log_level_t level;
	const char *text;
} kb_event_info_t;

/* Returns the catalogue and sets `*count`. */
const kb_event_info_t *kb_log_catalogue(size_t *count);

/*
 * Starts logging to standard output at `level` and above, with `host` in each
 * line. Returns KB_ERR_IO if the log library cannot be initialized.
 */
kb_result_t kb_log_init(const char *host, kb_log_level_t level);

/* Ends logging. */
void kb_log_finish(void);

/* Parses "debug", "info", "warn" or "error". */
kb_result_t kb_log_level_parse(const char *text, kb_log_level_t *level);

/*
 * Writes one event as a line of JSON. `format` gives its fields as key=value
 * pairs separated by spaces and may be "". Before kb_log_init() nothing is
 * written. Lines above the rate limit, or that would block on standard output,
 * are dropped; a LOG_SUPPRESSED event before the next line counts them.
 */
void kb_log(kb_event_t event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

KB_END_DECLS

#endif
