#include "rendezvous.h"

#include <xxhash.h>

uint64_t kb_rendezvous_score(kb_str_t node, kb_str_t key)
{
	uint64_t seed = XXH3_64bits(key.data, key.len);

	return XXH3_64bits_withSeed(node.data, node.len, seed);
}
