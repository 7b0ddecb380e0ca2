#include "calls.h"

#include "json_text.h"
#include "codec.h"

#include <event2/http.h>
#include <string.h>

enum {
	VALUE_MAX_BYTES = 1 << 20,
};

static json_t *fail(standin_error_t *error, int status, const char *message)
{
	error->status = status;
	error->message = message;
	return NULL;
}

/* A key range and the decoded buffers that its keys point into. */
typedef struct standin_range_request {
	standin_bytes_t key;
	standin_bytes_t end;
	standin_range_t range;
} standin_range_request_t;

static void range_request_finish(standin_range_request_t *request)
{
	standin_codec_bytes_finish(&request->key);
	standin_codec_bytes_finish(&request->end);
}

static kb_result_t range_request_init(standin_range_request_t *request,
				      const json_t *json)
{
	memset(request, 0, sizeof(*request));
	if (standin_codec_bytes(&request->key, json, "key") != KB_OK ||
	    standin_codec_bytes(&request->end, json, "range_end") != KB_OK) {
		range_request_finish(request);
		return KB_ERR_INVALID;
	}
	request->range.key = request->key.bytes;
	request->range.end = request->end.bytes;
	return KB_OK;
}

static void add_version(void *ctx, const standin_version_t *version)
{
	json_array_append_new(ctx, standin_codec_version(version));
}

static json_t *range_at(standin_kv_t *kv, int64_t revision,
			const json_t *request, standin_error_t *error)
{
	standin_range_request_t range;
	json_t *kvs;

	if (range_request_init(&range, request) != KB_OK)
		return fail(error, HTTP_BADREQUEST, "malformed key");
	kvs = json_array();
	standin_kv_each(kv, &range.range, revision, add_version, kvs);
	range_request_finish(&range);
	return json_pack("{s:o,s:o,s:o}", "header",
			 standin_codec_header(revision), "count",
			 kb_json_text_int64((int64_t)json_array_size(kvs)),
			 "kvs", kvs);
}

json_t *standin_calls_range(standin_kv_t *kv, int64_t read_revision,
			    const json_t *request, standin_error_t *error)
{
	int64_t revision = standin_codec_number(request, "revision");

	if (revision <= 0)
		return range_at(kv, read_revision, request, error);
	if (revision < kv->compacted)
		return fail(error, HTTP_BADREQUEST,
			    "required revision has been compacted");
	if (revision > kv->revision)
		return fail(error, HTTP_BADREQUEST,
			    "required revision is a future revision");
	return range_at(kv, revision, request, error);
}

static json_t *put_at(standin_kv_t *kv, int64_t at, const json_t *request,
		      standin_error_t *error)
{
	int64_t lease = standin_codec_number(request, "lease");
	standin_bytes_t key;
	standin_bytes_t value;
	json_t *answer = NULL;

	if (standin_codec_bytes(&key, request, "key") != KB_OK)
		return fail(error, HTTP_BADREQUEST, "malformed key");
	if (standin_codec_bytes(&value, request, "value") != KB_OK)
		fail(error, HTTP_BADREQUEST, "malformed value");
	else if (!key.bytes.len)
		fail(error, HTTP_BADREQUEST, "key is not provided");
	else if (value.bytes.len > VALUE_MAX_BYTES)
		fail(error, HTTP_BADREQUEST, "request is too large");
	else if (standin_kv_put(kv, key.bytes, value.bytes, lease, at) != KB_OK)
		fail(error, HTTP_INTERNAL, "out of memory");
	else
		answer = json_pack("{s:o}", "header", standin_codec_header(at));
	standin_codec_bytes_finish(&value);
	standin_codec_bytes_finish(&key);
	return answer;
}

static json_t *delete_at(standin_kv_t *kv, int64_t at, const json_t *request,
			 standin_error_t *error)
{
	standin_range_request_t range;
	size_t deleted;
	kb_result_t result;

	if (range_request_init(&range, request) != KB_OK)
		return fail(error, HTTP_BADREQUEST, "malformed key");
	result = standin_kv_delete(kv, &range.range, at, &deleted);
	range_request_finish(&range);
	if (result != KB_OK)
		return fail(error, HTTP_INTERNAL, "out of memory");
	return json_pack("{s:o,s:o}", "header",
			 standin_codec_header(deleted ? at : kv->revision),
			 "deleted", kb_json_text_int64((int64_t)deleted));
}

json_t *standin_calls_put(standin_kv_t *kv, const json_t *request,
			  standin_error_t *error)
{
	int64_t at = kv->revision + 1;
	json_t *answer = put_at(kv, at, request, error);

	standin_kv_commit(kv, at);
	return answer;
}

json_t *standin_calls_delete(standin_kv_t *kv, const json_t *request,
			     standin_error_t *error)
{
	int64_t at = kv->revision + 1;
	json_t *answer = delete_at(kv, at, request, error);

	standin_kv_commit(kv, at);
	return answer;
}

