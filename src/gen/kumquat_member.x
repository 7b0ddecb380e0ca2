/* Messages of membership and configuration between hosts. */

const KBX_MEMBER_NAME_MAX = 63;
const KBX_MEMBER_RECORDS_MAX = 32;
const KBX_MEMBER_BUCKETS_MAX = 256;
const KBX_MEMBER_PROTOCOL = 1;

struct kbx_member_record {
	opaque name<KBX_MEMBER_NAME_MAX>;
	opaque address<KBX_MEMBER_NAME_MAX>;
	unsigned int port;
	opaque data_centre<KBX_MEMBER_NAME_MAX>;
	opaque region<KBX_MEMBER_NAME_MAX>;
	unsigned hyper instance;
	unsigned int incarnation;
	unsigned int state;
};

struct kbx_member_message {
	unsigned int protocol;
	unsigned int type;
	unsigned hyper sequence;
	opaque to<KBX_MEMBER_NAME_MAX>;
	kbx_member_record from;
	opaque subject<KBX_MEMBER_NAME_MAX>;
	kbx_member_record records<KBX_MEMBER_RECORDS_MAX>;
	unsigned int buckets<KBX_MEMBER_BUCKETS_MAX>;
	bool more;
};

const KBX_SPREAD_PROTOCOL = 1;
const KBX_SPREAD_CHANGES_MAX = 4096;
const KBX_SPREAD_VALUE_MAX = 1048576;
const KBX_SPREAD_HOSTS_MAX = 8;

struct kbx_spread_change {
	opaque kind<KBX_MEMBER_NAME_MAX>;
	opaque name<KBX_MEMBER_NAME_MAX>;
	unsigned hyper revision;
	bool deleted;
	opaque value<KBX_SPREAD_VALUE_MAX>;
};

struct kbx_spread_lag {
	opaque host<KBX_MEMBER_NAME_MAX>;
	unsigned hyper revision;
};

struct kbx_spread_message {
	unsigned int protocol;
	unsigned int type;
	opaque from<KBX_MEMBER_NAME_MAX>;
	unsigned hyper revision;
	unsigned hyper after;
	unsigned hyper digest;
	unsigned hyper floor;
	bool whole;
	bool more;
	unsigned int hosts;
	unsigned int in_force;
	kbx_spread_change changes<KBX_SPREAD_CHANGES_MAX>;
	kbx_spread_lag lagging<KBX_SPREAD_HOSTS_MAX>;
};
