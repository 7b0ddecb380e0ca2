#ifndef KB_STRIDE_H
#define KB_STRIDE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Stride scheduling: parties that compete share service time by weight. The
 * next one served is the one whose virtual time, the service received divided
 * by the weight, is the least. A party that had nothing to do does not save up
 * service beyond a credit, but keeps what it received ahead of the others.
 */
typedef struct kb_stride {
	kb_time_t virtual_time;
} kb_stride_t;

/* Virtual time that the competing parties have reached. */
typedef struct kb_stride_clock {
	kb_time_t virtual_time;
} kb_stride_clock_t;

/*
 * Lets a party that had nothing to do compete again. Of the service that it did
 * not ask for it may catch up on `credit`.
 */
void kb_stride_join(kb_stride_t *party, const kb_stride_clock_t *clock,
		    kb_time_t credit);

/* Advances the clock to a party that is being served. */
void kb_stride_advance(kb_stride_clock_t *clock, const kb_stride_t *party);

/* Charges service, which is negative to correct an estimate. */
void kb_stride_charge(kb_stride_t *party, kb_time_t service, unsigned weight);

/* Returns how far a party is ahead of the clock. */
kb_time_t kb_stride_lead(const kb_stride_t *party,
			 const kb_stride_clock_t *clock);

/* Whether `a` is served before `b`. */
int kb_stride_before(const kb_stride_t *a, const kb_stride_t *b);

/*
 * Returns the service given before `own` service of a party of `weight` is
 * done, if all that compete have `weights` and ask for `total` service.
 */
kb_time_t kb_stride_expected(kb_time_t own, kb_time_t total, unsigned weight,
			     unsigned weights);

KB_END_DECLS

#endif
