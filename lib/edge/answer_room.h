/* Room for large answers, reserved before their requests are sent: an answer
 * that finds no room when it arrives is lost although its request has run.
 * Small answers need no reservation; GwHttpBudget keeps a part for them.
 * Makes no input or output. */
#ifndef GW_EDGE_ANSWER_ROOM_H
#define GW_EDGE_ANSWER_ROOM_H

#include "http/budget.h"

typedef struct {
    const GwHttpBudget *budget; /* what answers hold now */
    uint64_t reserved;          /* for answers that are still to arrive */
    GHashTable *sizes;          /* route -> expected size, uint64_t */
    uint64_t largest;           /* of all routes, lately */
    /* Rate at which room comes free, measured while requests wait. */
    uint64_t answered; /* bytes of large answers so far */
    uint64_t sampled;  /* `answered` at sampled_us */
    int64_t sampled_us;
    double bytes_per_s; /* negative: unknown */
} GwAnswerRoom;

void GwAnswerRoom_Init(GwAnswerRoom *room, const GwHttpBudget *budget);
void GwAnswerRoom_Clear(GwAnswerRoom *room);

/* Size to reserve for the next answer of the route; 0: none. A route without
 * answers so far is expected to need what the largest known one does. */
uint64_t GwAnswerRoom_Expect(const GwAnswerRoom *room, const char *route);
/* Notes the size of an answer. */
void GwAnswerRoom_Learn(GwAnswerRoom *room, const char *route, uint64_t bytes);

typedef enum {
    GW_ROOM_GRANTED = 1,
    GW_ROOM_CALLER_FULL, /* until the caller has read other answers */
    GW_ROOM_FULL,        /* until any answer has been read */
    GW_ROOM_TOO_LATE     /* there will be none in time */
} GwRoomVerdict;

typedef struct {
    uint64_t bytes;        /* from GwAnswerRoom_Expect */
    uint64_t caller_bytes; /* held by or reserved for the same caller */
    uint64_t bytes_ahead;  /* wanted by requests that wait before this one */
    int64_t left_us;       /* until the request's deadline */
} GwRoomRequest;

/* `retry_after_ms` is set if the verdict is GW_ROOM_TOO_LATE. */
GwRoomVerdict GwAnswerRoom_Decide(const GwAnswerRoom *room,
                                  const GwRoomRequest *request,
                                  uint32_t *retry_after_ms);
void GwAnswerRoom_Reserve(GwAnswerRoom *room, uint64_t bytes);
void GwAnswerRoom_Release(GwAnswerRoom *room, uint64_t bytes);
/* To be called regularly; `are_waiting`: requests wait for room. */
void GwAnswerRoom_Sample(GwAnswerRoom *room, bool are_waiting, int64_t now_us);

#endif
