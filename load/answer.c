#include "answer.h"

#include "str.h"

#include <string.h>

enum { STATUS_OK = 200 };

static void read_success(kl_answer_t *answer, json_t *json)
{
	const json_t *affected = json_object_get(json, "affected");
	const json_t *age = json_object_get(json, "ageMs");
	const char *role = json_string_value(json_object_get(json, "role"));

	if (!role || !json_is_integer(affected) || !age)
		return;
	answer->outcome = KB_OUTCOME_DONE;
	answer->code = KB_OK;
	answer->affected = json_integer_value(affected);
	if (json_is_integer(age))
		answer->age_ms = json_integer_value(age);
	answer->from_replica = !strcmp(role, "replica");
	answer->json = json_incref(json);
}

static void read_problem(kl_answer_t *answer, const json_t *json)
{
	const json_t *code = json_object_get(json, "code");
	const char *outcome =
		json_string_value(json_object_get(json, "outcome"));

	if (!outcome || !json_is_integer(code))
		return;
	answer->code = (int)json_integer_value(code);
	if (!strcmp(outcome, "not run"))
		answer->outcome = KB_OUTCOME_NOT_RUN;
}

void kl_answer_init(kl_answer_t *answer, int status, kb_str_t body)
{
	json_t *json;

	memset(answer, 0, sizeof(*answer));
	answer->outcome = KB_OUTCOME_UNKNOWN;
	answer->code = status ? KB_ERR_PROTOCOL : KB_ERR_CLOSED;
	answer->age_ms = KL_AGE_UNKNOWN;
	if (!status || !body.len)
		return;
	json = json_loadb(body.data, body.len, 0, NULL);
	if (status == STATUS_OK)
		read_success(answer, json);
	else
		read_problem(answer, json);
	json_decref(json);
}

void kl_answer_init_unsent(kl_answer_t *answer)
{
	kl_answer_init(answer, 0, KB_STR(""));
	answer->outcome = KB_OUTCOME_NOT_RUN;
	answer->code = KB_ERR_UNREACHABLE;
}

void kl_answer_finish(kl_answer_t *answer)
{
	json_decref(answer->json);
	answer->json = NULL;
}

size_t kl_answer_rows(const kl_answer_t *answer)
{
	return json_array_size(json_object_get(answer->json, "rows"));
}

const char *kl_answer_cell(const kl_answer_t *answer, size_t column)
{
	const json_t *rows = json_object_get(answer->json, "rows");

	return json_string_value(
		json_array_get(json_array_get(rows, 0), column));
}
