#ifndef FAKE_TARGET_H
#define FAKE_TARGET_H

#include "conn.h"

#include <list>
#include <map>
#include <string>
#include <vector>

/* A clock that a test sets. */
struct FakeClock {
	kb_clock_t base;
	kb_time_t now = 1000 * KB_NS_PER_S;
	kb_time_t wall = 1700000000 * KB_NS_PER_S;

	FakeClock();
};

/* State and behaviour of one simulated target. */
struct FakeTarget {
	uint64_t term = 1;
	bool primary = false;
	uint64_t received = 10;
	uint64_t applied = 10;
	std::string history = "1:1";
	/* Opening a connection fails. */
	bool refuses = false;
	/* Opening a connection does not complete. */
	bool stalls_open = false;
	/* Probes and commands are not answered. */
	bool ignores_commands = false;
	/* Statements are not answered. */
	bool ignores_statements = false;
	/* The answer to a caller's statement exceeds the limit. */
	bool too_large = false;
	/* Statements in order of execution, prefixed by the connection number.
	 */
	std::vector<std::string> executed;
	/* Connections open now, and the maximum so far. */
	size_t open = 0;
	size_t max_open = 0;
};

/* Opens connections to simulated targets, which are found by their port. */
class FakeConnector
{
      public:
	struct Conn;

	kb_connector_t base;
	std::map<uint16_t, FakeTarget> targets;
	/* Replicas receive and apply the log of the primary of their term. */
	bool replicates = true;

	FakeConnector();
	~FakeConnector();

	/* Delivers pending events and answers. Returns false if none were. */
	bool pump();

	/* Closes a target's connections; with `busy_only`, those with a batch.
	 */
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
