/* The whole answer of a backend server, and the store that keeps answers
 * while a call may still be told to send one. */
#ifndef GW_RUNTIME_ANSWER_H
#define GW_RUNTIME_ANSWER_H

#include "wire/codec.h"

/* Immutable and counted; shared between threads. */
typedef struct {
    int refs;
    uint32_t status;
    char content_type[GW_TYPE_MAX];
    uint32_t body_len;
    uint8_t *body;
} GwAnswer;

/* Takes the body over. */
GwAnswer *GwAnswer_Create(uint32_t status, const char *content_type,
                          uint8_t *body, uint32_t body_len);
GwAnswer *GwAnswer_Ref(GwAnswer *answer);
void GwAnswer_Unref(GwAnswer *answer);

/* Answers by call and attempt. Not locked: the call table lock guards it. */
typedef struct GwAnswers_s GwAnswers;

/* max_bytes bounds what is kept, bodies and bookkeeping. */
GwAnswers *GwAnswers_Create(uint64_t max_bytes);
void GwAnswers_Free(GwAnswers *answers);
/* Keeps the answer, with a reference of its own, until then or until newer
 * ones need the room. False when it can't be kept. Times must not fall from
 * one Keep to the next. */
bool GwAnswers_Keep(GwAnswers *answers, uint64_t call, uint32_t attempt,
                    GwAnswer *answer, int64_t until_us);
/* A new reference, or NULL: then a resend of that call's ticket gets
 * "unknown", which is true, if less than could be. */
GwAnswer *GwAnswers_Get(const GwAnswers *answers, uint64_t call,
                        uint32_t attempt);
/* Drops kept answers whose time is over. */
void GwAnswers_Expire(GwAnswers *answers, int64_t now_us);
uint32_t GwAnswers_Count(const GwAnswers *answers);
uint64_t GwAnswers_Bytes(const GwAnswers *answers);

#endif
