#include "runtime/answer.h"

#include <glib.h>

#define ANSWER_OVERHEAD_BYTES 256 /* bookkeeping of a kept answer */

typedef struct {
    uint64_t call;
    uint64_t attempt;
} AnswerKey;

typedef struct {
    AnswerKey key;
    int64_t until_us;
    uint64_t bytes;
} KeptAnswer;

struct GwAnswers_s {
    GHashTable *by_key; /* AnswerKey * to GwAnswer * */
    GQueue by_expiry;   /* KeptAnswer *; each has its answer in by_key */
    uint64_t bytes;     /* of all kept answers */
    uint64_t max_bytes;
};

GwAnswer *
GwAnswer_Create(uint32_t status, const char *content_type, uint8_t *body,
                uint32_t body_len)
{
    GwAnswer *answer = g_new0(GwAnswer, 1);
    answer->refs = 1;
    answer->status = status;
    g_strlcpy(answer->content_type, content_type, GW_CONTENT_TYPE_MAX);
    answer->body = body;
    answer->body_len = body_len;
    return answer;
}

GwAnswer *
GwAnswer_Ref(GwAnswer *answer)
{
    g_atomic_int_inc(&answer->refs);
    return answer;
}

/* NULL is allowed. */
void
GwAnswer_Unref(GwAnswer *answer)
{
    if (answer != NULL && g_atomic_int_dec_and_test(&answer->refs)) {
        g_free(answer->body);
        g_free(answer);
    }
}

static guint
key_hash(gconstpointer p)
{
    const AnswerKey *key = p;
    return (guint)(key->call * 31 + key->attempt);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    const AnswerKey *x = a;
    const AnswerKey *y = b;
    return x->call == y->call && x->attempt == y->attempt;
}

GwAnswers *
GwAnswers_Create(uint64_t max_bytes)
{
    GwAnswers *answers = g_new0(GwAnswers, 1);
    answers->by_key = g_hash_table_new_full(key_hash, key_equal, g_free,
                                            (GDestroyNotify)GwAnswer_Unref);
    g_queue_init(&answers->by_expiry);
    answers->max_bytes = max_bytes;
    return answers;
}

void
GwAnswers_Free(GwAnswers *answers)
{
    g_queue_clear_full(&answers->by_expiry, g_free);
    g_hash_table_destroy(answers->by_key);
    g_free(answers);
}

static void
evict_oldest(GwAnswers *answers)
{
    KeptAnswer *kept = g_queue_pop_head(&answers->by_expiry);
    answers->bytes -= kept->bytes;
    g_hash_table_remove(answers->by_key, &kept->key);
    g_free(kept);
}

/* A kept answer is never replaced: a second answer for the same attempt
 * would belong to another request. */
bool
GwAnswers_Keep(GwAnswers *answers, uint64_t call, uint32_t attempt,
               GwAnswer *answer, int64_t until_us)
{
    AnswerKey key = {.call = call, .attempt = attempt};
    uint64_t bytes = (uint64_t)answer->body_len + ANSWER_OVERHEAD_BYTES;

    if (bytes > answers->max_bytes ||
        g_hash_table_contains(answers->by_key, &key)) {
        return false;
    }
    /* Evict the oldest: a resend follows the first request within seconds. */
    while (answers->bytes + bytes > answers->max_bytes) {
        evict_oldest(answers);
    }
    KeptAnswer *kept = g_new(KeptAnswer, 1);
    *kept = (KeptAnswer){.key = key, .until_us = until_us, .bytes = bytes};
    g_queue_push_tail(&answers->by_expiry, kept);
    g_hash_table_insert(answers->by_key, g_memdup2(&key, sizeof(key)),
                        GwAnswer_Ref(answer));
    answers->bytes += bytes;
    return true;
}

GwAnswer *
GwAnswers_Get(const GwAnswers *answers, uint64_t call, uint32_t attempt)
{
    AnswerKey key = {.call = call, .attempt = attempt};
    GwAnswer *answer = g_hash_table_lookup(answers->by_key, &key);
    return answer != NULL ? GwAnswer_Ref(answer) : NULL;
}

void
GwAnswers_Expire(GwAnswers *answers, int64_t now_us)
{
    const KeptAnswer *kept;
    while ((kept = g_queue_peek_head(&answers->by_expiry)) != NULL &&
           kept->until_us <= now_us) {
        evict_oldest(answers);
    }
}

uint32_t
GwAnswers_Count(const GwAnswers *answers)
{
    return g_hash_table_size(answers->by_key);
}

uint64_t
GwAnswers_Bytes(const GwAnswers *answers)
{
    return answers->bytes;
}
