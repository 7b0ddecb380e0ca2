#ifndef KB_TESTS_CALLER_SESSION_FIXTURE_H
#define KB_TESTS_CALLER_SESSION_FIXTURE_H

#include "caller_session.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

struct KeyOfTeam {
	const char *team;
	const char *key;
};

/* A session whose statements are answered by the test. */
class Caller
{
      public:
	kb_caller_session_t session;
	kb_database_t database{};
	kb_teams_t teams{};
	bool configured = true;
	int runs = 0;
	int rollbacks = 0;
	/* Id of the request for which the key was last looked up. */
	std::string authenticated_id;
	struct {
		int count = 0;
		kb_result_t result = KB_OK;
		kb_txn_state_t state = KB_TXN_NONE;
		std::string signature;
	} answer;
	/* Result of opening the session. */
	kb_result_t opened;

	explicit Caller(kb_read_consistency_t rule = KB_READ_YOUR_WRITES)
	{
		open(rule, "");
		EXPECT_EQ(KB_OK, opened);
	}

	/* A caller with a key, when these keys of teams are configured. */
	Caller(const char *key, const std::vector<KeyOfTeam> &keys,
	       bool is_public = false)
	{
		database.is_public = is_public;
		set_keys(keys);
		open(KB_READ_YOUR_WRITES, key);
	}

	/* Replaces the teams of the configuration. */
	void set_keys(const std::vector<KeyOfTeam> &keys)
	{
		kb_teams_finish(&teams);
		teams.configured = 1;
		for (const auto &key : keys) {
			kb_team_t team{};

			kb_name_set(&team.name, kb_str_from(key.team));
			kb_teams_add(&teams, &team);
			kb_teams_add_key(&teams, kb_str_from(key.team),
					 kb_str_from(key.key));
		}
	}

	/* Team of the statement that runs. */
	std::string team() const
	{
		return std::string(session.args.team.kbs_text_val,
				   session.args.team.kbs_text_len);
	}

	~Caller()
	{
		kb_caller_session_finish(&session);
		kb_teams_finish(&teams);
	}

	void query(kb_query_verb_t verb, const char *name = "",
		   const char *body = "")
	{
		kb_query_t query = { verb, KB_STR("id"), kb_str_from(name),
				     kb_str_from(body) };

		kb_caller_session_query(&session, &query);
	}

	void ran(kb_result_t result, uint64_t transaction = 0,
		 kb_point_t point = {})
	{
		kbs_run_res res = {};

		res.result = result;
		res.transaction = transaction;
		res.point = kb_point_to(point);
		res.signature = kb_text_view(KB_STR("signature"));
		kb_caller_session_on_result(&session, &res);
	}

      private:
	void open(kb_read_consistency_t rule, const char *key)
	{
		static const kb_caller_session_ops_t ops = {
			on_run, on_roll_back, on_find, on_authenticate,
			on_answer
		};

		kb_name_set(&database.name, KB_STR("db"));
		kb_name_set(&database.group, KB_STR("group"));
		database.consistency = rule;
		opened = kb_caller_session_init(&session, &ops, this,
						KB_STR("db"), kb_str_from(key));
	}

	static void on_run(void *ctx, kb_caller_session_t *)
	{
		static_cast<Caller *>(ctx)->runs++;
	}

	static void on_roll_back(void *ctx, kb_caller_session_t *)
	{
		static_cast<Caller *>(ctx)->rollbacks++;
	}

	static const kb_database_t *on_find(void *ctx, kb_str_t)
	{
		auto *caller = static_cast<Caller *>(ctx);

		return caller->configured ? &caller->database : nullptr;
	}

	static kb_result_t on_authenticate(void *ctx, kb_caller_session_t *s,
					   kb_str_t id)
	{
		auto *caller = static_cast<Caller *>(ctx);

		caller->authenticated_id = std::string(id.data, id.len);
		return kb_teams_authenticate(&caller->teams, &s->key, &s->team);
	}

	static void on_answer(void *ctx, const kb_query_answer_t *given)
	{
		auto *caller = static_cast<Caller *>(ctx);

		caller->answer.count++;
		caller->answer.result = given->result;
		caller->answer.state = given->state;
		caller->answer.signature = std::string(
			given->signature.data ? given->signature.data : "",
			given->signature.len);
	}
};

#endif
