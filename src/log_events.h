/*
 * Numbered log events: KB_EVENT(number, name, level, text). Ranges: 1000
 * daemon, 1100 targets, 1200 gates and requests, 1300 failover, 1400
 * membership, 1500 configuration, 1600 store, 1700 operators, 1800 callers,
 * 1900 calls between hosts.
 */
KB_EVENT(1000, DAEMON_STARTED, INFO, "daemon started")
KB_EVENT(1001, DAEMON_STOPPED, INFO, "daemon stopped")
KB_EVENT(1002, STOP_REQUESTED, INFO, "planned stop started")
KB_EVENT(1003, STOP_FORCED, WARN, "stop forced before the drain ended")
KB_EVENT(1004, LISTEN_FAILED, ERROR, "cannot listen on an address")

KB_EVENT(1005, SETTINGS_RELOADED, INFO, "settings reloaded")
KB_EVENT(1006, READINESS, INFO, "readiness for new callers changed")
KB_EVENT(1007, START_PHASE, INFO, "the start of the host reached a phase")

KB_EVENT(1100, TARGET_CONNECTED, INFO, "target connection opened")
KB_EVENT(1101, TARGET_CONNECT_FAILED, WARN, "target connection failed")
KB_EVENT(1102, TARGET_CONNECTION_LOST, WARN, "target connection lost")

KB_EVENT(1103, TARGET_MALFORMED, WARN, "malformed message from a target")
KB_EVENT(1104, TARGET_COMMAND_DROPPED, WARN, "command queue of a target is full")
KB_EVENT(1105, TEAM_WAITS, INFO, "a team waits for a connection to a target")
KB_EVENT(1106, TARGET_PACE_CUT, INFO, "fewer statements are sent to a target")
KB_EVENT(1107, TARGET_PACE_FULL, INFO,
	 "a target is sent as many statements as its slots run again")
KB_EVENT(1108, COMMAND_MALFORMED, WARN, "a command cannot be sent as one message")

KB_EVENT(1200, GATE_OPENED, INFO, "host became the gate of a target")
KB_EVENT(1201, GATE_CLOSED, INFO, "host is no longer the gate of a target")
KB_EVENT(1202, OUTCOME_UNKNOWN, WARN, "outcome of a write is unknown")
KB_EVENT(1203, FENCE_SENT, INFO, "fence command sent to a target")
KB_EVENT(1204, PROMOTE_SENT, INFO, "promotion command sent to a target")

KB_EVENT(1300, PRIMARY_SUSPECTED, INFO, "primary is slow to answer")
KB_EVENT(1301, PRIMARY_LOST, WARN, "group has no serving primary")
KB_EVENT(1302, PROMOTION_STARTED, WARN, "promotion started")
KB_EVENT(1303, PROMOTION_FAILED, WARN, "promotion attempt failed")
KB_EVENT(1304, PRIMARY_PROMOTED, WARN, "target promoted to primary")
KB_EVENT(1305, PRIMARY_CHANGED, INFO, "primary of a group changed")
KB_EVENT(1306, TARGET_REPOINTED, INFO,
	 "command to follow the primary sent to a target")
KB_EVENT(1307, GROUP_CUT_OFF, WARN, "host cannot reach a majority of a group")
KB_EVENT(1308, PRIMARY_SERVES, INFO, "primary serves again")

KB_EVENT(1309, LEAD_STATE, INFO, "monitor of a primary changed state")
KB_EVENT(1310, HOLD_STATE, INFO, "lease of a group changed state")

KB_EVENT(1311, GROUP_VACANT, WARN,
	 "no host holds a group's lease; its primary's position bounds reads")
KB_EVENT(1312, HOLD_FENCED, INFO,
	 "other hosts have granted a renewal that excludes former ones")

KB_EVENT(1313, PROMOTION_REPEATED, WARN,
	 "an order to promote is repeated, as it may be open")
KB_EVENT(1314, PROMOTION_WITHDRAWN, WARN,
	 "an order to promote was refused and is withdrawn")

KB_EVENT(1315, PROMOTION_BLOCKED, WARN,
	 "no target is known to have all acknowledged commits")
KB_EVENT(1316, PRIMARY_NOT_USED, WARN,
	 "a primary is not used as a later term or an open order is known")
KB_EVENT(1317, VACANCY_ENDED, INFO,
	 "a target reports a later term than that of a vacant group's primary")
KB_EVENT(1318, ORDERS_WATCHED, WARN,
	 "orders to promote other targets may take effect, or none does now")
KB_EVENT(1319, LATER_TERM, WARN,
	 "a target reports a later term than that of the serving primary")
KB_EVENT(1320, LOG_TERM_MISSING, WARN,
	 "no target that answers has the term that was served")
