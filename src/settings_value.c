#include "settings_value.h"

#include "duration.h"
#include "fields.h"

#include <stddef.h>
#include <stdlib.h>

/* Matches a key of any name in the section. */
#define ANY_NAME "*"

#define PERCENT 100.0
#define OPERATOR_TOKEN_MIN_BYTES 16

typedef struct value_spec value_spec_t;

typedef const char *set_fn_t(kb_settings_t *settings, const value_spec_t *spec,
			     const char *name, const char *value);

struct value_spec {
	const char *section;
	const char *name;
	set_fn_t *set;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *form;
};

static void *field(kb_settings_t *settings, const value_spec_t *spec)
{
	return (char *)settings + spec->offset;
}

static const char *set_name(kb_settings_t *settings, const value_spec_t *spec,
			    const char *name, const char *value)
{
	(void)name;
	if (!*value)
		return "is empty";
	if (kb_name_set(field(settings, spec), kb_str_from(value)))
		return "is longer than 63 bytes";
	return NULL;
}

static const char *set_level(kb_settings_t *settings, const value_spec_t *spec,
			     const char *name, const char *value)
{
	(void)name;
	if (kb_log_level_parse(value, field(settings, spec)))
		return "must be debug, info, warn or error";
	return NULL;
}

static const char *set_endpoint(kb_settings_t *settings,
				const value_spec_t *spec, const char *name,
				const char *value)
{
	(void)name;
	if (kb_endpoint_parse(kb_str_from(value), field(settings, spec)))
		return "must be an IP address and a port such as "
		       "127.0.0.1:8101";
	return NULL;
}

static const char *set_duration(kb_settings_t *settings,
				const value_spec_t *spec, const char *name,
				const char *value)
{
	kb_time_t *duration = field(settings, spec);

	(void)name;
	if (kb_duration_parse(kb_str_from(value), duration))
		return "must be a duration with a unit such as 250ms or 30s";
	if (*duration < (kb_time_t)spec->min ||
	    *duration > (kb_time_t)spec->max)
		return "is out of range";
	return NULL;
}

static const char *set_size(kb_settings_t *settings, const value_spec_t *spec,
			    const char *name, const char *value)
{
	uint64_t *size = field(settings, spec);

	(void)name;
	if (kb_duration_parse_size(kb_str_from(value), size))
		return "must be a size with a unit such as 64KiB or 4MiB";
	if (*size < spec->min || *size > spec->max)
		return "is out of range";
	return NULL;
}

static const char *set_count(kb_settings_t *settings, const value_spec_t *spec,
			     const char *name, const char *value)
{
	uint64_t *count = field(settings, spec);

	(void)name;
	if (kb_str_to_u64(kb_str_from(value), count))
		return "must be a whole number";
	if (*count < spec->min || *count > spec->max)
		return "is out of range";
	return NULL;
}

static const char *set_percent(kb_settings_t *settings,
			       const value_spec_t *spec, const char *name,
			       const char *value)
{
	double *part = field(settings, spec);
	char *end;
	double percent = strtod(value, &end);

	(void)name;
	if (end == value || strcmp(end, "%") || !(percent >= 0) ||
	    percent > PERCENT)
		return "must be a percentage from 0% to 100%";
	*part = percent / PERCENT;
	return NULL;
}

static const char *set_number(kb_settings_t *settings, const value_spec_t *spec,
			      const char *name, const char *value)
{
	double *number = field(settings, spec);
	char *end;
	double parsed = strtod(value, &end);

	(void)name;
	if (end == value || *end)
		return "must be a number";
	if (!(parsed >= (double)spec->min && parsed <= (double)spec->max))
		return "is out of range";
	*number = parsed;
	return NULL;
}

static const char *set_path(kb_settings_t *settings, const value_spec_t *spec,
			    const char *name, const char *value)
{
	(void)name;
	if (strlen(value) >= KB_SETTINGS_PATH_MAX_BYTES)
		return "is too long";
	memcpy(field(settings, spec), value, strlen(value) + 1);
	return NULL;
}

/* Returns the next word of `text` and advances `text` past it. */
static kb_str_t next_word(const char **text)
{
	kb_str_t word;

	*text += strspn(*text, " \t");
	word = (kb_str_t){ *text, strcspn(*text, " \t") };
	*text += word.len;
	return word;
}

static const char *set_peer(kb_settings_t *settings, const value_spec_t *spec,
			    const char *name, const char *value)
{
	kb_settings_peer_t *peer = &settings->peers[settings->peer_count];

	(void)spec;
	if (settings->peer_count == KB_SETTINGS_PEERS_MAX)
		return "exceeds the maximum number of peers";
	if (kb_name_set(&peer->name, kb_str_from(name)) ||
	    kb_endpoint_parse(next_word(&value), &peer->endpoint) ||
	    kb_name_set(&peer->data_centre, next_word(&value)) ||
	    kb_name_set(&peer->region, next_word(&value)) ||
	    !peer->region.len || next_word(&value).len)
		return "must be ADDRESS:PORT DATA_CENTRE REGION";
	settings->peer_count++;
	return NULL;
}

