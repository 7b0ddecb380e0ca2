#include "settings.h"

#include "duration.h"
#include "settings_value.h"

#include <errno.h>
#include <ini.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	KEYS_SEEN_MAX = 1024,
	MESSAGE_MAX_BYTES = 160,
	KEY_MAX_BYTES = 160,
};

#define DEFAULT_BODY_BYTES (256 * 1024)
#define DEFAULT_ANSWER_BYTES (4 * 1024 * 1024)
#define DEFAULT_HEADER_BYTES (16 * 1024)
#define DEFAULT_REQUESTS 4096
#define DEFAULT_CALLER_REQUESTS 1024
#define DEFAULT_LIMITS_OVERAGE 0.1
#define DEFAULT_LIMITS_SLACK 20
#define DEFAULT_LINK_BYTES (2 * 1024 * 1024)

typedef struct load {
	kb_settings_t *settings;
	const char *file;
	FILE *stream;
	int line;
	kb_settings_fault_fn_t *fault;
	void *ctx;
	size_t faults;
	/* "section.key" of each key read so far, to detect duplicates. */
	size_t seen_count;
	char *seen[KEYS_SEEN_MAX];
} load_t;

static void report(load_t *load, int line, const char *key, const char *text)
{
	load->faults++;
	if (load->fault)
		load->fault(load->ctx, load->file, line, key, text);
}

/* Records the key. Returns non-zero if it was read before. */
static int record_key(load_t *load, const char *key)
{
	for (size_t i = 0; i < load->seen_count; i++)
		if (!strcmp(load->seen[i], key))
			return 1;
	if (load->seen_count < KEYS_SEEN_MAX) {
		load->seen[load->seen_count] = strdup(key);
		if (load->seen[load->seen_count])
			load->seen_count++;
	}
	return 0;
}

static char *read_line(char *buffer, int size, void *ctx)
{
	load_t *load = ctx;

	load->line++;
	return fgets(buffer, size, load->stream);
}

static int on_key(void *ctx, const char *section, const char *name,
		  const char *value)
{
	load_t *load = ctx;
	int line = load->line;
	char key[KEY_MAX_BYTES];
	const char *message;

	snprintf(key, sizeof(key), "%s.%s", section, name);
	if (record_key(load, key)) {
		report(load, line, key, "is given twice");
		return 1;
	}
	message = kb_settings_value_set(load->settings, section, name, value);
	if (message)
		report(load, line, key, message);
	return 1;
}

/* Checks the keys that a host with listen.sessions needs. */
static void check_sessions(load_t *load)
{
	const kb_settings_t *settings = load->settings;

	if (!settings->listen_hosts.port)
		report(load, 0, "listen.hosts", "is missing");
	if (!settings->listen_readiness.port)
		report(load, 0, "listen.readiness", "is missing");
	if (!settings->store.port)
		report(load, 0, "store.address", "is missing");
	if (!settings->orders.port)
		report(load, 0, "orders.address", "is missing");
}

static void check_complete(load_t *load)
{
	const kb_settings_t *settings = load->settings;

	if (!settings->host.len)
		report(load, 0, "host.name", "is missing");
	if (!settings->data_centre.len)
		report(load, 0, "host.data_centre", "is missing");
	if (!settings->region.len)
		report(load, 0, "host.region", "is missing");
	if (settings->listen_sessions.port) {
		check_sessions(load);
		return;
	}
	if (!settings->listen_callers.port)
		report(load, 0, "listen.callers", "is missing");
	if (!settings->listen_hosts.port)
		report(load, 0, "listen.hosts", "is missing");
	if (!settings->key_count)
		report(load, 0, "session_keys", "needs at least one key");
	if (!settings->caller_count)
		report(load, 0, "callers", "needs at least one caller");
	if (!settings->store.port && !settings->seed_path[0])
		report(load, 0, "store.address",
		       "is missing, and so is configuration.seed");
	if (settings->listen_operators.port && !settings->store.port)
		report(load, 0, "store.address",
		       "is missing, but listen.operators needs it");
}

static void set_defaults(kb_settings_t *settings)
{
	settings->log_level = KB_LOG_INFO;
	settings->processor_share = 1;
	settings->store_deadline = KB_NS_PER_S;
	settings->body_bytes = DEFAULT_BODY_BYTES;
	settings->answer_bytes = DEFAULT_ANSWER_BYTES;
	settings->header_bytes = DEFAULT_HEADER_BYTES;
	settings->requests = DEFAULT_REQUESTS;
	settings->caller_requests = DEFAULT_CALLER_REQUESTS;
	settings->link_bytes = DEFAULT_LINK_BYTES;
	settings->default_deadline = 2 * KB_NS_PER_S;
	settings->limits_window = 5 * KB_NS_PER_S;
	settings->limits_overage = DEFAULT_LIMITS_OVERAGE;
	settings->limits_slack = DEFAULT_LIMITS_SLACK;
	settings->drain_grace = 30 * KB_NS_PER_S;
}

kb_result_t kb_settings_load(kb_settings_t **out, const char *path,
			     kb_settings_fault_fn_t *fault, void *ctx)
{
	load_t load = { .file = path, .fault = fault, .ctx = ctx };
	kb_result_t result = KB_OK;
	int line;

	load.stream = fopen(path, "r");
	if (!load.stream) {
		report(&load, 0, "", strerror(errno));
		return KB_ERR_IO;
	}
	load.settings = calloc(1, sizeof(*load.settings));
	if (!load.settings) {
		fclose(load.stream);
		return KB_ERR_NO_MEMORY;
	}
	set_defaults(load.settings);
	line = ini_parse_stream(read_line, &load, on_key, &load);
	fclose(load.stream);
	if (line > 0)
		report(&load, line, "", "is not of the form \"key = value\"");
	if (line < 0)
		report(&load, 0, "", "cannot be read");
	check_complete(&load);
	for (size_t i = 0; i < load.seen_count; i++)
		free(load.seen[i]);
	if (load.faults)
		result = KB_ERR_SETTINGS;
	if (result) {
		kb_settings_free(load.settings);
		return result;
	}
	*out = load.settings;
	return KB_OK;
}

void kb_settings_free(kb_settings_t *settings)
{
	free(settings);
}

kb_str_t kb_settings_region(const kb_settings_t *settings,
			    const kb_name_t *data_centre)
{
	for (size_t i = 0; i < settings->data_centre_count; i++)
		if (kb_name_is(&settings->data_centres[i].data_centre,
			       kb_name_str(data_centre)))
			return kb_name_str(&settings->data_centres[i].region);
	return KB_STR("");
}
