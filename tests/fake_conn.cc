#include "fake_conn.h"

#include <cstdio>

static kb_result_t fake_send(kb_conn_t *conn, const kb_statement_t *statements,
			     size_t count)
{
	auto *fake = reinterpret_cast<FakeConn *>(conn);
	std::vector<std::string> batch;

	if (fake->send_result)
		return fake->send_result;
	for (size_t i = 0; i < count; i++) {
		batch.emplace_back(statements[i].sql.data,
				   statements[i].sql.len);
		for (size_t j = 0; j < statements[i].param_count; j++)
			fake->params.emplace_back(statements[i].params[j].data);
	}
	fake->batches.push_back(batch);
	return KB_OK;
}

static void fake_close(kb_conn_t *conn)
{
	reinterpret_cast<FakeConn *>(conn)->closed = true;
}

static const kb_conn_ops_t fake_ops = { fake_send, fake_close };

FakeConn::FakeConn()
{
	base.ops = &fake_ops;
	base.events = nullptr;
	base.owner = nullptr;
}

std::string FakeConn::last() const
{
	std::string text;

	for (const std::string &sql : batches.back())
		text += (text.empty() ? "" : "; ") + sql;
	return text;
}

FakeAnswer::FakeAnswer(const std::vector<const char *> &cells) : value()
{
	value.message = KB_STR("");
	value.columns = json_array();
	value.rows = json_array();
	if (cells.empty())
		return;
	json_t *row = json_array();

	for (const char *cell : cells)
		json_array_append_new(row, json_string(cell));
	json_array_append_new(value.rows, row);
	value.affected = 1;
}

FakeAnswer::~FakeAnswer()
{
	json_decref(value.columns);
	json_decref(value.rows);
}

kb_answer_t fake_error(const char *sqlstate)
{
	kb_answer_t answer = {};

	answer.result = KB_ERR_STATEMENT;
	answer.message = KB_STR("failed");
	snprintf(answer.sqlstate, sizeof(answer.sqlstate), "%s", sqlstate);
	return answer;
}
