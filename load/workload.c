#include "workload.h"

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const kl_read_kind_t board = { "board", 0 };
static const kl_read_kind_t pull = { "pull", 5 * KB_NS_PER_S };
static const kl_read_kind_t browse = { "browse", 2 * KB_NS_PER_S };

static const char *const kalahari_tables[] = { "clockings" };

static const kl_op_spec_t own_clocking = { .name = "own-clocking",
					   .action = KL_ACTION_READ_OWN,
					   .table = 0,
					   .read_kind = &pull };

static const kl_op_spec_t kalahari_ops[] = {
	{ .name = "clocking",
	  .action = KL_ACTION_INSERT,
	  .weight = 20,
	  .burst_weight = 70,
	  .table = 0,
	  .traffic_class = "clocking",
	  .keyed = 1,
	  .follow_up = &own_clocking },
	{ .name = "board-refresh",
	  .action = KL_ACTION_LOOK_UP,
	  .weight = 50,
	  .burst_weight = 25,
	  .table = 0,
	  .read_kind = &board },
	{ .name = "check-pull",
	  .action = KL_ACTION_LOOK_UP,
	  .weight = 20,
	  .burst_weight = 3,
	  .table = 0,
	  .read_kind = &pull },
	{ .name = "bulk-pull",
	  .action = KL_ACTION_BULK,
	  .weight = 10,
	  .burst_weight = 2,
	  .table = 0,
	  .read_kind = &pull },
};

enum { INTAKE, PARTS, CLAIMS };
static const char *const sledza_tables[] = {
	[INTAKE] = "intake", [PARTS] = "parts", [CLAIMS] = "claims"
};

static const kl_op_spec_t own_intake = { .name = "own-intake",
					 .action = KL_ACTION_READ_OWN,
					 .table = INTAKE,
					 .read_kind = &browse };
static const kl_op_spec_t own_claim = { .name = "own-claim",
					.action = KL_ACTION_READ_OWN,
					.table = CLAIMS,
					.read_kind = &browse };
static const kl_op_spec_t reservation = { .name = "reservation",
					  .action = KL_ACTION_TAKE,
					  .table = PARTS,
					  .traffic_class = "counter",
					  .keyed = 1 };

static const kl_op_spec_t sledza_ops[] = {
	{ .name = "intake",
	  .action = KL_ACTION_INSERT,
	  .weight = 15,
	  .burst_weight = 15,
	  .table = INTAKE,
	  .traffic_class = "counter",
	  .follow_up = &own_intake },
	{ .name = "new-part",
	  .action = KL_ACTION_CREATE_PART,
	  .weight = 4,
	  .burst_weight = 4,
	  .table = PARTS,
	  .traffic_class = "counter",
	  .keyed = 1 },
	{ .name = "browse",
	  .action = KL_ACTION_LOOK_UP,
	  .weight = 66,
	  .burst_weight = 66,
	  .table = INTAKE,
	  .read_kind = &browse },
	{ .name = "browse-history",
	  .action = KL_ACTION_BULK,
	  .weight = 5,
	  .burst_weight = 5,
	  .table = INTAKE,
	  .read_kind = &browse },
	{ .name = "claim",
	  .action = KL_ACTION_INSERT,
	  .weight = 10,
	  .burst_weight = 10,
	  .table = CLAIMS,
	  .traffic_class = "claim",
	  .keyed = 1,
	  .follow_up = &own_claim },
};

static const kl_workload_t workloads[] = {
	{ .name = "kalahari",
	  .tables = kalahari_tables,
	  .ops = kalahari_ops,
	  .op_count = COUNT_OF(kalahari_ops),
	  .burst_factor = 3,
	  .burst_period = 8 * KB_NS_PER_S,
	  .burst_length = 2 * KB_NS_PER_S },
	{ .name = "sledza",
	  .tables = sledza_tables,
	  .ops = sledza_ops,
	  .op_count = COUNT_OF(sledza_ops),
	  .take = &reservation,
	  .burst_factor = 1,
	  .burst_period = 8 * KB_NS_PER_S,
	  .burst_length = 0 },
};

const kl_workload_t *kl_workload_find(const char *name)
{
	for (size_t i = 0; i < COUNT_OF(workloads); i++)
		if (!strcmp(workloads[i].name, name))
			return &workloads[i];
	return NULL;
}
