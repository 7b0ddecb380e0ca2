#ifndef KUMQUATBRIDGE_H
#define KUMQUATBRIDGE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
#define KB_BEGIN_DECLS extern "C" {
#define KB_END_DECLS }
#else
#define KB_BEGIN_DECLS
#define KB_END_DECLS
#endif

KB_BEGIN_DECLS

/*
 * Result of an operation. The hundreds digit is its class: 0 success, 1 the
 * request is wrong, 2 the request did not run, 3 the outcome is unknown, 4 an
 * error inside a process or between processes.
 */
typedef enum kb_result {
	/* The operation succeeded. */
	KB_OK = 0,

	/* A field is missing or malformed; the request did not run. */
	KB_ERR_INVALID = 101,
	/* The request or its answer exceeds a size limit; it did not run. */
	KB_ERR_TOO_LARGE = 102,
	/* The caller's credential is missing or wrong. */
	KB_ERR_UNAUTHENTICATED = 103,
	/* The caller may not perform this operation. */
	KB_ERR_FORBIDDEN = 104,
	/* The named resource does not exist. */
	KB_ERR_NOT_FOUND = 105,
	/* The resource has changed since the revision given. */
	KB_ERR_CONFLICT = 106,
	/* The idempotency key was used with another request. */
	KB_ERR_KEY_REUSED = 107,
	/* The session token is malformed or not signed for this caller. */
	KB_ERR_TOKEN_INVALID = 108,
	/* The target rejected the statement and rolled it back. */
	KB_ERR_STATEMENT = 109,
	/* No statement is prepared under the name. */
	KB_ERR_NO_STATEMENT = 110,

	/* A queue or limit is full; the request did not run. */
	KB_ERR_OVERLOADED = 201,
	/* The deadline cannot be met; the request did not run. */
	KB_ERR_DEADLINE = 202,
	/* The group has no usable primary; the request did not run. */
	KB_ERR_NO_PRIMARY = 203,
	/* No target is known to be fresh enough; the read did not run. */
	KB_ERR_NOT_FRESH = 204,
	/* The host or target is leaving; the request did not run. */
	KB_ERR_DRAINING = 205,
	/* The host is not the target's gate; the request did not run. */
	KB_ERR_NOT_GATE = 206,
	/* The target rolled the transaction back; it has no effect. */
	KB_ERR_ROLLED_BACK = 207,
	/* The target could not be reached; no byte of the request was sent. */
	KB_ERR_UNREACHABLE = 208,
	/* The target is a read-only replica; the write did not run. */
	KB_ERR_READ_ONLY = 209,
	/* The address belongs to another target; the request did not run. */
	KB_ERR_WRONG_TARGET = 210,
	/* The target accepts no more connections; the request did not run. */
	KB_ERR_TOO_MANY = 211,

	/* The request may or may not have taken effect. */
	KB_ERR_UNKNOWN = 301,

	/* Memory could not be allocated. */
	KB_ERR_NO_MEMORY = 401,
	/* An operating system call failed. */
	KB_ERR_IO = 402,
	/* A peer sent a message that cannot be decoded. */
	KB_ERR_PROTOCOL = 403,
	/* A peer speaks a protocol version that is not supported. */
	KB_ERR_VERSION = 404,
	/* The connection or object was closed. */
	KB_ERR_CLOSED = 405,
	/* No answer arrived before the timeout. */
	KB_ERR_TIMEOUT = 406,
	/* The settings are invalid. */
	KB_ERR_SETTINGS = 407,
} kb_result_t;

/* What a result says about the request that it answers. */
typedef enum kb_outcome {
	/* The request ran and its effect is confirmed. */
	KB_OUTCOME_DONE,
	/* The request did not run and leaves no effect. */
	KB_OUTCOME_NOT_RUN,
	/* The request may have run. */
	KB_OUTCOME_UNKNOWN,
} kb_outcome_t;

/* Returns a short English description of `result`; never NULL. */
const char *kb_strerror(kb_result_t result);

/* Returns the identifier used in logs and answers, such as "overloaded". */
const char *kb_result_name(kb_result_t result);

/* Returns whether the request that ended with `result` has run. */
kb_outcome_t kb_result_outcome(kb_result_t result);

/* Returns the version of the library as "major.minor.patch". */
const char *kb_version_string(void);

/* A length-counted string. `data` need not end in a NUL byte. */
typedef struct kb_str {
	const char *data;
	size_t len;
} kb_str_t;

/* Time in nanoseconds. */
typedef int64_t kb_time_t;

#define KB_NS_PER_US INT64_C(1000)
#define KB_NS_PER_MS INT64_C(1000000)
#define KB_NS_PER_S INT64_C(1000000000)
#define KB_TIME_NEVER INT64_MAX

typedef struct kb_clock kb_clock_t;

/* Operations of a clock. */
typedef struct kb_clock_ops {
	/* Returns nanoseconds since an arbitrary start; never decreases. */
	kb_time_t (*monotonic)(kb_clock_t *clock);
	/* Returns nanoseconds since 1970-01-01 UTC. */
	kb_time_t (*wall)(kb_clock_t *clock);
} kb_clock_ops_t;

/* A source of time. Embed it as the first member of an implementation. */
struct kb_clock {
	const kb_clock_ops_t *ops;
};

/* Initializes `clock` to read the clocks of the operating system. */
void kb_clock_init_system(kb_clock_t *clock);

/*
 * Initializes `clock` to read the clocks of the operating system; its
 * monotonic time includes the time for which the host was suspended.
 */
void kb_clock_init_suspendable(kb_clock_t *clock);

/* Returns the monotonic time of `clock`. */
kb_time_t kb_clock_monotonic(kb_clock_t *clock);

/* Returns the wall-clock time of `clock`. */
kb_time_t kb_clock_wall(kb_clock_t *clock);

/* Settings of a daemon, loaded from an INI file. */
typedef struct kb_settings kb_settings_t;

/*
 * Receives one error found in a settings file. `line` is 0 if the error
 * concerns the file as a whole; `key` is "" if it concerns no single key.
 */
typedef void kb_settings_fault_fn_t(void *ctx, const char *file, int line,
				    const char *key, const char *message);

/*
 * Reads the settings file at `path` and reports each error to `fault`.
 * Returns KB_OK and sets `*settings`, to be freed with kb_settings_free(),
 * or KB_ERR_SETTINGS, KB_ERR_IO or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_settings_load(kb_settings_t **settings, const char *path,
			     kb_settings_fault_fn_t *fault, void *ctx);

/* Frees `settings`, which may be NULL. */
void kb_settings_free(kb_settings_t *settings);

/* A daemon: the process that runs on one host. */
typedef struct kb_daemon kb_daemon_t;

/*
 * Creates a daemon that listens on the addresses of `settings`, which must
 * outlive it. Returns KB_OK and sets `*daemon`, to be freed with
 * kb_daemon_free(), or KB_ERR_IO, KB_ERR_NO_MEMORY or KB_ERR_SETTINGS.
 */
kb_result_t kb_daemon_create(kb_daemon_t **daemon,
			     const kb_settings_t *settings, kb_clock_t *clock);

/*
 * Serves until a planned stop has completed. SIGTERM or SIGINT starts a
 * planned stop; a second signal ends the daemon at once. Returns KB_OK after
 * a complete drain and KB_ERR_TIMEOUT if the grace period expired first.
 */
kb_result_t kb_daemon_run(kb_daemon_t *daemon);

/* Frees `daemon`, which may be NULL, and all that it owns. */
void kb_daemon_free(kb_daemon_t *daemon);

KB_END_DECLS

#endif