KB_EVENT(1321, ORDERS_UNKNOWN, WARN,
	 "orders of former holders may be unknown, or all are known now")
KB_EVENT(1322, COPY_GONE, INFO,
	 "a target without an entry no longer counts as a copy")

KB_EVENT(1400, MEMBER_JOINED, INFO, "host joined or returned")
KB_EVENT(1401, MEMBER_LEAVING, INFO, "host is leaving and accepts no new work")
KB_EVENT(1402, MEMBER_SUSPECTED, DEBUG, "host does not answer probes")
KB_EVENT(1403, MEMBER_DEAD, WARN, "host declared dead")
KB_EVENT(1404, MEMBER_SUPERSEDED, ERROR,
	 "a later process uses this host's name; this one stops serving")
KB_EVENT(1405, MEMBER_MALFORMED, WARN, "malformed membership message")
KB_EVENT(1406, MEMBER_DISCOVERED, INFO,
	 "list of the data centre's hosts was read from the store")

KB_EVENT(1500, CONFIG_IN_FORCE, INFO,
	 "a change of the configuration is in force on this host")
KB_EVENT(1501, CONFIG_RELAY_STARTED, INFO,
	 "host relays the store's changes to its data centre")
KB_EVENT(1502, CONFIG_RELAY_STOPPED, INFO,
	 "host no longer relays the store's changes")
KB_EVENT(1504, CONFIG_MALFORMED, WARN,
	 "malformed configuration message or resource")
KB_EVENT(1505, SYNC_PARENTS, INFO,
	 "other hosts feed this host the store's changes")
KB_EVENT(1506, SYNC_FAILED, WARN,
	 "changes of the store cannot be passed between hosts")
KB_EVENT(1507, CONFIG_TEAMS_IGNORED, WARN,
	 "teams or keys of the configuration cannot be used")

KB_EVENT(1600, STORE_CALL_FAILED, WARN, "store call failed")
KB_EVENT(1601, STORE_WATCH_CUT, WARN, "watch of the store interrupted")
KB_EVENT(1602, STORE_WATCH_RUNNING, INFO, "watch of the store is running")
KB_EVENT(1603, STORE_COMPACTED, INFO,
	 "changes not yet read were compacted in the store")
KB_EVENT(1604, STORE_STALE_READ, WARN, "the store returned stale data")

KB_EVENT(1605, STORE_LOST, WARN, "the store does not answer")
KB_EVENT(1606, STORE_REGAINED, INFO, "the store answers")
KB_EVENT(1607, STORE_ENTRY_MALFORMED, WARN, "malformed store entry ignored")
KB_EVENT(1608, STORE_RESTORED, WARN, "the store was restored from an older copy")

KB_EVENT(1700, RESOURCE_CHANGED, INFO, "an operator's change was accepted")
KB_EVENT(1701, RESOURCE_CONFLICT, INFO,
	 "an operator's change was rejected as conflicting")
KB_EVENT(1702, RESOURCE_UNKNOWN, WARN,
	 "outcome of an operator's change unknown")
KB_EVENT(1703, OPERATOR_REFUSED, WARN, "an operator's request was refused")

KB_EVENT(1800, TRACE_FAILED, ERROR, "the trace file cannot be written")

KB_EVENT(1810, SESSION_REFUSED, INFO, "a session was refused")
KB_EVENT(1811, REQUEST_FAILED, INFO, "a request failed")
KB_EVENT(1812, REQUEST_RETRIED, INFO, "a request is retried on another target")
KB_EVENT(1813, SESSION_MALFORMED, WARN, "malformed message from a caller")
KB_EVENT(1814, LOG_SUPPRESSED, WARN, "log lines were dropped")
KB_EVENT(1815, LIMIT_REACHED, INFO, "requests of a team were refused for its limit")
KB_EVENT(1816, KEY_REFUSED, INFO, "a caller's key identifies no team")
KB_EVENT(1817, GROUP_BEHIND_CUT, WARN,
	 "the hosts that decide who serves a group became silent or answer again")
KB_EVENT(1818, TARGET_SILENT, WARN,
	 "a target stopped answering this host or answers again")
KB_EVENT(1819, ANSWER_MALFORMED, WARN, "an answer cannot be sent as messages")

KB_EVENT(1900, RPC_CONNECTION_LOST, WARN, "connection to a host lost")
KB_EVENT(1901, RPC_VERSION_REFUSED, WARN, "message of an unsupported version")
KB_EVENT(1902, RPC_LATE_REPLY, DEBUG, "reply to a call that has ended")
KB_EVENT(1903, RPC_MALFORMED, WARN, "malformed message from a host")
KB_EVENT(1904, SOCKET_OPTION_FAILED, WARN, "a socket option was not set")
