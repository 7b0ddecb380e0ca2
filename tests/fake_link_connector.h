#ifndef KB_TESTS_FAKE_LINK_CONNECTOR_H
#define KB_TESTS_FAKE_LINK_CONNECTOR_H

#include "fake_time.h"
#include "load/link_pool.h"
#include "load/pool_conn.h"
#include "rng.h"

#include <gtest/gtest.h>
#include <functional>
#include <string>
#include <vector>

/* A connection whose target is simulated by the test. */
struct FakeLink {
	kb_link_t base;
	struct FakeLinkConnector *connector;
	bool closed = false;
	/* Target, and team that it was opened for. */
	std::string target;
	std::string team;
	/* Connections that existed when it was opened, with itself. */
	size_t opened_as = 0;
	/* Whether the attempt to open it has not ended. */
	bool opening = true;
	/* Whether a command is unanswered, and the last one sent. */
	bool waiting = false;
	kb_link_command_kind_t kind = KB_LINK_COMMAND_STATUS;
	std::string id, name, body;
	kb_point_t include{};
	/* Whether the simulated target has a transaction open on it. */
	bool in_transaction = false;
};

struct FakeLinkConnector {
	kb_link_connector_t base;
	std::vector<FakeLink *> links;
	/* Every command sent, as "kind:id". */
	std::vector<std::string> sent;

	FakeLinkConnector()
	{
		static const kb_link_connector_ops_t ops = { open };

		base.ops = &ops;
	}

	~FakeLinkConnector()
	{
		for (FakeLink *link : links)
			delete link;
	}

	static kb_link_t *open(kb_link_connector_t *base,
			       const kb_link_place_t *place,
			       const kb_link_events_t *events, void *ctx)
	{
		static const kb_link_ops_t ops = { send, close };
		auto *connector = reinterpret_cast<FakeLinkConnector *>(base);
		auto *link = new FakeLink();

		link->base = { &ops, events, ctx };
		link->connector = connector;
		link->target =
			std::string(place->target.data, place->target.len);
		link->team = std::string(place->team.data, place->team.len);
		connector->links.push_back(link);
		link->opened_as = connector->open_count();
		return &link->base;
	}

	static kb_result_t send(kb_link_t *base,
				const kb_link_command_t *command)
	{
		auto *link = reinterpret_cast<FakeLink *>(base);

		link->waiting = true;
		link->kind = command->kind;
		link->id = std::string(command->id.data, command->id.len);
		link->name = std::string(command->name.data, command->name.len);
		link->body = std::string(command->body.data, command->body.len);
		link->include = command->include;
		link->connector->sent.push_back(std::to_string(command->kind) +
						":" + link->id);
		return KB_OK;
	}

	static void close(kb_link_t *base)
	{
		auto *link = reinterpret_cast<FakeLink *>(base);

		EXPECT_FALSE(link->closed) << "a connection was closed twice";
		link->closed = true;
	}

	void opened(FakeLink *link, kb_result_t result = KB_OK)
	{
		link->opening = false;
		if (result)
			link->closed = true;
		link->base.events->opened(link->base.ctx, result, { 1, 1 });
	}

	void lose(FakeLink *link)
	{
		link->closed = true;
		link->base.events->lost(link->base.ctx, KB_ERR_CLOSED);
	}

	/* Answers the pending command and updates the transaction state. */
	void answer(FakeLink *link, kb_result_t result = KB_OK,
		    kb_point_t point = { 1, 1 })
	{
		kb_reply_t reply = {};

		link->waiting = false;
		if (!result && (link->kind == KB_LINK_COMMAND_BEGIN ||
				link->kind == KB_LINK_COMMAND_BEGIN_READ_ONLY))
			link->in_transaction = true;
		if (link->kind == KB_LINK_COMMAND_ROLLBACK ||
		    (!result && link->kind == KB_LINK_COMMAND_COMMIT))
			link->in_transaction = false;
		reply.result = result;
		reply.message = KB_STR("");
		reply.signature = KB_STR("mark");
		reply.point = point;
		reply.state = !link->in_transaction ? KB_TXN_NONE
			      : result && result != KB_ERR_OVERLOADED
				      ? KB_TXN_FAILED
				      : KB_TXN_OPEN;
		link->base.events->answered(link->base.ctx, &reply);
	}

	size_t open_count() const
	{
		size_t count = 0;

		for (const FakeLink *link : links)
			count += !link->closed;
		return count;
	}
};

/* A statement and its result. */
struct Statement {
	kbs_run_args args{};
	std::string id;
	std::string team;
	int ended = 0;
	kb_result_t result = KB_OK;
	uint64_t transaction = 0;
	bool offered = false;
	std::vector<kbs_value> values;
	/* Called when the statement ends. */
	std::function<void()> then;

	explicit Statement(kbs_kind kind = KBS_READ, const char *name = "id")
	    : id(name)
	{
		args.kind = kind;
		args.id = kb_text_view(kb_str_from(id.c_str()));
		args.body = kb_text_view(KB_STR("1a4"));
		args.time_left_us = 800000;
		args.objective_left_us = 500000;
		args.idle_limit_us = 3000000;
	}

	Statement(const Statement &) = delete;

	void set(const char *name, const char *value)
	{
		values.push_back({ kb_text_view(kb_str_from(name)),
				   kb_text_view(kb_str_from(value)) });
		args.values.values_len = (u_int)values.size();
		args.values.values_val = values.data();
	}

	void of_team(const std::string &name)
	{
		team = name;
		args.team = kb_text_view(kb_str_from(team.c_str()));
	}

	static void done(void *ctx, const kbs_run_res *res)
	{
		auto *statement = static_cast<Statement *>(ctx);

		statement->ended++;
		statement->result = (kb_result_t)res->result;
		statement->transaction = res->transaction;
		statement->offered = res->offered;
		if (statement->then)
			statement->then();
	}
};

#endif