static const char *set_account(kb_settings_account_t *accounts, size_t *count,
			       size_t max, const char *name, kb_str_t secret)
{
	kb_settings_account_t *account = &accounts[*count];

	if (*count == max)
		return "exceeds the maximum number of accounts";
	if (kb_name_set(&account->name, kb_str_from(name)))
		return "has a name longer than 63 bytes";
	if (!secret.len || secret.len > KB_SETTINGS_SECRET_MAX_BYTES)
		return "needs a token of 1 to 128 bytes";
	for (size_t i = 0; i < *count; i++)
		if (kb_str_equal((kb_str_t){ accounts[i].secret,
					     accounts[i].secret_len },
				 secret))
			return "has the token of another account";
	memcpy(account->secret, secret.data, secret.len);
	account->secret_len = secret.len;
	++*count;
	return NULL;
}

static const char *set_caller(kb_settings_t *settings, const value_spec_t *spec,
			      const char *name, const char *value)
{
	(void)spec;
	return set_account(settings->callers, &settings->caller_count,
			   KB_SETTINGS_CALLERS_MAX, name, kb_str_from(value));
}

static const char *set_operator(kb_settings_t *settings,
				const value_spec_t *spec, const char *name,
				const char *value)
{
	kb_str_t role = next_word(&value);
	int may_write = kb_str_equal(role, KB_STR("write"));
	const char *message;
	kb_str_t token;

	(void)spec;
	if (!may_write && !kb_str_equal(role, KB_STR("read")))
		return "must be read TOKEN or write TOKEN";
	token = next_word(&value);
	if (token.len < OPERATOR_TOKEN_MIN_BYTES)
		return "needs a token of 16 to 128 bytes";
	if (!kb_fields_is_name(kb_str_from(name)))
		return "may have letters, digits, '.', '_' and '-' in its name";
	message = set_account(settings->operators, &settings->operator_count,
			      KB_SETTINGS_OPERATORS_MAX, name, token);
	if (!message)
		settings->operators[settings->operator_count - 1].may_write =
			may_write;
	return message;
}

static const char *set_key(kb_settings_t *settings, const value_spec_t *spec,
			   const char *name, const char *value)
{
	kb_settings_key_t *key = &settings->keys[settings->key_count];
	uint64_t id;

	(void)spec;
	if (settings->key_count == KB_SETTINGS_KEYS_MAX)
		return "exceeds the maximum number of session keys";
	if (kb_str_to_u64(kb_str_from(name), &id) || id > UINT32_MAX)
		return "must have a number as its name";
	if (strlen(value) != 64 ||
	    strspn(value, "0123456789abcdefABCDEF") != 64)
		return "must be 64 hexadecimal digits";
	key->id = (uint32_t)id;
	memcpy(key->hex, value, strlen(value) + 1);
	settings->key_count++;
	return NULL;
}

static const char *set_seeds(kb_settings_t *settings, const value_spec_t *spec,
			     const char *name, const char *value)
{
	(void)spec;
	(void)name;
	settings->seed_count = 0;
	while (*value) {
		kb_str_t item = { value, strcspn(value, ",") };

		if (settings->seed_count == KB_SETTINGS_SEEDS_MAX)
			return "exceeds the maximum number of addresses";
		if (kb_endpoint_parse(item,
				      &settings->seeds[settings->seed_count]))
			return "must be addresses separated by commas";
		settings->seed_count++;
		value += item.len;
		value += *value == ',';
	}
	return NULL;
}

static const char *set_data_centre(kb_settings_t *settings,
				   const value_spec_t *spec, const char *name,
				   const char *value)
{
	kb_settings_data_centre_t *entry =
		&settings->data_centres[settings->data_centre_count];

	(void)spec;
	if (settings->data_centre_count == KB_SETTINGS_DATA_CENTRES_MAX)
		return "exceeds the maximum number of data centres";
	if (kb_name_set(&entry->data_centre, kb_str_from(name)) ||
	    kb_name_set(&entry->region, kb_str_from(value)) ||
	    !entry->region.len)
		return "must be the name of a region";
	settings->data_centre_count++;
	return NULL;
}

static const char *set_flag(kb_settings_t *settings, const value_spec_t *spec,
			    const char *name, const char *value)
{
	int *flag = field(settings, spec);

	(void)name;
	*flag = !strcmp(value, "true");
	if (!*flag && strcmp(value, "false"))
		return "must be true or false";
	return NULL;
}

