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

KB_EVENT(1005, SETTINGS_RELOADED, INFO, "settings were read again")
KB_EVENT(1006, READINESS, INFO, "readiness for new callers changed")

KB_EVENT(1100, TARGET_CONNECTED, INFO, "target connection opened")
KB_EVENT(1101, TARGET_CONNECT_FAILED, WARN, "target connection failed")
KB_EVENT(1102, TARGET_CONNECTION_LOST, WARN, "target connection lost")

KB_EVENT(1103, TARGET_MALFORMED, WARN,
	 "a target sent what cannot be decoded")

KB_EVENT(1200, GATE_OPENED, INFO, "host became the gate of a target")
KB_EVENT(1201, GATE_CLOSED, INFO, "host is no longer the gate of a target")
KB_EVENT(1202, OUTCOME_UNKNOWN, WARN, "a write ended with outcome unknown")
KB_EVENT(1203, FENCE_SENT, INFO, "fence order sent to a target")
KB_EVENT(1204, PROMOTE_SENT, INFO, "promotion order sent to a target")

KB_EVENT(1300, PRIMARY_SUSPECTED, INFO, "primary answers late")
KB_EVENT(1301, PRIMARY_LOST, WARN, "no primary serves the group")
KB_EVENT(1302, PROMOTION_STARTED, WARN, "promotion began")
KB_EVENT(1303, PROMOTION_FAILED, WARN, "attempt at a promotion ended")
KB_EVENT(1304, PRIMARY_PROMOTED, WARN, "target promoted to primary")
KB_EVENT(1305, PRIMARY_CHANGED, INFO, "group has another primary")
KB_EVENT(1306, TARGET_REPOINTED, INFO, "target ordered to follow the primary")
KB_EVENT(1307, GROUP_CUT_OFF, WARN, "host reaches no majority of a group")
KB_EVENT(1308, PRIMARY_SERVES, INFO, "primary serves again")

KB_EVENT(1309, LEAD_STATE, INFO, "the watch over a primary changed its state")
KB_EVENT(1310, HOLD_STATE, INFO, "who may replace a group's primary changed")

KB_EVENT(1311, GROUP_VACANT, WARN,
	 "no host holds a group; its primary's position bounds reads")

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
KB_EVENT(1504, CONFIG_MALFORMED, WARN,
	 "configuration message that cannot be decoded")

KB_EVENT(1600, STORE_CALL_FAILED, WARN, "a call to the store failed")
KB_EVENT(1601, STORE_WATCH_CUT, WARN, "watch of the store cut")
KB_EVENT(1602, STORE_WATCH_RUNNING, INFO, "watch of the store runs")
KB_EVENT(1603, STORE_COMPACTED, INFO, "the store has forgotten changes")
KB_EVENT(1604, STORE_STALE_READ, WARN, "the store showed an old state")

KB_EVENT(1605, STORE_LOST, WARN, "the store does not answer")
KB_EVENT(1606, STORE_REGAINED, INFO, "the store answers")
KB_EVENT(1607, STORE_ENTRY_MALFORMED, WARN,
	 "an entry of the store cannot be decoded and is not used")

KB_EVENT(1700, RESOURCE_CHANGED, INFO, "an operator's change was accepted")
KB_EVENT(1701, RESOURCE_CONFLICT, INFO, "an operator's change met a conflict")
KB_EVENT(1702, RESOURCE_UNKNOWN, WARN,
	 "outcome of an operator's change unknown")
KB_EVENT(1703, OPERATOR_REFUSED, WARN, "an operator was refused")

KB_EVENT(1800, TRACE_FAILED, ERROR, "the trace file cannot be written")

KB_EVENT(1810, SESSION_REFUSED, INFO, "a session was refused")
KB_EVENT(1811, REQUEST_FAILED, INFO, "a request ended without success")
KB_EVENT(1812, REQUEST_RETRIED, INFO, "a request goes to another target")
KB_EVENT(1813, SESSION_MALFORMED, WARN,
	 "a caller sent what cannot be decoded")
KB_EVENT(1814, LOG_SUPPRESSED, WARN, "log lines were left out")

KB_EVENT(1900, RPC_CONNECTION_LOST, WARN, "connection to a host lost")
KB_EVENT(1901, RPC_VERSION_REFUSED, WARN, "message of an unknown version")
KB_EVENT(1902, RPC_LATE_REPLY, DEBUG, "reply to a call that has ended")
KB_EVENT(1903, RPC_MALFORMED, WARN, "message that cannot be decoded")
