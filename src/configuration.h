#ifndef KB_CONFIGURATION_H
#define KB_CONFIGURATION_H

#include "catalog.h"
#include "config_listeners.h"
#include "fleet.h"
#include "config_gossip.h"
#include "store_etcd.h"

KB_BEGIN_DECLS

/* Arguments to create a configuration; pointers are borrowed. */
typedef struct kb_configuration_setup {
	struct event_base *loop;
	kb_clock_t *clock;
	kb_catalog_t *catalog;
	kb_fleet_t *fleet;
	kb_hosts_t *hosts;
	/* Port 0 if there is no store. */
	kb_endpoint_t store;
	kb_time_t store_deadline;
	uint64_t seed;
} kb_configuration_setup_t;

/*
 * Keeps the catalogue up to date with the operators' resources. The relays of
 * each data centre watch the store; other hosts receive the changes from the
 * relays and from each other by gossip.
 */
typedef struct kb_configuration {
	/* First member: the gossip callbacks cast back from it. */
	kb_config_gossip_t gossip;
	kb_config_listeners_t listeners;
	kb_store_etcd_t etcd;
	int has_store;
	kb_clock_t *clock;
	kb_catalog_t *catalog;
	kb_fleet_t *fleet;
	kb_hosts_t *hosts;
	kb_wakeup_t wakeup;
} kb_configuration_t;

kb_result_t kb_configuration_init(kb_configuration_t *configuration,
				  const kb_configuration_setup_t *setup);
void kb_configuration_finish(kb_configuration_t *configuration);

/* Handles an encoded message from another host. */
void kb_configuration_on_message(kb_configuration_t *configuration,
				 const char *data, size_t len);

/* The membership record of a host has changed. */
void kb_configuration_on_member(kb_configuration_t *configuration,
				const kb_member_t *member);

/* Begins to collect where each revision is in force, for the operators. */
kb_result_t kb_configuration_watch_status(kb_configuration_t *configuration);

KB_END_DECLS

#endif
