#include "store/follower.h"

#include "store/outage.h"

/* Pause between an answer and the next poll: changes come in bursts, and a
 * poll after the pause returns the whole burst. */
#define POLL_PAUSE_US 300000

struct GwFollower_s {
    GwRowCache *cache;
    GwRowSet *pages;       /* rows of the full read in progress */
    uint64_t version;      /* version after which the next poll reads */
    GwStoreCallKind phase; /* kind of the next call */
    bool reads;
    bool is_known;
    bool is_calling;
    bool has_called; /* since it began to read, or since the last failure */
    int64_t due_us;  /* next call */
    int64_t sent_us; /* the call in progress, or since when it connects */
    int64_t asked_us;
    int64_t answered_us;
    int64_t updated_us;
    uint32_t wait_ms;
    uint32_t retry_ms;
    uint32_t period_ms;
};

GwFollower *
GwFollower_Create(GwRowChanged changed, void *ctx, int64_t now_us)
{
    GwFollower *f = g_new0(GwFollower, 1);

    f->cache = GwRowCache_Create(changed, ctx);
    f->phase = GW_CALL_READ;
    f->retry_ms = GW_POLL_RETRY_MIN_MS;
    f->answered_us = now_us;
    f->updated_us = now_us;
    return f;
}

static void
drop_pages(GwFollower *f)
{
    GwRowSet_Free(f->pages);
    f->pages = NULL;
}

void
GwFollower_Free(GwFollower *f)
{
    if (f != NULL) {
        drop_pages(f);
        GwRowCache_Free(f->cache);
        g_free(f);
    }
}

GwRowCache *
GwFollower_Cache(const GwFollower *f)
{
    return f->cache;
}

void
GwFollower_SetPeriod(GwFollower *f, uint32_t period_ms)
{
    f->period_ms = period_ms;
}

/* An entry that begins to read the store continues from the version that it
 * has received from peers. */
bool
GwFollower_SetReads(GwFollower *f, int64_t now_us, bool reads)
{
    if (f->reads == reads) {
        return false;
    }
    f->reads = reads;
    f->answered_us = now_us; /* not polled, so no outage */
    f->is_calling = false;
    f->has_called = false;
    f->due_us = now_us;
    drop_pages(f);
    if (reads && f->is_known) {
        f->phase = GW_CALL_FEED;
        f->version = GwRowCache_Version(f->cache);
    }
    return true;
}

bool
GwFollower_Reads(const GwFollower *f)
{
    return f->reads;
}

bool
GwFollower_IsKnown(const GwFollower *f)
{
    return f->is_known;
}

bool
GwFollower_IsHealthy(const GwFollower *f)
{
    return f->reads && f->is_known && f->phase == GW_CALL_FEED &&
           f->has_called && !GwFollower_HasFailed(f);
}

static uint32_t
wait_ms(const GwFollower *f)
{
    if (f->phase == GW_CALL_READ || f->period_ms > 0) {
        return 0;
    }
    return GwStorePoll_WaitMs(GwFollower_HasFailed(f));
}

bool
GwFollower_NextCall(GwFollower *f, int64_t now_us, GwStoreCall *call)
{
    if (!f->reads || f->is_calling || now_us < f->due_us) {
        return false;
    }
    f->is_calling = true;
    f->has_called = true;
    f->sent_us = now_us;
    f->wait_ms = 0; /* until the call is sent */
    *call = (GwStoreCall){
        .kind = f->phase,
        .from_key = GwRowSet_LastKey(f->pages),
        .after = f->version,
        .wait_ms = wait_ms(f),
    };
    return true;
}

void
GwFollower_OnSent(GwFollower *f, int64_t now_us, int64_t boot_us)
{
    f->sent_us = now_us;
    f->wait_ms = wait_ms(f);
    if (f->pages == NULL) {
        f->asked_us = boot_us;
    }
}

/* Appends a page to the read in progress; returns whether more pages follow.
 * The version of the result is that of the first page: the feed sends all
 * later changes. */
static bool
append_page(GwFollower *f, GwRowSet *set)
{
    bool more = set->more && set->rows->len > 0;

    if (f->pages == NULL) {
        f->pages = set;
        return more;
    }
    for (guint i = 0; i < set->rows->len; i++) {
        g_ptr_array_add(f->pages->rows, set->rows->pdata[i]);
    }
    g_ptr_array_set_free_func(set->rows, NULL);
    GwRowSet_Free(set);
    return more;
}

bool
GwFollower_OnRows(GwFollower *f, int64_t now_us, GwRowSet *set)
{
    f->is_calling = false;
    f->answered_us = now_us;
    f->updated_us = now_us;
    f->retry_ms = GW_POLL_RETRY_MIN_MS;
    if (f->phase == GW_CALL_FEED) {
        GwRowCache_ApplyChanges(f->cache, now_us, set);
        f->version = MAX(f->version, set->version);
        GwRowSet_Free(set);
    }
    else if (append_page(f, set)) {
        f->due_us = now_us;
        return false;
    }
    else {
        GwRowCache_ApplyFull(f->cache, now_us, f->pages);
        f->version = f->pages->version;
        f->phase = GW_CALL_FEED;
        f->is_known = true;
        drop_pages(f);
    }
    f->due_us =
        MAX(now_us + POLL_PAUSE_US, f->sent_us + (int64_t)f->period_ms * 1000);
    return true;
}

void
GwFollower_OnGone(GwFollower *f, int64_t now_us)
{
    f->is_calling = false;
    f->phase = GW_CALL_READ;
    f->due_us = now_us;
}

void
GwFollower_OnFailure(GwFollower *f, int64_t now_us)
{
    f->is_calling = false;
    f->has_called = false;
    drop_pages(f);
    f->due_us = now_us + (int64_t)f->retry_ms * 1000;
    f->retry_ms = MIN(f->retry_ms * 2, GW_POLL_RETRY_MAX_MS);
}

bool
GwFollower_IsOverdue(const GwFollower *f, int64_t now_us)
{
    int64_t limit_us = ((int64_t)f->wait_ms + GW_POLL_MARGIN_MS) * 1000;

    return f->is_calling && now_us - f->sent_us > limit_us;
}

int64_t
GwFollower_UnansweredUs(const GwFollower *f, int64_t now_us)
{
    return f->is_calling ? now_us - f->sent_us : 0;
}

int64_t
GwFollower_AnsweredUs(const GwFollower *f)
{
    return f->answered_us;
}

bool
GwFollower_HasFailed(const GwFollower *f)
{
    return f->retry_ms > GW_POLL_RETRY_MIN_MS;
}

int64_t
GwFollower_AskedUs(const GwFollower *f)
{
    return f->asked_us;
}

void
GwFollower_OnPeerRows(GwFollower *f, int64_t now_us, const GwRowSet *set,
                      bool is_full)
{
    if (is_full || !f->is_known) {
        GwRowCache_ApplyFull(f->cache, now_us, set);
    }
    else {
        GwRowCache_Apply(f->cache, now_us, set);
    }
    f->updated_us = now_us;
    f->is_known = true;
}

int64_t
GwFollower_UpdatedUs(const GwFollower *f)
{
    return f->updated_us;
}
