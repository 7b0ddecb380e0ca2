/* Calls between hosts that serve sessions. Regenerate with generate.sh. */

const KBS_TEXT_MAX = 1048576;
const KBS_ROWS_MAX = 1048576;
const KBS_VALUES_MAX = 4096;
const KBS_ENTRIES_MAX = 65536;
const KBS_FEED_MAX = 8388608;
const KBS_LOANS_MAX = 4096;
const KBS_ORDER_TARGETS_MAX = 4;

typedef opaque kbs_text<KBS_TEXT_MAX>;

struct kbs_point {
	unsigned hyper term;
	unsigned hyper position;
};

enum kbs_kind {
	KBS_READ = 0,
	KBS_WRITE = 1,
	KBS_COMMIT = 2,
	KBS_ROLLBACK = 3
};

struct kbs_value {
	kbs_text name;
	kbs_text value;
};

struct kbs_run_args {
	kbs_text group;
	/* Target, or empty for the group's primary. */
	kbs_text target;
	/* Team of the caller, or empty. */
	kbs_text team;
	kbs_kind kind;
	/* Whether it belongs to a transaction that the caller opened. */
	bool transactional;
	/* Whether that transaction may run on a replica. */
	bool read_only;
	/* Transaction at the gate, or 0 to open one. */
	unsigned hyper transaction;
	kbs_text id;
	/* Shape of the prepared statement to run, or empty. */
	kbs_text shape;
	kbs_text body;
	/* All values of the session. */
	kbs_value values<KBS_VALUES_MAX>;
	/* Point that the target's log must include, or zero. */
	kbs_point include;
	/* Time in which it may still run, in microseconds. */
	hyper time_left_us;
	/* Time left of its objective, in microseconds; may be negative. */
	hyper objective_left_us;
	/* 0 is served first. */
	unsigned int priority;
	/* Longest pause between statements of the transaction. */
	hyper idle_limit_us;
};

/* State of the gate that answers, a hint for placing reads. */
struct kbs_load {
	unsigned int waiting;
	unsigned int running;
	unsigned int slots;
	hyper service_us;
};

/* What a host that holds a group knows of its primary. */
struct kbs_stamp {
	bool valid;
	/* No host serves the group: it bounds commits, and shows no holder. */
	bool vacant;
	/* Term in which the primary leads. */
	unsigned hyper term;
	/* Newest point that any acknowledged write has. */
	kbs_point point;
	kbs_text primary;
	/* Time since that was so, in microseconds. */
	hyper age_us;
};

struct kbs_run_res {
	/* A kb_result_t. */
	int result;
	kbs_text message;
	kbs_text rows<KBS_ROWS_MAX>;
	kbs_text signature;
	kbs_point point;
	/* Transaction that stays open, or 0. */
	unsigned hyper transaction;
	/* Whether the statement was sent to a target. */
	bool offered;
	/* Time until a retry may succeed, in microseconds, or 0. */
	hyper retry_us;
	kbs_load load;
	kbs_stamp stamp;
	/* Host that holds the group as the answering host knows, or empty. */
	kbs_text holder;
};

/* A key of the platform's store with its value. */
struct kbs_entry {
	kbs_text key;
	kbs_text value;
	unsigned hyper revision;
};

struct kbs_sync_args {
	kbs_text host;
	/* Revision up to which the sender knows the store. */
	unsigned hyper revision;
	bool whole;
	/* Time to wait for a change, in microseconds. */
	hyper wait_us;
};

struct kbs_sync_res {
	unsigned hyper revision;
	/* Time since the revision was read from the store, in microseconds. */
	hyper age_us;
	/* Keys removed since the sender's revision. */
	kbs_text removed<KBS_ENTRIES_MAX>;
	/* Keys changed since the sender's revision. */
	kbs_entry changed<KBS_ENTRIES_MAX>;
	/* `changed` has all keys that exist. */
	bool whole;
};

/* Answer to a call for changes; its data is a compressed kbs_sync_res. */
struct kbs_feed_res {
	unsigned hyper revision;
	/* Time since the revision was read from the store, in microseconds. */
	hyper age_us;
	/* Time that the call has waited, in microseconds. */
	hyper waited_us;
	/* Size of the data before compression; 0 if there is none. */
	unsigned int data_size;
	opaque data<KBS_FEED_MAX>;
};

/* The last order to promote a target of a group. */
struct kbs_order {
	unsigned hyper number;
	unsigned hyper term;
	/* Empty if the order was withdrawn. */
	kbs_text target;
	/* Target of an order that it replaced, or empty. */
	kbs_text earlier;
	/* Targets of former requests whose answer was lost. */
	kbs_text unanswered<KBS_ORDER_TARGETS_MAX>;
	/* Highest term whose primary may have been served. */
	unsigned hyper served_term;
};

/* The holder of a group asks a candidate not to take the group over. */
struct kbs_grant_args {
	kbs_text group;
	kbs_text holder;
	unsigned hyper revision;
	/* Whether the sender serves the group now. */
	bool serving;
	/* Only an order that the record in the store lacks. */
	kbs_order *order;
};

struct kbs_grant_res {
	bool granted;
	/* Time without a grant to any other host, in microseconds. */
	hyper quiet_us;
	/* Time since this host reached the store itself, in microseconds. */
	hyper store_age_us;
	/* Only an order that the record in the store lacks. */
	kbs_order *order;
};

/* The store's key of a group names the receiver now. */
struct kbs_look_args {
	kbs_text group;
};

struct kbs_look_res {
	bool taken;
};

/* Asks what a host has granted to holders of a group. */
struct kbs_granted_args {
	kbs_text group;
};

struct kbs_granted_res {
	/* It may tell: its own process has read the key from the store. */
	bool known;
	/* Highest revision of a holder that was granted a renewal. */
	unsigned hyper revision;
	/* Time since the last grant, in microseconds. */
	hyper age_us;
};

/* Asks when a host last heard the holder of a group serve it. */
struct kbs_heard_args {
	kbs_text group;
	kbs_text holder;
};

struct kbs_heard_res {
	/* Time since then in microseconds, or -1. */
	hyper age_us;
};

struct kbs_stamp_args {
	kbs_text group;
};

struct kbs_stamp_res {
	kbs_stamp stamp;
	kbs_text holder;
};

/* Asks a host whether it reaches a target as primary. */
struct kbs_reach_args {
	kbs_text group;
	kbs_text target;
};

struct kbs_reach_res {
	bool reached;
	bool primary;
	unsigned hyper term;
};

/* Operations that a host wants to run for a team. */
struct kbs_loan_request {
	/* The holder of this group keeps the share that is asked. */
	kbs_text group;
	kbs_text team;
	unsigned int operations;
};

/* A host asks a keeper of teams' accounts for loans. */
struct kbs_loan_args {
	kbs_loan_request requests<KBS_LOANS_MAX>;
};

struct kbs_loan {
	/* A kb_result_t: KB_ERR_NOT_GATE if the host does not hold the group. */
	int result;
	unsigned int operations;
	/* Time until more may be lent, in microseconds; 0 if all was lent. */
	hyper retry_us;
	/* Time in which all that were denied could be served. */
	hyper queue_us;
	/* Host that holds the group as the answering host knows, or empty. */
	kbs_text holder;
};

struct kbs_loan_res {
	/* Loans in the order of the requests. */
	kbs_loan loans<KBS_LOANS_MAX>;
};
