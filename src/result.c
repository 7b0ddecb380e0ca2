#include "kumquatbridge.h"

enum {
	RESULT_CLASS_SIZE = 100,
	RESULT_CLASS_NOT_RUN = 2,
};

typedef struct kb_result_entry {
	kb_result_t result;
	const char *name;
	const char *text;
} kb_result_entry_t;

static const kb_result_entry_t entries[] = {
	{ KB_OK, "ok", "success" },
	{ KB_ERR_INVALID, "invalid", "the request is malformed" },
	{ KB_ERR_TOO_LARGE, "too-large", "a size limit is exceeded" },
	{ KB_ERR_UNAUTHENTICATED, "unauthenticated",
	  "the credential is missing or wrong" },
	{ KB_ERR_FORBIDDEN, "forbidden", "the operation is not permitted" },
	{ KB_ERR_NOT_FOUND, "not-found", "the resource does not exist" },
	{ KB_ERR_CONFLICT, "conflict", "the resource has changed" },
	{ KB_ERR_KEY_REUSED, "key-reused",
	  "the idempotency key belongs to another request" },
	{ KB_ERR_TOKEN_INVALID, "token-invalid",
	  "the session token is not valid" },
	{ KB_ERR_STATEMENT, "statement", "the target rejected the statement" },
	{ KB_ERR_NO_STATEMENT, "no-statement",
	  "no statement is prepared under the name" },
	{ KB_ERR_OVERLOADED, "overloaded", "a queue or limit is full" },
	{ KB_ERR_DEADLINE, "deadline", "the deadline cannot be met" },
	{ KB_ERR_NO_PRIMARY, "no-primary", "the group has no usable primary" },
	{ KB_ERR_NOT_FRESH, "not-fresh", "no target is fresh enough" },
	{ KB_ERR_DRAINING, "draining", "the host or target is leaving" },
	{ KB_ERR_NOT_GATE, "not-gate", "the host is not the target's gate" },
	{ KB_ERR_ROLLED_BACK, "rolled-back",
	  "the target rolled the transaction back" },
	{ KB_ERR_UNREACHABLE, "unreachable", "the target cannot be reached" },
	{ KB_ERR_READ_ONLY, "read-only", "the target takes no write" },
	{ KB_ERR_WRONG_TARGET, "wrong-target",
	  "another target is at the address" },
	{ KB_ERR_TOO_MANY, "too-many",
	  "the target has no connection to spare" },
	{ KB_ERR_UNKNOWN, "outcome-unknown",
	  "the request may have taken effect" },
	{ KB_ERR_NO_MEMORY, "no-memory", "out of memory" },
	{ KB_ERR_IO, "io", "an operating system call failed" },
	{ KB_ERR_PROTOCOL, "protocol", "a message cannot be decoded" },
	{ KB_ERR_VERSION, "version", "the protocol version is not supported" },
	{ KB_ERR_CLOSED, "closed", "the connection is closed" },
	{ KB_ERR_TIMEOUT, "timeout", "no answer came in time" },
	{ KB_ERR_SETTINGS, "settings", "the settings are faulty" },
};

static const kb_result_entry_t *find_entry(kb_result_t result)
{
	for (size_t i = 0; i < sizeof(entries) / sizeof(entries[0]); i++)
		if (entries[i].result == result)
			return &entries[i];
	return NULL;
}

const char *kb_strerror(kb_result_t result)
{
	const kb_result_entry_t *entry = find_entry(result);

	return entry ? entry->text : "unknown result code";
}

const char *kb_result_name(kb_result_t result)
{
	const kb_result_entry_t *entry = find_entry(result);

	return entry ? entry->name : "unknown";
}

kb_outcome_t kb_result_outcome(kb_result_t result)
{
	if (result == KB_OK)
		return KB_OUTCOME_DONE;
	if (result / RESULT_CLASS_SIZE <= RESULT_CLASS_NOT_RUN)
		return KB_OUTCOME_NOT_RUN;
	return KB_OUTCOME_UNKNOWN;
}

const char *kb_version_string(void)
{
	return KB_VERSION;
}
