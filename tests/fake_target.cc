#include "fake_target.h"

#include "fake_conn.h"

#define CONTROL "SELECT * FROM kumquat."
#define POSITION "SELECT * FROM kumquat.position()"

struct FakeConnector::Conn {
	kb_conn_t base;
	FakeConnector *connector;
	uint16_t port;
	int number;
	bool opened = false;
	bool closed = false;
	bool in_transaction = false;
	std::vector<std::string> batch;
};

static kb_time_t fake_monotonic(kb_clock_t *clock)
{
	return reinterpret_cast<FakeClock *>(clock)->now;
}

static kb_time_t fake_wall(kb_clock_t *clock)
{
	auto *fake = reinterpret_cast<FakeClock *>(clock);

	return fake->wall + fake->now;
}

static const kb_clock_ops_t clock_ops = { fake_monotonic, fake_wall };

FakeClock::FakeClock()
{
	base.ops = &clock_ops;
}

const kb_connector_ops_t FakeConnector::connector_ops = { open };
const kb_conn_ops_t FakeConnector::conn_ops = { send, close };

FakeConnector::FakeConnector()
{
	base.ops = &connector_ops;
}

FakeConnector::~FakeConnector()
{
	for (Conn *conn : conns)
		delete conn;
}

kb_result_t FakeConnector::open(kb_connector_t *base,
				const kb_conn_address_t *address,
				const kb_conn_events_t *events, void *owner,
				kb_conn_t **out)
{
	auto *connector = reinterpret_cast<FakeConnector *>(base);
	FakeTarget &target = connector->targets[address->port];
	Conn *conn = new Conn();

	conn->base = { &conn_ops, events, owner };
	conn->connector = connector;
	conn->port = address->port;
	conn->number = connector->next_number++;
	connector->conns.push_back(conn);
	if (++target.open > target.max_open)
		target.max_open = target.open;
	*out = &conn->base;
	return KB_OK;
}

kb_result_t FakeConnector::send(kb_conn_t *base,
				const kb_statement_t *statements, size_t count)
{
	auto *conn = reinterpret_cast<Conn *>(base);

	if (!conn->opened || conn->closed || !conn->batch.empty())
		return KB_ERR_UNREACHABLE;
	for (size_t i = 0; i < count; i++)
		conn->batch.emplace_back(statements[i].sql.data,
					 statements[i].sql.len);
	return KB_OK;
}

void FakeConnector::close(kb_conn_t *base)
{
	auto *conn = reinterpret_cast<Conn *>(base);

	conn->closed = true;
	conn->connector->targets[conn->port].open--;
}

void FakeConnector::replicate()
{
	for (auto &from : targets)
		for (auto &to : targets)
			if (from.second.primary && !to.second.primary &&
			    from.second.term == to.second.term) {
				to.second.received = from.second.received;
				to.second.applied = from.second.applied;
			}
}

/* Executes and answers the batch of a connection. */
void FakeConnector::run(Conn *conn)
{
	std::vector<std::string> batch = std::move(conn->batch);
	FakeTarget &target = targets[conn->port];
	const kb_conn_events_t *events = conn->base.events;

	conn->batch.clear();
	for (size_t i = 0; i < batch.size() && !conn->closed; i++) {
		const std::string &sql = batch[i];
		std::string term = std::to_string(target.term);
		std::string received = std::to_string(target.received);
		std::string applied = std::to_string(target.applied);
		FakeAnswer answer;

		if (sql == POSITION) {
			FakeAnswer position({ term.c_str(), received.c_str() });

			events->on_answer(&conn->base, i, &position.value);
			continue;
		}
		if (sql.rfind(CONTROL, 0) == 0) {
			FakeAnswer report(
				{ "t", term.c_str(),
				  target.primary ? "primary" : "replica",
				  received.c_str(), applied.c_str(),
				  target.history.c_str(), "" });

			events->on_answer(&conn->base, i, &report.value);
			continue;
		}
		target.executed.push_back(std::to_string(conn->number) + " " +
					  sql);
		if (sql.rfind("BEGIN", 0) == 0) {
			conn->in_transaction = true;
		} else if (sql == "ROLLBACK") {
			conn->in_transaction = false;
		} else if (sql == "COMMIT") {
			conn->in_transaction = false;
			target.received++;
			target.applied++;
		} else if (target.too_large) {
			answer.value.result = KB_ERR_TOO_LARGE;
		}
		events->on_answer(&conn->base, i, &answer.value);
	}
	if (!conn->closed)
		events->on_batch_end(&conn->base, conn->in_transaction);
}

bool FakeConnector::deliver(Conn *conn)
{
	FakeTarget &target = targets[conn->port];

	if (conn->closed)
		return false;
	if (!conn->opened) {
		if (target.stalls_open)
			return false;
		conn->opened = !target.refuses;
		conn->base.events->on_open(&conn->base,
					   target.refuses ? KB_ERR_UNREACHABLE
							  : KB_OK);
		return true;
	}
	if (conn->batch.empty())
		return false;
	if (conn->batch[0].rfind(CONTROL, 0) == 0 ? target.ignores_commands
						  : target.ignores_statements)
		return false;
	run(conn);
	return true;
}

bool FakeConnector::pump()
{
	std::vector<Conn *> now(conns.begin(), conns.end());
	bool delivered = false;

	if (replicates)
		replicate();
	for (Conn *conn : now)
		delivered |= deliver(conn);
	conns.remove_if([](Conn *conn) {
		bool closed = conn->closed;

		if (closed)
			delete conn;
		return closed;
	});
	return delivered;
}

void FakeConnector::cut(uint16_t port, bool busy_only)
{
	std::vector<Conn *> now(conns.begin(), conns.end());

	for (Conn *conn : now)
		if (conn->port == port && conn->opened && !conn->closed &&
		    (!busy_only || !conn->batch.empty()))
			conn->base.events->on_lost(&conn->base);
}
