#include "hold_record.h"

#include <jansson.h>

char *kb_hold_record_format(const kb_hold_record_t *record)
{
	json_t *candidates = json_array();
	json_t *json;
	char *text;

	for (size_t i = 0; i < record->candidate_count; i++)
		json_array_append_new(candidates,
				      json_string(record->candidates[i].data));
	json = json_pack("{s:s,s:b,s:b,s:b,s:o}", "holder",
			 record->holder.data, "released", record->released,
			 "uncalled", record->uncalled, "settled",
			 record->settled, "candidates", candidates);
	text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	json_decref(json);
	return text;
}

static kb_result_t read_candidates(kb_hold_record_t *record,
				   const json_t *candidates)
{
	const json_t *name;
	size_t i;

	if (json_array_size(candidates) > KB_HOLD_CANDIDATES_MAX)
		return KB_ERR_PROTOCOL;
	json_array_foreach (candidates, i, name) {
		if (!json_is_string(name) ||
		    kb_name_set(&record->candidates[i],
				kb_str_from(json_string_value(name))))
			return KB_ERR_PROTOCOL;
		record->candidate_count++;
	}
	return KB_OK;
}

kb_result_t kb_hold_record_parse(kb_hold_record_t *record, kb_str_t text)
{
	json_t *json = json_loadb(text.data, text.len, 0, NULL);
	kb_result_t result = KB_ERR_PROTOCOL;
	json_t *candidates;
	const char *holder;

	memset(record, 0, sizeof(*record));
	if (json &&
	    !json_unpack(json, "{s:s,s:b,s:b,s:b,s:o}", "holder", &holder,
			 "released", &record->released, "uncalled",
			 &record->uncalled, "settled", &record->settled,
			 "candidates", &candidates) &&
	    json_is_array(candidates) && *holder &&
	    !kb_name_set(&record->holder, kb_str_from(holder)))
		result = read_candidates(record, candidates);
	json_decref(json);
	return result;
}
