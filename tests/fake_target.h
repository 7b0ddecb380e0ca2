#ifndef FAKE_TARGET_H
#define FAKE_TARGET_H

#include "conn.h"

#include <list>
#include <map>
#include <string>
#include <vector>

/* A clock that a test moves. */
struct FakeClock {
	kb_clock_t base;
	kb_time_t now = 1000 * KB_NS_PER_S;
	kb_time_t wall = 1700000000 * KB_NS_PER_S;

	FakeClock();
};

/* What one target answers, by its port. */
struct FakeTarget {
	uint64_t term = 1;
	bool primary = false;
	uint64_t received = 10;
	uint64_t applied = 10;
	std::string history = "1:1";
	/* Opening a connection fails. */
	bool refuses = false;
	/* Connections do not finish to open. */
	bool holds_open = false;
	/* Probes and orders are not answered. */
	bool mute = false;
	/* Statements are not answered. */
	bool holds = false;
	/* The answer to a work statement exceeds the limit. */
	bool too_large = false;
	/* Statements in the order executed, after their connection's number. */
	std::vector<std::string> executed;
	/* Connections open now and at most. */
	size_t open = 0;
	size_t most = 0;
};

/* Opens connections to targets in the test's own memory. */
class FakeConnector
{
      public:
	struct Conn;

	kb_connector_t base;
	std::map<uint16_t, FakeTarget> targets;
	/* Replicas receive and apply what the primary of their term has. */
	bool replicates = true;

	FakeConnector();
	~FakeConnector();

	/* Delivers what is due; returns false if nothing was. */
	bool pump();

	/* Breaks the connections of a target; only those with work if asked. */
	void cut(uint16_t port, bool busy_only = false);

      private:
	std::list<Conn *> conns;
	int next_number = 1;

	void replicate();
	bool deliver(Conn *conn);
	void run(Conn *conn);
	static kb_result_t open(kb_connector_t *base,
				const kb_conn_address_t *address,
				const kb_conn_events_t *events, void *owner,
				kb_conn_t **out);
	static kb_result_t send(kb_conn_t *base,
				const kb_statement_t *statements, size_t count);
	static void close(kb_conn_t *base);
	static const kb_connector_ops_t connector_ops;
	static const kb_conn_ops_t conn_ops;
};

#endif
