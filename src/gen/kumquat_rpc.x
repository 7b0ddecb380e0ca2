/* Calls between hosts. Regenerate with src/gen/generate.sh. */

const KBX_NAME_MAX = 63;
const KBX_TEXT_MAX = 65536;
const KBX_ITEMS_MAX = 64;
const KBX_ROWS_MAX = 8388608;

struct kbx_point {
	unsigned hyper term;
	unsigned hyper position;
};

/* A parameter in text form; `is_null` set means SQL NULL. */
struct kbx_param {
	bool is_null;
	string text<KBX_TEXT_MAX>;
};

struct kbx_statement {
	string sql<KBX_TEXT_MAX>;
	kbx_param params<KBX_ITEMS_MAX>;
};

enum kbx_action {
	KBX_ACTION_READ = 0,
	KBX_ACTION_WRITE = 1,
	KBX_ACTION_BEGIN = 2,
	KBX_ACTION_STATEMENT = 3,
	KBX_ACTION_COMMIT = 4,
	KBX_ACTION_ROLLBACK = 5
};

struct kbx_execute_args {
	kbx_action action;
	string caller<KBX_NAME_MAX>;
	string group<KBX_NAME_MAX>;
	string target<KBX_NAME_MAX>;
	string traffic_class<KBX_NAME_MAX>;
	/* Name of an open transaction at the gate, or empty. */
	string transaction<KBX_NAME_MAX>;
	/* Idempotency key, or empty. */
	string key<KBX_NAME_MAX>;
	kbx_statement statements<KBX_ITEMS_MAX>;
	/* Time left, in microseconds. */
	hyper deadline_us;
	/* Greatest age of the data for a read, in microseconds. */
	hyper max_age_us;
	/* Point that a read must include. */
	kbx_point include;
	string traceparent<KBX_NAME_MAX>;
};

/* What the gate knows of a target; a hint for routing. */
struct kbx_target_view {
	string target<KBX_NAME_MAX>;
	bool primary;
	unsigned hyper applied;
	/* Upper bound of the age of its data, in microseconds, or -1. */
	hyper age_us;
	unsigned int waiting;
};

struct kbx_group_view {
	unsigned hyper term;
	kbx_target_view targets<KBX_ITEMS_MAX>;
};

struct kbx_execute_res {
	/* A kb_result_t. */
	int result;
	string message<KBX_TEXT_MAX>;
	/* JSON text of the answer. */
	opaque answer<KBX_ROWS_MAX>;
	/* Point that holds the write, if any. */
	kbx_point point;
	string transaction<KBX_NAME_MAX>;
	/* Set if the answer was stored by an earlier submission. */
	bool replayed;
	hyper age_us;
	/* Time that the statement ran, in microseconds, or -1. */
	hyper service_us;
	kbx_group_view view;
};

struct kbx_view_args {
	string group<KBX_NAME_MAX>;
};

/* How a watching host sees the primary of a group. */
struct kbx_view_res {
	/* A kb_health_t. */
	int health;
	unsigned hyper term;
};

const KBX_MESSAGE_MAX = 2097152;

/* An encoded message of membership or configuration. */
struct kbx_message {
	opaque data<KBX_MESSAGE_MAX>;
};

program KUMQUAT_PROGRAM {
	version KUMQUAT_VERSION {
		kbx_execute_res KUMQUAT_EXECUTE(kbx_execute_args) = 1;
		kbx_view_res KUMQUAT_VIEW(kbx_view_args) = 2;
		/* Sent as a datagram; has no reply. */
		void KUMQUAT_MEMBER(kbx_message) = 3;
		void KUMQUAT_SPREAD(kbx_message) = 4;
	} = 1;
} = 0x2b4b5142;
