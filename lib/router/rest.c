/* Rest that a server asks this entry for when it refuses a request. It is a
 * promise between the two: nothing is sent before the rest is over, whatever
 * other answers, probes and the state of other servers suggest. */
#include "router/router_internal.h"

/* A longer rest counts as this. */
#define REST_MAX_US (3600 * (int64_t)1000000)
/* A rest lasts longer by a random part of it: a server that has been full
 * refuses many entries at once, and all of them would return at once. */
#define REST_SPREAD_SHARE  0.2
#define REST_SPREAD_MAX_US 1000000.0

bool
GwServer_IsResting(const GwServer *s, int64_t now_us)
{
#if GW_MUTANT == 104 /* breaks: a server that rests gets no requests */
    return false;
#endif
    return now_us < s->start->rest_until_us;
}

/* A later refusal may ask for less, but the earlier rest still holds. */
void
GwRouter_LearnRest(GwRouter *r, int64_t now_us, GwServer *s, int64_t rest_us)
{
    int64_t rest = MIN(rest_us, REST_MAX_US);
    double most_us = MIN((double)rest * REST_SPREAD_SHARE, REST_SPREAD_MAX_US);
    int64_t until_us =
        now_us + rest + GwRng_Below(&r->rng, (uint32_t)most_us + 1);

    if (until_us > s->start->rest_until_us) {
        s->start->rest_until_us = until_us;
    }
    s->start->is_on_trial = true;
    GwRouter_NoteStated(r, s);
}

void
GwServer_EndTrial(GwServer *s, int64_t now_us)
{
    s->start->is_on_trial =
        s->start->is_on_trial && GwServer_IsResting(s, now_us);
}

double
GwServer_RestWaitUs(const GwServer *s, int64_t now_us)
{
    return GwServer_IsResting(s, now_us)
               ? (double)(s->start->rest_until_us - now_us)
               : 0;
}

/* After a rest, one request at a time shows whether the server takes work
 * again. */
bool
GwServer_HasTrialSlot(const GwServer *s)
{
    return !s->start->is_on_trial || s->in_flight + s->reservations == 0;
}
