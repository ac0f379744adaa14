/* Answers kept for resends. A clerk whose connection broke sends a booking
 * again with its ticket and must be given the answer of the first sending or
 * "unknown"; never that of another booking. */
#include "runtime/answer.h"

#include <criterion/criterion.h>
#include <glib.h>

/* The body says which call it is of. */
static GwAnswer *
make(uint64_t call, uint32_t body_len)
{
    uint8_t *body = g_malloc0(body_len);
    body[0] = (uint8_t)call;
    return GwAnswer_Create(200, "text/plain", body, body_len);
}

static bool
keep(GwAnswers *answers, uint64_t call, uint32_t body_len, int64_t until_us)
{
    GwAnswer *answer = make(call, body_len);
    bool kept = GwAnswers_Keep(answers, call, 1, answer, until_us);
    GwAnswer_Unref(answer);
    return kept;
}

/* Whether the answer is there; one that is must be its own. */
static bool
has(const GwAnswers *answers, uint64_t call, uint32_t attempt)
{
    GwAnswer *answer = GwAnswers_Get(answers, call, attempt);
    if (answer == NULL) {
        return false;
    }
    cr_expect_eq(answer->body[0], (uint8_t)call);
    GwAnswer_Unref(answer);
    return true;
}

/* The oldest make room; what is kept never exceeds the bound, and the count
 * of bytes returns to zero, so that the store does not shrink by and by. */
Test(answer, bytes_are_bounded)
{
    enum { MAX = 4096 };
    static const uint32_t body_lens[] = {1, 1000, 3000};
    for (size_t i = 0; i < G_N_ELEMENTS(body_lens); i++) {
        GwAnswers *answers = GwAnswers_Create(MAX);
        for (uint64_t call = 1; call <= 100; call++) {
            cr_expect(keep(answers, call, body_lens[i], (int64_t)call));
            cr_expect(has(answers, call, 1));
            cr_expect_leq(GwAnswers_Bytes(answers), MAX);
        }
        cr_expect_not(has(answers, 1, 1));
        cr_expect_lt(GwAnswers_Count(answers), 100);
        GwAnswers_Expire(answers, 100);
        cr_expect_eq(GwAnswers_Count(answers), 0);
        cr_expect_eq(GwAnswers_Bytes(answers), 0);
        GwAnswers_Free(answers);
    }
}

/* One answer larger than all room is not kept and pushes nothing out. */
Test(answer, too_large_is_not_kept)
{
    GwAnswers *answers = GwAnswers_Create(2048);
    cr_expect(keep(answers, 1, 8, 10));
    cr_expect_not(keep(answers, 2, 4000, 10));
    cr_expect(has(answers, 1, 1));
    cr_expect_not(has(answers, 2, 1));
    GwAnswers_Free(answers);
}

Test(answer, expires)
{
    GwAnswers *answers = GwAnswers_Create(1 << 20);
    cr_expect(keep(answers, 1, 8, 10));
    cr_expect(keep(answers, 2, 8, 20));
    GwAnswers_Expire(answers, 9);
    cr_expect(has(answers, 1, 1));
    GwAnswers_Expire(answers, 10);
    cr_expect_not(has(answers, 1, 1));
    cr_expect(has(answers, 2, 1));
    cr_expect_not(has(answers, 2, 2), "another attempt");
    GwAnswers_Free(answers);
}

/* The same attempt kept twice is counted once and stays what it was. */
Test(answer, kept_once)
{
    GwAnswers *answers = GwAnswers_Create(1 << 20);
    cr_expect(keep(answers, 1, 8, 10));
    uint64_t bytes = GwAnswers_Bytes(answers);
    cr_expect_not(keep(answers, 1, 900, 20));
    cr_expect_eq(GwAnswers_Bytes(answers), bytes);
    cr_expect(has(answers, 1, 1));
    GwAnswers_Expire(answers, 20);
    cr_expect_eq(GwAnswers_Bytes(answers), 0);
    GwAnswers_Free(answers);
}

/* A booking's answer is asked for again after others have filled the room.
 * It is either still the very same answer or none: never another call's. */
Test(answer, kept_within_bounds_and_time)
{
    GwAnswers *answers = GwAnswers_Create(2000);
    GwAnswer *made[4] = {NULL};
    for (uint64_t call = 1; call <= 3; call++) {
        made[call] = make(call, 700);
        cr_expect(GwAnswers_Keep(answers, call, 1, made[call],
                                 1000 * (int64_t)call));
    }
    cr_expect_null(GwAnswers_Get(answers, 1, 1), "the oldest made room");
    cr_expect_null(GwAnswers_Get(answers, 3, 2));
    cr_expect_eq(GwAnswers_Count(answers), 2);
    for (uint64_t call = 2; call <= 3; call++) {
        GwAnswer *kept = GwAnswers_Get(answers, call, 1);
        cr_expect_eq(kept, made[call]);
        GwAnswer_Unref(kept);
    }
    GwAnswers_Expire(answers, 2000);
    cr_expect_null(GwAnswers_Get(answers, 2, 1));
    cr_expect_eq(GwAnswers_Count(answers), 1);
    GwAnswers_Free(answers);
    for (uint64_t call = 1; call <= 3; call++) {
        GwAnswer_Unref(made[call]);
    }
}