#define AT(member) offsetof(kb_settings_t, member)
#define KIB UINT64_C(1024)
#define MIB (KIB * KIB)
#define SECOND ((uint64_t)KB_NS_PER_S)

static const value_spec_t specs[] = {
	{ "host", "name", set_name, AT(host), 0, 0, "name" },
	{ "host", "data_centre", set_name, AT(data_centre), 0, 0, "name" },
	{ "host", "region", set_name, AT(region), 0, 0, "name" },
	{ "host", "log_level", set_level, AT(log_level), 0, 0, "level" },
	{ "host", "processor_share", set_number, AT(processor_share), 0, 1024,
	  "number" },
	{ "host", "link_mbps", set_number, AT(link_mbps), 0, 1000000,
	  "number" },
	{ "listen", "callers", set_endpoint, AT(listen_callers), 0, 0,
	  "address" },
	{ "listen", "operators", set_endpoint, AT(listen_operators), 0, 0,
	  "address" },
	{ "listen", "hosts", set_endpoint, AT(listen_hosts), 0, 0, "address" },
	{ "listen", "sessions", set_endpoint, AT(listen_sessions), 0, 0,
	  "address" },
	{ "listen", "readiness", set_endpoint, AT(listen_readiness), 0, 0,
	  "address" },
	{ "listen", "metrics", set_endpoint, AT(listen_metrics), 0, 0,
	  "address" },
	{ "fleet", "seeds", set_seeds, 0, 0, 0, "addresses" },
	{ "fleet", "first_start", set_flag, AT(first_start), 0, 0, "flag" },
	{ "data_centres", ANY_NAME, set_data_centre, 0, 0, 0, "region" },
	{ "orders", "address", set_endpoint, AT(orders), 0, 0, "address" },
	{ "store", "address", set_endpoint, AT(store), 0, 0, "address" },
	{ "store", "deadline", set_duration, AT(store_deadline),
	  (uint64_t)KB_NS_PER_MS, 60 * SECOND, "duration" },
	{ "configuration", "seed", set_path, AT(seed_path), 0, 0, "path" },
	{ "peers", ANY_NAME, set_peer, 0, 0, 0, "peer" },
	{ "callers", ANY_NAME, set_caller, 0, 0, 0, "token" },
	{ "operators", ANY_NAME, set_operator, 0, 0, 0, "role and token" },
	{ "session_keys", ANY_NAME, set_key, 0, 0, 0, "key" },
	{ "limits", "body", set_size, AT(body_bytes), KIB, 8 * MIB, "size" },
	{ "limits", "answer", set_size, AT(answer_bytes), KIB, 8 * MIB,
	  "size" },
	{ "limits", "headers", set_size, AT(header_bytes), KIB, MIB, "size" },
	{ "limits", "requests", set_count, AT(requests), 1, 1000000, "count" },
	{ "limits", "caller_requests", set_count, AT(caller_requests), 1,
	  1000000, "count" },
	{ "limits", "deadline", set_duration, AT(default_deadline),
	  (uint64_t)KB_NS_PER_MS, 600 * SECOND, "duration" },
	{ "limits", "region_link", set_size, AT(link_bytes), KIB,
	  1024 * MIB *KIB, "size" },
	{ "limits", "window", set_duration, AT(limits_window),
	  (uint64_t)KB_NS_PER_MS, 3600 * SECOND, "duration" },
	{ "limits", "overage", set_number, AT(limits_overage), 0, 100,
	  "number" },
	{ "limits", "slack", set_number, AT(limits_slack), 0, 1000000,
	  "number" },
	{ "drain", "grace", set_duration, AT(drain_grace), 0, 3600 * SECOND,
	  "duration" },
	{ "targets", "pace", set_flag, AT(pace), 0, 0, "flag" },
	{ "trace", "sampling", set_percent, AT(trace_sampling), 0, 0,
	  "percentage" },
	{ "trace", "file", set_path, AT(trace_path), 0, 0, "path" },
};

const char *kb_settings_value_set(kb_settings_t *settings, const char *section,
				  const char *name, const char *value)
{
	for (size_t i = 0; i < sizeof(specs) / sizeof(specs[0]); i++) {
		const value_spec_t *spec = &specs[i];

		if (strcmp(spec->section, section))
			continue;
		if (!strcmp(spec->name, ANY_NAME) || !strcmp(spec->name, name))
			return spec->set(settings, spec, name, value);
	}
	return "is not a known key";
}

void kb_settings_value_each(void (*fn)(void *ctx, const char *section,
				       const char *name, const char *form),
			    void *ctx)
{
	for (size_t i = 0; i < sizeof(specs) / sizeof(specs[0]); i++)
		fn(ctx, specs[i].section, specs[i].name, specs[i].form);
}
