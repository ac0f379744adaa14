/* What the cases of the steering core begin and end with. */
#ifndef GW_TESTS_UNIT_STEERING_CASES_H
#define GW_TESTS_UNIT_STEERING_CASES_H

#include "fakes/steering.h"

/* A core in region r1, domain d1, with a configuration. */
FakeSteering *Steering_Start(uint32_t attempts_max);
/* No promise was broken on the way. */
void Steering_Finish(FakeSteering *f);
/* One request for the object, sent and answered. */
void Steering_Warm(FakeSteering *f, const char *path, const char *key);
/* The request that takes the last slot, and those that are sent ahead of the
 * next one; all are sent. Gives the first. */
FakeRequest *Steering_FillAhead(FakeSteering *f, const char *path,
                                const char *key);

#endif
