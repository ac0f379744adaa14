/* Store of answers for resends. A caller that resends a ticket after losing
 * its connection must get the answer of the first request or "unknown", never
 * the answer of another call. */
#include "runtime/answer.h"

#include <criterion/criterion.h>
#include <glib.h>

/* The first byte of the body identifies the call. */
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

/* True if the answer is kept; it must belong to the call. */
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

/* The oldest answers are evicted, the kept bytes never exceed the bound, and
 * the byte count returns to zero: a leak in it would shrink the store over
 * time. */
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

/* An answer above the bound is not kept and evicts nothing. */
Test(answer, too_large_is_not_kept)
{
    GwAnswers *answers = GwAnswers_Create(2048);
    cr_expect(keep(answers, 1, 8, 10));
    cr_expect_not(keep(answers, 2, 4000, 10));
    cr_expect(has(answers, 1, 1));
    cr_expect_not(has(answers, 2, 1));
    GwAnswers_Free(answers);
}

Test(answer, expires_at_its_time)
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

/* A second answer for the same attempt is neither counted nor stored. */
Test(answer, kept_answer_is_not_replaced)
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

/* After eviction or expiry, a look-up returns the same answer object or NULL,
 * never the answer of another call. */
Test(answer, kept_within_bounds_and_time)
{
    GwAnswers *answers = GwAnswers_Create(2000);
    GwAnswer *made[4] = {NULL};
    for (uint64_t call = 1; call <= 3; call++) {
        made[call] = make(call, 700);
        cr_expect(GwAnswers_Keep(answers, call, 1, made[call],
                                 1000 * (int64_t)call));
    }
    cr_expect_null(GwAnswers_Get(answers, 1, 1), "the oldest is evicted");
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
