/* The complete answer of a backend server, and a bounded store of answers
 * for callers that resend a ticket. */
#ifndef GW_RUNTIME_ANSWER_H
#define GW_RUNTIME_ANSWER_H

#include "wire/codec.h"

/* Immutable, reference counted, shared between threads. */
typedef struct {
    int refs;
    uint32_t status;
    char content_type[GW_CONTENT_TYPE_MAX];
    uint32_t body_len;
    uint8_t *body;
} GwAnswer;

/* Takes ownership of the body. */
GwAnswer *GwAnswer_Create(uint32_t status, const char *content_type,
                          uint8_t *body, uint32_t body_len);
GwAnswer *GwAnswer_Ref(GwAnswer *answer);
void GwAnswer_Unref(GwAnswer *answer);

/* Answers by call and attempt. Has no lock of its own; access must be
 * serialised. */
typedef struct GwAnswers_s GwAnswers;

/* max_bytes bounds the kept bodies plus a fixed overhead per answer. */
GwAnswers *GwAnswers_Create(uint64_t max_bytes);
void GwAnswers_Free(GwAnswers *answers);
/* Keeps the answer, with its own reference, until until_us or until newer
 * answers evict it. Returns false when the answer exceeds max_bytes or the
 * attempt already has one. until_us must not decrease between calls. */
bool GwAnswers_Keep(GwAnswers *answers, uint64_t call, uint32_t attempt,
                    GwAnswer *answer, int64_t until_us);
/* Returns a new reference, or NULL when the answer is not kept: a resend of
 * that call's ticket then gets "unknown", which is correct but less
 * specific. */
GwAnswer *GwAnswers_Get(const GwAnswers *answers, uint64_t call,
                        uint32_t attempt);
/* Drops answers whose until_us has been reached. */
void GwAnswers_Expire(GwAnswers *answers, int64_t now_us);
uint32_t GwAnswers_Count(const GwAnswers *answers);
uint64_t GwAnswers_Bytes(const GwAnswers *answers);

#endif
