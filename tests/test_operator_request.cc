#include "operator_request.h"

#include <gtest/gtest.h>
#include <string>

TEST(OperatorRequest, CorruptPathsAndQueriesAreRefused)
{
	std::string path = "/v1/resources/host/h1";
	const char *queries[] = { "dryRun",	   "dryRun=", "dryRun=1",
				  "=true",	   "after=1", "dryRun=true&x=1",
				  "dryRun%00=true" };
	kb_operator_request_t request;
	kb_fault_t fault;

	for (size_t i = 0; i < path.size(); i++) {
		for (char c : { '/', '%', '\x01', '\xff', '?' }) {
			std::string corrupt = path;
			kb_operator_input_t input = {};

			corrupt[i] = c;
			if (corrupt == path)
				continue;
			input.method = EVHTTP_REQ_GET;
			input.path = corrupt.c_str();
			EXPECT_EQ(KB_ERR_NOT_FOUND,
				  kb_operator_request_parse(&request, &input,
							    &fault))
				<< corrupt;
		}
	}
	for (const char *query : queries) {
		kb_operator_input_t input = {};

		input.method = EVHTTP_REQ_PUT;
		input.path = path.c_str();
		input.query = query;
		EXPECT_EQ(KB_ERR_INVALID,
			  kb_operator_request_parse(&request, &input, &fault))
			<< query;
	}
}
