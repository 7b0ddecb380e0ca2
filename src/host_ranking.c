#include "host_ranking.h"

#include "rendezvous.h"

#include <math.h>
#include <stdlib.h>

/* Least weight of a host, so that each has one. */
#define MIN_PROCESSOR_SHARE 0.01

typedef struct ranked {
	kb_host_t *host;
	/* Listed hosts that have not failed come before others. */
	int available;
	/* 2 in the data centre, 1 in the region, else 0. */
	int locality;
	/* Weighted rendezvous score; lower is better. */
	double score;
	int taken;
} ranked_t;

/*
 * Weighted rendezvous hashing: with u uniform in (0, 1), the chance that
 * -log(u) / weight is the least of all is in proportion to the weight.
 */
static double weighted_score(const kb_host_t *host, kb_str_t key)
{
	uint64_t hash = kb_rendezvous_score(kb_name_str(&host->name), key);
	double u = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
	double weight = host->processor_share > MIN_PROCESSOR_SHARE
				? host->processor_share
				: MIN_PROCESSOR_SHARE;

	return -log(u) / weight;
}

static int compare(const void *a, const void *b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;

	if (x->available != y->available)
		return y->available - x->available;
	if (x->locality != y->locality)
		return y->locality - x->locality;
	if (x->score != y->score)
		return x->score > y->score ? 1 : -1;
	return kb_str_compare(kb_name_str(&x->host->name),
			      kb_name_str(&y->host->name));
}

static size_t collect(ranked_t *ranked, const kb_hosts_t *hosts,
		      const kb_host_ranking_subject_t *subject)
{
	size_t count = 0;

	for (size_t i = 0; i < hosts->count; i++) {
		kb_host_t *host = hosts->hosts[i];
		ranked_t *entry = &ranked[count];

		if (!host->live || host->leaving)
			continue;
		entry->host = host;
		entry->available = !host->failed && !host->unlisted_at;
		entry->locality =
			kb_name_is(&host->data_centre, subject->data_centre) ? 2
			: kb_name_is(&host->region, subject->region)	     ? 1
								     : 0;
		entry->score = weighted_score(host, subject->key);
		entry->taken = 0;
		count++;
	}
	return count;
}

static size_t count_in_data_centre(const kb_host_ranking_t *ranking,
				   size_t from, const kb_host_t *host)
{
	size_t count = 0;

	for (size_t i = from; i < ranking->count; i++)
		count += (size_t)kb_name_is(&ranking->hosts[i]->data_centre,
					    kb_name_str(&host->data_centre));
	return count;
}

/*
 * Adds hosts in passes, in each of which a data centre gives a few hosts, until
 * the ranking has `limit`. Takes those whose locality is `local` or not 0.
 */
static void add_spread(kb_host_ranking_t *ranking, ranked_t *ranked,
		       size_t count, int local, size_t limit)
{
	int added = 1;

	while (added && ranking->count < limit) {
		size_t pass = ranking->count;

		added = 0;
		for (size_t i = 0; i < count && ranking->count < limit; i++) {
			if (ranked[i].taken || !ranked[i].available ||
			    !!ranked[i].locality != local ||
			    count_in_data_centre(ranking, pass,
						 ranked[i].host) >=
				    KB_HOST_RANKING_PER_DATA_CENTRE)
				continue;
			ranked[i].taken = 1;
			ranking->hosts[ranking->count++] = ranked[i].host;
			added = 1;
		}
	}
}

static void add_rest(kb_host_ranking_t *ranking, ranked_t *ranked, size_t count)
{
	for (size_t i = 0; i < count && ranking->count < KB_HOST_RANKING_MAX;
	     i++)
		if (!ranked[i].taken)
			ranking->hosts[ranking->count++] = ranked[i].host;
}

void kb_host_ranking_update(kb_host_ranking_t *ranking, const kb_hosts_t *hosts,
			    const kb_host_ranking_subject_t *subject)
{
	ranked_t *ranked;
	size_t count;

	if (ranking->generation == hosts->generation &&
	    kb_name_is(&ranking->data_centre, subject->data_centre))
		return;
	ranked = calloc(hosts->count + 1, sizeof(*ranked));
	if (!ranked)
		return;
	count = collect(ranked, hosts, subject);
	qsort(ranked, count, sizeof(*ranked), compare);
	ranking->count = 0;
	if (subject->spread) {
		add_spread(ranking, ranked, count, 1,
			   KB_HOST_RANKING_MAX - KB_HOST_RANKING_REMOTE);
		add_spread(ranking, ranked, count, 0, KB_HOST_RANKING_MAX);
	}
	add_rest(ranking, ranked, count);
	free(ranked);
	ranking->generation = hosts->generation;
	kb_name_set(&ranking->data_centre, subject->data_centre);
}
