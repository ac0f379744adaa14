/* Limit on the memory that the messages of a process occupy: bodies, heads of
 * responses, and bytes queued for peers that read slowly.
 *
 * Each message and each queued write has a GwHttpHold, the bytes that it
 * occupies. A response that is still being received can be aborted; when the
 * limit on responses is reached, the largest of them is aborted first, so
 * that small responses find room beside a server that sends without end.
 * Complete responses are never dropped. Makes no input or output. */
#ifndef GW_HTTP_BUDGET_H
#define GW_HTTP_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Responses up to this size may use the whole budget for responses. Larger
 * ones leave a quarter of it free. */
#define GW_HTTP_SMALL_BYTES (64u << 10)

/* To be initialised with zeros and the limits. Requests leave a quarter of
 * `max`, but not more than `responses_max`, to responses. */
typedef struct {
    uint64_t held; /* by requests and responses */
    uint64_t max;
    uint64_t responses;      /* the part of `held` held by responses */
    uint64_t responses_peak; /* maximum of `responses` so far */
    uint64_t responses_max;  /* 0: no limit but `max` */
    GQueue receiving;        /* GwHttpHold that can be aborted */
} GwHttpBudget;

typedef struct {
    GwHttpBudget *budget; /* NULL: not counted */
    uint64_t bytes;
    bool is_response;
    bool is_receiving; /* in budget->receiving */
    GList node;
    /* Frees the memory and calls GwHttpHold_Release. */
    void (*abort)(void *owner);
    void *owner;
} GwHttpHold;

/* Allows the response to be aborted until GwHttpHold_EndReceiving. */
void GwHttpHold_BeginReceiving(GwHttpHold *h, void (*abort)(void *owner),
                               void *owner);
void GwHttpHold_EndReceiving(GwHttpHold *h);
/* Raises the hold to `bytes`; does nothing if it has that much. If there is no
 * room, responses that are larger than `bytes` and still being received are
 * aborted. Returns false if that gives too little room. */
bool GwHttpHold_Grow(GwHttpHold *h, uint64_t bytes);
/* Sets the hold to `bytes` without regard to the limits: for a copy of what
 * was admitted before. */
void GwHttpHold_Set(GwHttpHold *h, uint64_t bytes);
void GwHttpHold_Release(GwHttpHold *h);

/* The most that all responses may hold for one of `bytes` to be admitted. */
uint64_t GwHttpBudget_ResponsesLimit(const GwHttpBudget *b, uint64_t bytes);
/* Whether responses use more than half of what they may. */
bool GwHttpBudget_IsShort(const GwHttpBudget *b);

#endif
