#include "metrics_text.h"

#include <event2/buffer.h>

#define PREFIX "kumquatbridge_"
/* 17 significant digits represent every whole number up to 2^53. */
#define NUMBER_FORMAT "%.17g"

void kb_metrics_text_family(struct evbuffer *out, const char *name,
			    const char *type, const char *help)
{
	evbuffer_add_printf(out,
			    "# HELP " PREFIX "%s %s\n"
			    "# TYPE " PREFIX "%s %s\n",
			    name, help, name, type);
}

static void add_escaped(struct evbuffer *out, const char *text)
{
	for (; *text; text++) {
		if (*text == '\n')
			evbuffer_add_printf(out, "\\n");
		else if (*text == '\\' || *text == '"')
			evbuffer_add_printf(out, "\\%c", *text);
		else
			evbuffer_add(out, text, 1);
	}
}

void kb_metrics_text_value(struct evbuffer *out, const char *name,
			   const char *label, const char *label_value,
			   double value)
{
	evbuffer_add_printf(out, PREFIX "%s", name);
	if (label) {
		evbuffer_add_printf(out, "{%s=\"", label);
		add_escaped(out, label_value);
		evbuffer_add_printf(out, "\"}");
	}
	evbuffer_add_printf(out, " " NUMBER_FORMAT "\n", value);
}

void kb_metrics_text_counter(struct evbuffer *out, const char *name,
			     const char *help, uint64_t value)
{
	kb_metrics_text_family(out, name, "counter", help);
	kb_metrics_text_value(out, name, NULL, NULL, (double)value);
}

double kb_metrics_text_seconds(kb_time_t duration)
{
	return (double)duration / (double)KB_NS_PER_S;
}
