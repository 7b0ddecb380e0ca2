/*
 * Numbered log events: KB_EVENT(number, name, level, text). Ranges: 1000
 * daemon, 1100 targets, 1200 gates and requests, 1300 failover, 1400
 * membership, 1500 configuration, 1600 store, 1700 operators, 1800 callers,
 * 1900 calls between hosts.
 */
KB_EVENT(1000, DAEMON_STARTED, INFO, "daemon started")
KB_EVENT(1001, DAEMON_STOPPED, INFO, "daemon stopped")
KB_EVENT(1002, STOP_REQUESTED, INFO, "planned stop began")
KB_EVENT(1003, STOP_FORCED, WARN, "stop forced before the drain ended")
KB_EVENT(1004, LISTEN_FAILED, ERROR, "cannot listen on an address")

KB_EVENT(1100, TARGET_CONNECTED, INFO, "target connection opened")
KB_EVENT(1101, TARGET_CONNECT_FAILED, WARN, "target connection failed")
KB_EVENT(1102, TARGET_CONNECTION_LOST, WARN, "target connection lost")

KB_EVENT(1200, GATE_OPENED, INFO, "host became the gate of a target")
KB_EVENT(1201, GATE_CLOSED, INFO, "host is no longer the gate of a target")
KB_EVENT(1202, OUTCOME_UNKNOWN, WARN, "a write ended with outcome unknown")

KB_EVENT(1400, MEMBER_JOINED, INFO, "host became known or returned")
KB_EVENT(1401, MEMBER_LEAVING, INFO, "host takes no new work")
KB_EVENT(1402, MEMBER_SUSPECTED, DEBUG, "host does not answer probes")
KB_EVENT(1403, MEMBER_DEAD, WARN, "host is held dead")
KB_EVENT(1404, MEMBER_SUPERSEDED, ERROR,
	 "a later process elsewhere has this host's name")
KB_EVENT(1405, MEMBER_MALFORMED, WARN,
	 "membership message that cannot be decoded")

KB_EVENT(1500, CONFIG_IN_FORCE, INFO,
	 "a revision of the configuration is in force")
KB_EVENT(1501, CONFIG_RELAY_STARTED, INFO,
	 "host watches the store for its data centre")
KB_EVENT(1502, CONFIG_RELAY_STOPPED, INFO, "host no longer watches the store")
KB_EVENT(1503, CONFIG_STALE, DEBUG, "an older revision was offered and ignored")
KB_EVENT(1504, CONFIG_MALFORMED, WARN,
	 "configuration message that cannot be decoded")

KB_EVENT(1900, RPC_CONNECTION_LOST, WARN, "connection to a host lost")
KB_EVENT(1901, RPC_VERSION_REFUSED, WARN, "message of an unknown version")
KB_EVENT(1902, RPC_LATE_REPLY, DEBUG, "reply to a call that has ended")
KB_EVENT(1903, RPC_MALFORMED, WARN, "message that cannot be decoded")
