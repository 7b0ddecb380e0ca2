#ifndef KB_TESTS_OPERATOR_FIXTURE_H
#define KB_TESTS_OPERATOR_FIXTURE_H

#include "fake_server.h"
#include "fake_config.h"
#include "http_client.h"
#include "operator_api.h"

static const std::string reader = "reader-0123456789";
static const std::string writer = "writer-0123456789";
static const std::string leaving = "{\"spec\":{\"state\":\"leaving\"}}";
static const std::string active_value =
	"{\"spec\":{\"state\":\"active\"},\"change\":{\"id\":\"old\",\"by\":"
	"\"otto\",\"at\":\"2026-05-02T09:12:00Z\"}}";

struct Answer {
	bool done = false;
	int status = 0;
	std::string body;
};

class OperatorApi : public testing::Test
{
      protected:
	Loop loop;
	kb_clock_t clock;
	FakeStore store{ loop.base };
	FakeView view;
	kb_accounts_t accounts;
	kb_operator_api_t api;
	kb_http_client_t client;

	OperatorApi()
	{
		kb_operator_api_settings_t settings = {
			loop.base,  &clock,    &store.store,
			&view.view, &accounts, KB_STR("127.0.0.1"),
			0,
		};

		kb_clock_init_system(&clock);
		kb_accounts_init(&accounts);
		kb_accounts_add(&accounts, KB_STR("anna"), KB_ACCOUNT_WRITE,
				{ writer.data(), writer.size() });
		kb_accounts_add(&accounts, KB_STR("rita"), KB_ACCOUNT_READ,
				{ reader.data(), reader.size() });
		EXPECT_EQ(KB_OK, kb_operator_api_init(&api, &settings));
		EXPECT_EQ(KB_OK,
			  kb_http_client_init(&client, loop.base,
					      KB_STR("127.0.0.1"), api.port));
		store.changed = [this](const std::string &key) {
			if (key.rfind(KB_RESOURCE_PREFIX, 0) != 0)
				return;
			if (store.keys.count(key))
				view.set(key, store.keys[key].value,
					 store.revision);
			else
				view.remove(KB_KIND_HOST, "h1", store.revision);
		};
	}

	~OperatorApi() override
	{
		kb_http_client_finish(&client);
		kb_operator_api_finish(&api);
		kb_accounts_finish(&accounts);
		/* Run the events that are already due. */
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	}

	static void on_done(void *ctx, const kb_http_answer_t *answer)
	{
		auto *a = static_cast<Answer *>(ctx);

		a->done = true;
		a->status = answer->status;
		a->body.append(answer->body.data ? answer->body.data : "",
			       answer->body.len);
	}

	static void on_part(void *ctx, int status, kb_str_t data)
	{
		auto *a = static_cast<Answer *>(ctx);

		a->status = status;
		a->body.append(data.data, data.len);
	}

	kb_http_call_t *begin(Answer *answer, enum evhttp_cmd_type method,
			      const std::string &path, const std::string &token,
			      std::vector<kb_http_header_t> headers = {},
			      const std::string &body = "", bool stream = false)
	{
		std::string bearer = "Bearer " + token;
		kb_http_request_t request = {};

		if (!token.empty())
			headers.push_back({ "Authorization", bearer.c_str() });
		request.method = method;
		request.path = path.c_str();
		request.body = { body.data(), body.size() };
		request.headers = headers.data();
		request.header_count = headers.size();
		request.timeout = 30 * KB_NS_PER_S;
		request.part = stream ? on_part : nullptr;
		request.done = on_done;
		request.ctx = answer;
		return kb_http_client_call(&client, &request);
	}

	Answer call(enum evhttp_cmd_type method, const std::string &path,
		    const std::string &token,
		    const std::vector<kb_http_header_t> &headers = {},
		    const std::string &body = "")
	{
		Answer answer;

		begin(&answer, method, path, token, headers, body);
		loop.run_until([&] { return answer.done; });
		return answer;
	}
};

#endif
