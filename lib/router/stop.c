/* A stop of the entry: what may still be begun. */
#include "router/router_internal.h"

void
GwRouter_Stop(GwRouter *r, int64_t now_us, int64_t end_us, GArray *actions)
{
    (void)now_us;
    (void)actions;
    r->end_us = end_us;
}
