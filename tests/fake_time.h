#ifndef KB_TESTS_FAKE_TIME_H
#define KB_TESTS_FAKE_TIME_H

#include "kumquatbridge.h"

/* A clock that a test sets. */
struct FakeTime {
	kb_clock_t base;
	kb_time_t now = KB_NS_PER_S;

	FakeTime()
	{
		static const kb_clock_ops_t ops = {
			[](kb_clock_t *clock) {
				return reinterpret_cast<FakeTime *>(clock)->now;
			},
			[](kb_clock_t *) { return (kb_time_t)0; },
		};

		base.ops = &ops;
	}
};

#endif
