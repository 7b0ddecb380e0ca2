#ifndef CTL_SHOW_H
#define CTL_SHOW_H

#include "options.h"

#include <jansson.h>
#include <stdio.h>

/* Prints a value as indented JSON. */
void ctl_show_json(const json_t *value);

/* Prints resources as a table with a heading. */
void ctl_show_resources(const json_t *resources);

/* Prints the status report; arrays of objects are printed as tables. */
void ctl_show_report(const json_t *report);

/* Prints an event of a watch on one line. */
void ctl_show_event(const json_t *event);

/* Prints on how many hosts a resource is in force: "8 of 9, missing h4". */
void ctl_show_status(FILE *out, const json_t *status);

#endif
