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

KB_EVENT(1300, PRIMARY_SUSPECTED, INFO, "primary answers late")
KB_EVENT(1301, PRIMARY_LOST, WARN, "no primary serves the group")
KB_EVENT(1302, PROMOTION_STARTED, WARN, "promotion began")
KB_EVENT(1303, PROMOTION_FAILED, WARN, "attempt at a promotion ended")
KB_EVENT(1304, PRIMARY_PROMOTED, WARN, "target promoted to primary")
KB_EVENT(1305, PRIMARY_CHANGED, INFO, "group has another primary")
KB_EVENT(1306, TARGET_REPOINTED, INFO, "target ordered to follow the primary")
KB_EVENT(1307, GROUP_CUT_OFF, WARN, "host reaches no majority of a group")
KB_EVENT(1308, PRIMARY_SERVES, INFO, "primary serves again")

KB_EVENT(1900, RPC_CONNECTION_LOST, WARN, "connection to a host lost")
KB_EVENT(1901, RPC_VERSION_REFUSED, WARN, "message of an unknown version")
KB_EVENT(1902, RPC_LATE_REPLY, DEBUG, "reply to a call that has ended")
KB_EVENT(1903, RPC_MALFORMED, WARN, "message that cannot be decoded")
