/* Common fixture of the steering core's test cases. */
#ifndef GW_TESTS_UNIT_STEERING_CASES_H
#define GW_TESTS_UNIT_STEERING_CASES_H

#include "fakes/steering.h"

/* A core in region r1, domain d1, with a configuration. */
FakeSteering *Steering_Start(uint32_t attempts_max);
/* Checks that no invariant was violated, and frees the fake host. */
void Steering_Finish(FakeSteering *f);
/* Sends one request for the object and answers it. */
void Steering_Warm(FakeSteering *f, const char *path, const char *key);
/* Sends the request that takes the last slot and those sent ahead of the next
 * free slot; all must be sent. Returns the first. */
FakeRequest *Steering_FillAhead(FakeSteering *f, const char *path,
                                const char *key);

#endif
