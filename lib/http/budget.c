#include "http/budget.h"

uint64_t
GwHttpBudget_ResponsesLimit(const GwHttpBudget *b, uint64_t bytes)
{
    uint64_t max = b->responses_max > 0 ? b->responses_max : b->max;

#if GW_MUTANT != 141 /* breaks: small responses find no room */
    if (bytes > GW_HTTP_SMALL_BYTES) {
        return max - max / 4;
    }
#endif
    return max;
}

/* The part that requests leave to responses. Without it, an upload could leave
 * no room for the responses to requests that have run. */
static uint64_t
responses_reserve(const GwHttpBudget *b)
{
#if GW_MUTANT == 152 /* breaks: requests leave no room to responses */
    return 0;
#endif
    return MIN(b->responses_max, b->max / 4);
}

static bool
fits(const GwHttpHold *h, uint64_t bytes)
{
    const GwHttpBudget *b = h->budget;
    uint64_t more = bytes - h->bytes;
    uint64_t reserve = responses_reserve(b);
    bool fits_all = b->held + more <= b->max;

    if (!h->is_response) {
        return fits_all && b->held - b->responses + more <= b->max - reserve;
    }
    return b->responses + more <= GwHttpBudget_ResponsesLimit(b, bytes) &&
           (fits_all || b->responses + more <= reserve);
}

static GwHttpHold *
find_largest(const GwHttpBudget *b)
{
    GwHttpHold *largest = NULL;

    for (GList *at = b->receiving.head; at != NULL; at = at->next) {
        GwHttpHold *h = at->data;
        if (largest == NULL || h->bytes > largest->bytes) {
            largest = h;
        }
    }
    return largest;
}

void
GwHttpHold_BeginReceiving(GwHttpHold *h, void (*abort)(void *owner),
                          void *owner)
{
    if (h->budget == NULL || h->is_receiving) {
        return;
    }
    h->is_receiving = true;
    h->abort = abort;
    h->owner = owner;
    h->node.data = h;
    g_queue_push_tail_link(&h->budget->receiving, &h->node);
}

void
GwHttpHold_EndReceiving(GwHttpHold *h)
{
    if (h->is_receiving) {
        h->is_receiving = false;
        g_queue_unlink(&h->budget->receiving, &h->node);
    }
}

void
GwHttpHold_Set(GwHttpHold *h, uint64_t bytes)
{
    GwHttpBudget *b = h->budget;

    if (b == NULL) {
        return;
    }
    b->held = b->held - h->bytes + bytes;
    if (h->is_response) {
        b->responses = b->responses - h->bytes + bytes;
        b->responses_peak = MAX(b->responses_peak, b->responses);
    }
    h->bytes = bytes;
}

/* A request never takes the place of a response: the response may belong to a
 * request that must not be sent twice, while the request can be refused as
 * not run. */
bool
GwHttpHold_Grow(GwHttpHold *h, uint64_t bytes)
{
    if (h->budget == NULL || bytes <= h->bytes) {
        return true;
    }
    while (!fits(h, bytes)) {
        GwHttpHold *largest = h->is_response ? find_largest(h->budget) : NULL;
#if GW_MUTANT == 140 /* breaks: the last response is aborted */
        largest = NULL;
#endif
        if (largest == NULL || largest == h || largest->bytes <= bytes) {
            return false;
        }
        largest->abort(largest->owner);
    }
    GwHttpHold_Set(h, bytes);
    return true;
}

void
GwHttpHold_Release(GwHttpHold *h)
{
    GwHttpHold_EndReceiving(h);
    GwHttpHold_Set(h, 0);
}

bool
GwHttpBudget_IsShort(const GwHttpBudget *b)
{
    uint64_t max = b->responses_max > 0 ? b->responses_max : b->max;

    return b->responses > max / 2;
}
