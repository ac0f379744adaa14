#include "standins/site/journal_internal.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* An entry may read requests and the signal in one turn of its loop, in any
 * order: for so long after SIGTERM its answers may look like those before. */
#define SIGNAL_SLACK_US 100000
/* A request that meets a close on its way is gone within this time. */
#define CROSSING_US 300000
/* What is under way at SIGTERM may be cut after this part of the grace; the
 * rest is for the process's own end. */
#define GRACE_SHARE 0.8

/* One process of an entry. */
typedef struct {
    int64_t term_us;    /* 0: not yet */
    int64_t noticed_us; /* it could see the signal: it wasn't paused */
    int64_t kill_us;
    bool paused;
} Life;

typedef struct {
    GArray *lives; /* Life */
} Entry;

struct SiteRequest_s {
    char id[48];
    bool once;
    char entry[32]; /* address */
    uint32_t life;
    bool first;
    int64_t sent_us;
    int64_t ended_us;
    SiteEnd end;
    uint32_t runs;
    int64_t ran_us; /* the first run's begin */
};

int64_t
SiteJournal_NowUs(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static Entry *
entry_of(SiteJournal *j, const char *address)
{
    Entry *entry = g_hash_table_lookup(j->entries, address);
    Life first = {0};

    if (entry == NULL) {
        entry = g_new0(Entry, 1);
        entry->lives = g_array_new(FALSE, FALSE, sizeof(Life));
        g_array_append_val(entry->lives, first);
        g_hash_table_insert(j->entries, g_strdup(address), entry);
    }
    return entry;
}

SiteJournal *
SiteJournal_Create(void)
{
    SiteJournal *j = g_new0(SiteJournal, 1);

    j->entries = g_hash_table_new(g_str_hash, g_str_equal);
    j->requests = g_hash_table_new(g_str_hash, g_str_equal);
    j->in_order = g_ptr_array_new();
    j->crashers = g_hash_table_new(g_str_hash, g_str_equal);
    j->calm_at = G_MAXUINT;
    j->start_us = SiteJournal_NowUs();
    return j;
}

void
SiteJournal_Started(SiteJournal *j, const char *entry)
{
    Life life = {0};

    g_array_append_val(entry_of(j, entry)->lives, life);
}

void
SiteJournal_Signalled(SiteJournal *j, const char *entry, int signum)
{
    GArray *lives = entry_of(j, entry)->lives;
    Life *life = &g_array_index(lives, Life, lives->len - 1);
    int64_t at_us = SiteJournal_NowUs();

    switch (signum) {
    case SIGTERM:
        if (life->term_us == 0) {
            life->term_us = at_us;
            life->noticed_us = life->paused ? INT64_MAX : at_us;
        }
        break;
    case SIGKILL:
        life->kill_us = at_us;
        break;
    case SIGSTOP:
        life->paused = true;
        break;
    case SIGCONT:
        life->paused = false;
        if (life->noticed_us == INT64_MAX) {
            life->noticed_us = at_us;
        }
        break;
    default:
        break;
    }
}

uint32_t
SiteJournal_Life(SiteJournal *j, const char *entry)
{
    return entry_of(j, entry)->lives->len - 1;
}

SiteRequest *
SiteJournal_Sent(SiteJournal *j, const SiteSending *sending)
{
    SiteRequest *req = g_new0(SiteRequest, 1);

    g_strlcpy(req->id, sending->id, sizeof(req->id));
    g_strlcpy(req->entry, sending->entry, sizeof(req->entry));
    req->once = sending->once;
    req->life = sending->life;
    req->first = sending->first;
    req->sent_us = SiteJournal_NowUs();
    (void)g_hash_table_insert(j->requests, req->id, req);
    g_ptr_array_add(j->in_order, req);
    return req;
}

void
SiteJournal_Ended(SiteRequest *req, const SiteEnd *end)
{
    req->end = *end;
    req->ended_us = SiteJournal_NowUs();
}

const char *
SiteRequest_Id(const SiteRequest *req)
{
    return req->id;
}

void
SiteJournal_Stray(SiteJournal *j)
{
    j->strays++;
}

void
SiteJournal_Ran(SiteJournal *j, const char *id)
{
    SiteRequest *req = g_hash_table_lookup(j->requests, id);

    if (req != NULL) {
        req->ran_us = req->runs == 0 ? SiteJournal_NowUs() : req->ran_us;
        req->runs++;
    }
}

void
SiteJournal_Calm(SiteJournal *j)
{
    j->calm_at = j->in_order->len;
}

/* ---- Judgement ----------------------------------------------------------- */

typedef struct {
    const SiteJournal *j;
    uint32_t grace_ms;
    FILE *log;
    SiteVerdict *verdict;
} Judge;

static const Life *
life_of(const Judge *judge, const SiteRequest *req)
{
    const Entry *entry = g_hash_table_lookup(judge->j->entries, req->entry);

    return &g_array_index(entry->lives, Life, req->life);
}

/* Times of one request from its entry's SIGTERM, or from the journal's begin
 * where there was none. */
static void
tell(const Judge *judge, const SiteRequest *req, const char *what)
{
    const Life *life = life_of(judge, req);
    int64_t from_us = life->term_us > 0 ? life->term_us : judge->j->start_us;

    (void)fprintf(judge->log,
                  "%s: id=%s once=%d first=%d entry=%s process=%u since=%s "
                  "since_at_ms=%" PRId64 " sent_ms=%" PRId64 " run_ms=%" PRId64
                  " ended_ms=%" PRId64 " runs=%u\n",
                  what, req->id, req->once, req->first, req->entry, req->life,
                  life->term_us > 0 ? "SIGTERM" : "start",
                  (from_us - judge->j->start_us) / 1000,
                  (req->sent_us - from_us) / 1000,
                  req->runs > 0 ? (req->ran_us - from_us) / 1000 : -1,
                  (req->ended_us - from_us) / 1000, req->runs);
}

/* The connection ended with no answer. */
static void
judge_closed(const Judge *judge, const SiteRequest *req)
{
    SiteVerdict *v = judge->verdict;
    const Life *life = life_of(judge, req);
    int64_t over_us = (int64_t)(judge->grace_ms * 1000 * GRACE_SHARE);

    v->lost++;
    if (life->kill_us != 0 && req->ended_us >= life->kill_us) {
        v->killed++;
    }
    else if (req->runs == 0 && req->end.outcome == SITE_REQUEST_BEHIND) {
        v->behind++;
        tell(judge, req, "BEHIND an answer that closed");
    }
    else if (req->runs == 0 && req->ended_us - req->sent_us < CROSSING_US) {
        v->crossed++;
        tell(judge, req, "crossed a close");
    }
    else if (life->term_us == 0 || req->ended_us < life->noticed_us) {
        v->cut_sound++;
        tell(judge, req, "CUT by a sound entry");
    }
    else if (req->sent_us > life->noticed_us) {
        v->cut_in_stop++;
        tell(judge, req, "CUT that came in a stop");
    }
    else if (req->ended_us - life->noticed_us < over_us) {
        v->cut_early++;
        tell(judge, req, "CUT before the grace was over");
    }
    else {
        v->cut_at_grace++;
        tell(judge, req, "cut at the end of the grace");
    }
}

static void
judge_refused(const Judge *judge, const SiteRequest *req)
{
    SiteVerdict *v = judge->verdict;
    const Life *life = life_of(judge, req);
    bool in_stop = life->term_us != 0 && life->noticed_us != INT64_MAX &&
                   req->sent_us > life->noticed_us + SIGNAL_SLACK_US;

    v->not_run++;
    if (req->runs > 0) {
        v->false_refusals++;
        tell(judge, req, "FALSE refusal");
    }
    if (in_stop && (!req->end.comeback || !req->end.closing)) {
        v->bare_refusals++;
        tell(judge, req, "BARE refusal");
    }
}

static void
judge_one(const Judge *judge, const SiteRequest *req)
{
    SiteVerdict *v = judge->verdict;
    int64_t took_us = req->ended_us - req->sent_us;

    v->sent++;
    switch (req->end.outcome) {
    case SITE_REQUEST_ANSWERED:
        v->answered++;
        g_array_append_val(v->latencies_us, took_us);
        break;
    case SITE_REQUEST_REFUSED:
        judge_refused(judge, req);
        break;
    case SITE_REQUEST_UNKNOWN:
        v->unknown++;
        break;
    case SITE_REQUEST_CLOSED:
    case SITE_REQUEST_BEHIND:
        judge_closed(judge, req);
        break;
    case SITE_REQUEST_OPEN:
        v->no_outcome++;
        tell(judge, req, "NO OUTCOME");
        break;
    }
    if (req->end.wrong) {
        v->wrong++;
        tell(judge, req, "WRONG answer");
    }
    if (req->once && req->runs > 1) {
        v->doubled++;
        tell(judge, req, "DOUBLED");
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

SiteVerdict
SiteJournal_Conclude(const SiteJournal *j, uint32_t grace_ms, FILE *log)
{
    SiteVerdict verdict = {0};
    Judge judge = {
        .j = j, .grace_ms = grace_ms, .log = log, .verdict = &verdict};

    verdict.wrong = j->strays;
    verdict.calm = j->calm_at != G_MAXUINT;
    verdict.latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < j->in_order->len; i++) {
        const SiteRequest *req = j->in_order->pdata[i];
        judge_one(&judge, req);
        if (i >= j->calm_at) {
            verdict.calm_sent++;
            verdict.calm_answered += req->end.outcome == SITE_REQUEST_ANSWERED;
        }
    }
    g_array_sort(verdict.latencies_us, compare);
    SiteJournal_ConcludeCrashes(j, log, &verdict);
    return verdict;
}
