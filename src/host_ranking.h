#ifndef KB_HOST_RANKING_H
#define KB_HOST_RANKING_H

#include "hosts.h"

KB_BEGIN_DECLS

enum {
	/* Hosts that a ranking keeps. */
	KB_HOST_RANKING_MAX = 16,
	/* Those of a spread ranking that are in other regions, if there are. */
	KB_HOST_RANKING_REMOTE = 4,
	/* Hosts of one data centre in a row in a spread ranking. */
	KB_HOST_RANKING_PER_DATA_CENTRE = 2,
};

/* What hosts are ranked for. */
typedef struct kb_host_ranking_subject {
	/* Name of the target or group. */
	kb_str_t key;
	/* Place near which a host should be; empty if unknown. */
	kb_str_t data_centre;
	kb_str_t region;
	/*
	 * Alternates between data centres of the region, so that the loss of
	 * one leaves most of the first hosts.
	 */
	int spread;
} kb_host_ranking_subject_t;

/*
 * The most suitable live hosts for a subject, best first. The order is a
 * function of the membership, alike on all hosts that know the same one: hosts
 * that are listed and have not failed come first, then near ones, then by
 * rendezvous hashing weighted with the processor share. It is kept until the
 * membership changes.
 */
typedef struct kb_host_ranking {
	/* Generation of the hosts that were ranked; 0 if none were. */
	uint64_t generation;
	kb_name_t data_centre;
	size_t count;
	kb_host_t *hosts[KB_HOST_RANKING_MAX];
} kb_host_ranking_t;

/*
 * Brings the ranking up to date. Without memory the former one is kept.
 */
void kb_host_ranking_update(kb_host_ranking_t *ranking, const kb_hosts_t *hosts,
			    const kb_host_ranking_subject_t *subject);

KB_END_DECLS

#endif