/*
 * Compares a field of the current version with the wanted value. Returns the
 * sign of current - wanted; the fields of a missing key count as 0.
 */
static int compare_version(const standin_version_t *version, const char *target,
			   const json_t *compare)
{
	int64_t present = 0;
	int64_t wanted;

	if (!strcmp(target, "CREATE")) {
		present = version ? version->create_revision : 0;
		wanted = standin_codec_number(compare, "create_revision");
	} else if (!strcmp(target, "MOD")) {
		present = version ? version->mod_revision : 0;
		wanted = standin_codec_number(compare, "mod_revision");
	} else {
		present = version ? version->version : 0;
		wanted = standin_codec_number(compare, "version");
	}
	return (present > wanted) - (present < wanted);
}

static int compare_value(const standin_version_t *version,
			 const json_t *compare, int *order)
{
	standin_bytes_t wanted;

	/* Every comparison with the value of a missing key is false. */
	if (!version || standin_codec_bytes(&wanted, compare, "value") != KB_OK)
		return 0;
	*order = kb_str_compare(
		(kb_str_t){ version->value, version->value_len }, wanted.bytes);
	standin_codec_bytes_finish(&wanted);
	return 1;
}

static const char *text_or(const json_t *object, const char *name,
			   const char *fallback)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : fallback;
}

static int evaluate_compare(const standin_kv_t *kv, const json_t *compare)
{
	const char *target = text_or(compare, "target", "VERSION");
	const char *relation = text_or(compare, "result", "EQUAL");
	const standin_version_t *version;
	standin_bytes_t key;
	int order = 0;

	if (standin_codec_bytes(&key, compare, "key") != KB_OK)
		return 0;
	version = standin_kv_find(kv, key.bytes, kv->revision);
	standin_codec_bytes_finish(&key);
	if (strcmp(target, "VALUE") != 0)
		order = compare_version(version, target, compare);
	else if (!compare_value(version, compare, &order))
		return 0;
	if (!strcmp(relation, "GREATER"))
		return order > 0;
	if (!strcmp(relation, "LESS"))
		return order < 0;
	if (!strcmp(relation, "NOT_EQUAL"))
		return order != 0;
	return order == 0;
}

/*
 * Returns the revision at which a read in the transaction runs: `at` once the
 * transaction has written, else the current revision.
 */
static int64_t txn_revision(const standin_kv_t *kv, int64_t at)
{
	if (kv->log_count && kv->log[kv->log_count - 1]->mod_revision == at)
		return at;
	return kv->revision;
}

/* Runs one operation of a transaction; returns {NAME: RESPONSE} or NULL. */
static json_t *run_operation(standin_kv_t *kv, int64_t at,
			     const json_t *operation, standin_error_t *error)
{
	const json_t *range = json_object_get(operation, "request_range");
	const json_t *put = json_object_get(operation, "request_put");
	const json_t *remove =
		json_object_get(operation, "request_delete_range");
	const char *name = "response_range";
	json_t *answer;

	if (range) {
		answer = range_at(kv, txn_revision(kv, at), range, error);
	} else if (put) {
		name = "response_put";
		answer = put_at(kv, at, put, error);
	} else if (remove) {
		name = "response_delete_range";
		answer = delete_at(kv, at, remove, error);
	} else {
		answer = fail(error, HTTP_BADREQUEST, "unknown operation");
	}
	return answer ? json_pack("{s:o}", name, answer) : NULL;
}

json_t *standin_calls_txn(standin_kv_t *kv, const json_t *request,
			  standin_error_t *error)
{
	int64_t at = kv->revision + 1;
	json_t *answers = json_array();
	int succeeded = 1;
	json_t *operation;
	json_t *compare;
	size_t i;

	json_array_foreach(json_object_get(request, "compare"), i, compare)
		succeeded = succeeded && evaluate_compare(kv, compare);
	json_array_foreach(
		json_object_get(request, succeeded ? "success" : "failure"), i,
		operation)
	{
		json_t *answer = run_operation(kv, at, operation, error);

		if (!answer) {
			json_decref(answers);
			standin_kv_commit(kv, at);
			return NULL;
		}
		json_array_append_new(answers, answer);
	}
	standin_kv_commit(kv, at);
	return json_pack("{s:o,s:b,s:o}", "header",
			 standin_codec_header(kv->revision), "succeeded",
			 succeeded, "responses", answers);
}

json_t *standin_calls_compact(standin_kv_t *kv, const json_t *request,
			      standin_error_t *error)
{
	int64_t revision = standin_codec_number(request, "revision");

	if (standin_kv_compact(kv, revision) != KB_OK)
		return fail(error, HTTP_BADREQUEST,
			    "required revision has been compacted or is a "
			    "future revision");
	return json_pack("{s:o}", "header", standin_codec_header(kv->revision));
}
