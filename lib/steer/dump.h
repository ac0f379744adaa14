/* The steering tables as JSON, for the state dump. */
#ifndef GW_STEER_DUMP_H
#define GW_STEER_DUMP_H

#include "steer/steer.h"

struct json_object;

/* Adds "backends", "loans" and "caps" to an object. */
void GwSteer_Dump(const GwSteer *s, int64_t now_us, struct json_object *to);

#endif
