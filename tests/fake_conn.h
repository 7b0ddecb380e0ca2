#ifndef FAKE_CONN_H
#define FAKE_CONN_H

#include "conn.h"

#include <string>
#include <vector>

/* A connection that records the batches sent; the test reports the answers. */
struct FakeConn {
	kb_conn_t base;
	std::vector<std::vector<std::string>> batches;
	std::vector<std::string> params;
	kb_result_t send_result = KB_OK;
	bool closed = false;

	FakeConn();
	/* Statements of the newest batch joined by "; ". */
	std::string last() const;
};

/* An answer with one row of the given cells. */
class FakeAnswer
{
      public:
	explicit FakeAnswer(const std::vector<const char *> &cells = {});
	~FakeAnswer();
	kb_answer_t value;
};

/* Returns an answer that is an error of the target. */
kb_answer_t fake_error(const char *sqlstate);

#endif
