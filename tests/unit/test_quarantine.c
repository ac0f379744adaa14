/* Which requests are quarantined because of crashed servers. */
#include "router/quarantine.h"

#include "common/rng.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS       1000LL
#define S        (1000 * MS)
#define APART_US (400 * MS) /* crashes without a common cause */
#define ENTRIES  5
#define FLOOD    20000
#define RECORDS  4096 /* kept by an entry */

static GwFingerprint
request(uint64_t number)
{
    return (GwFingerprint){.hi = number * 0x9e3779b97f4a7c15ULL, .lo = number};
}

/* The server closes the connections of the requests and crashes. */
static void
crash(GwQuarantine *q, int64_t now_us, uint64_t server, uint64_t first,
      uint64_t last)
{
    for (uint64_t i = first; i <= last; i++) {
        GwFingerprint f = request(i);
        GwQuarantine_NoteConnectionLost(q, now_us, &f, server);
    }
    GwQuarantine_NoteCrash(q, now_us, server);
}

static bool
is_quarantined(GwQuarantine *q, int64_t now_us, uint64_t number)
{
    GwFingerprint f = request(number);

    return GwQuarantine_UntilUs(q, now_us, &f) != 0;
}

/* Guards against: a request crashes one server after the other. */
Test(quarantine, three_crashes_quarantine_a_request)
{
    GwQuarantine *q = GwQuarantine_Create();
    int64_t now_us = S;

    for (uint64_t server = 1; server <= 3; server++) {
        cr_expect_not(is_quarantined(q, now_us + S, 1));
        now_us += APART_US;
        crash(q, now_us, server, 1, 1);
        crash(q, now_us, server, 1, 1); /* the same start counts once */
    }
    cr_expect(is_quarantined(q, now_us + S, 1));
    GwQuarantine_Free(q);
}

/* Guards against: a request is refused that caused no crash. */
Test(quarantine, other_failures_quarantine_nothing)
{
    static const struct {
        const char *name;
        int64_t apart_us;
        bool alive;   /* the server turns out to be alive */
        bool cleared; /* a run succeeds before the last crash */
        bool
            late; /* the crash is detected long after the connection was lost */
    } cases[] = {
        {"lost answers", .apart_us = APART_US, .alive = true},
        {"one cause", .apart_us = 40 * MS},
        {"a run that ended well", .apart_us = APART_US, .cleared = true},
        {"an older break", .apart_us = APART_US, .late = true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwQuarantine *q = GwQuarantine_Create();
        GwFingerprint f = request(1);
        int64_t now_us = S;
        for (uint64_t server = 1; server <= 4; server++) {
            now_us += cases[i].apart_us;
            GwQuarantine_NoteConnectionLost(q, now_us, &f, server);
            if (cases[i].alive) {
                GwQuarantine_NoteAlive(q, server);
            }
            if (cases[i].cleared && server == 3) {
                GwQuarantine_NoteSuccess(q, now_us, &f);
            }
            GwQuarantine_NoteCrash(q, now_us + (cases[i].late ? 3 * S : 0),
                                   server);
        }
        cr_expect_not(is_quarantined(q, now_us + S, 1), "%s", cases[i].name);
        GwQuarantine_Free(q);
    }
}

/* Guards against: a server that has restarted, but whose new start is not known
 * yet, crashes again, and requests of both processes seem to have run at the
 * same crash. */
Test(quarantine, a_process_crashes_once)
{
    static const struct {
        const char *name;
        int64_t after_us;  /* until the connection of request 2 is lost */
        bool is_elsewhere; /* another entry noted the first crash */
        uint32_t crashes;
    } cases[] = {
        {"seen a little later", 50 * MS, false, 1},
        {"the next process", 900 * MS, false, 0},
        {"the next process, the first noted elsewhere", 900 * MS, true, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwQuarantine *q = GwQuarantine_Create();
        GwQuarantine *first =
            cases[i].is_elsewhere ? GwQuarantine_Create() : q;
        GwFingerprint f = request(2);
        GwSuspect s[1];
        crash(first, S, 1, 1, 1);
        GwQuarantine_Tick(first, S + 200 * MS);
        if (first != q) {
            cr_assert_eq(GwQuarantine_Changes(first, S + 200 * MS, 0, s, 1),
                         1);
            GwQuarantine_Merge(q, S + 200 * MS, &s[0]);
            GwQuarantine_Free(first);
        }
        crash(q, S + cases[i].after_us, 1, 2, 2);
        cr_expect_eq(GwQuarantine_Crashes(q, &f), cases[i].crashes, "%s",
                     cases[i].name);
        GwQuarantine_Free(q);
    }
}

static void
count_quarantined(void *ctx, const GwSuspect *suspect, GwSuspectState old,
                  GwSuspectState state)
{
    uint32_t *count = ctx;

    *count += state == GW_SUSPECT_QUARANTINED;
}

/* Guards against: when a crash is confirmed long after its connections were
 * lost, a request is judged before the others that ran there are counted. */
Test(quarantine, a_crash_confirmed_late_is_judged_with_all_its_requests)
{
    GwQuarantine *q = GwQuarantine_Create();
    uint32_t quarantined = 0;
    int64_t now_us = S;

    GwQuarantine_SetCallback(q, count_quarantined, &quarantined);
    for (uint64_t server = 1; server <= 2; server++) {
        now_us += APART_US;
        crash(q, now_us, server, 1, 2);
    }
    now_us += APART_US;
    for (uint64_t i = 1; i <= 2; i++) {
        GwFingerprint f = request(i);
        GwQuarantine_NoteConnectionLost(q, now_us, &f, 3);
    }
    GwQuarantine_NoteCrash(q, now_us + 900 * MS, 3);
    cr_expect_eq(quarantined, 0);
    GwQuarantine_Free(q);
}

/* Guards against: an entry that starts reads which requests are quarantined,
 * and sends them on until it has judged them anew. */
Test(quarantine, an_older_record_applies_as_soon_as_it_is_known)
{
    GwQuarantine *from = GwQuarantine_Create();
    GwQuarantine *q = GwQuarantine_Create();
    GwSuspect s;
    int64_t now_us = S;

    for (uint64_t server = 1; server <= 3; server++) {
        now_us += APART_US;
        crash(from, now_us, server, 1, 1);
    }
    now_us += 4 * S;
    cr_assert_eq(GwQuarantine_Changes(from, now_us, 0, &s, 1), 1);
    GwQuarantine_Merge(q, now_us, &s);
    cr_expect(is_quarantined(q, now_us, 1));
    GwQuarantine_Free(from);
    GwQuarantine_Free(q);
}

/* Guards against: requests that ran beside the cause are quarantined with
 * it. */
Test(quarantine, the_cause_explains_the_crashes_of_others)
{
    GwQuarantine *q = GwQuarantine_Create();
    int64_t now_us = S;

    for (uint64_t server = 1; server <= 4; server++) {
        now_us += APART_US;
        crash(q, now_us, server, 1, server <= 3 ? 2 : 1);
        if (server == 3) { /* which of the two is the cause is not known yet */
            cr_expect_not(is_quarantined(q, now_us + S, 1));
            cr_expect_not(is_quarantined(q, now_us + S, 2));
        }
    }
    cr_expect(is_quarantined(q, now_us + S, 1));
    cr_expect_not(is_quarantined(q, now_us + S, 2));
    GwQuarantine_Free(q);
}

/* Guards against: two requests that always crash servers together protect each
 * other. */
Test(quarantine, a_tie_is_quarantined_after_one_more_crash)
{
    GwQuarantine *q = GwQuarantine_Create();

    for (uint64_t server = 1; server <= 4; server++) {
        crash(q, S + (int64_t)server * APART_US, server, 1, 2);
    }
    cr_expect(is_quarantined(q, 4 * S, 1));
    cr_expect(is_quarantined(q, 4 * S, 2));
    GwQuarantine_Free(q);
}

/* Guards against: a wrong quarantine that lasts, and a right one that is tried
 * again and again. */
Test(quarantine, a_quarantine_ends_and_the_next_is_longer)
{
    GwQuarantine *q = GwQuarantine_Create();
    int64_t now_us = S;
    int64_t last_us = 0;

    for (uint64_t server = 1; server <= 3; server++) {
        now_us += APART_US;
        crash(q, now_us, server, 1, 1);
    }
    for (uint64_t server = 4; server <= 8; server++) {
        GwFingerprint f = request(1);
        int64_t until_us = GwQuarantine_UntilUs(q, now_us + S, &f);
        cr_assert_neq(until_us, 0);
        cr_expect_gt(until_us - now_us, last_us * 3 / 2);
        last_us = until_us - now_us;
        now_us = until_us;
        GwQuarantine_Tick(q, now_us);
        cr_expect_not(is_quarantined(q, now_us, 1));
        crash(q, now_us, server, 1, 1);
    }
    GwQuarantine_Free(q);
}

/* Guards against: a request released by an operator is quarantined again by
 * other entries' records. */
Test(quarantine, a_release_applies_at_all_entries)
{
    GwQuarantine *a = GwQuarantine_Create();
    GwQuarantine *b = GwQuarantine_Create();
    GwFingerprint f = request(1);
    GwSuspect s;
    int64_t now_us = S;
    uint32_t from = 0;

    for (uint64_t server = 1; server <= 3; server++) {
        now_us += APART_US;
        crash(a, now_us, server, 1, 1);
    }
    cr_assert_eq(GwQuarantine_Page(a, now_us, &from, &s, 1), 1);
    GwQuarantine_Merge(b, now_us, &s);
    cr_expect(is_quarantined(b, now_us + S, 1));
    cr_expect(GwQuarantine_Release(a, now_us, &f));
    cr_expect_not(GwQuarantine_Release(a, now_us, &f));
    GwQuarantine_Merge(a, now_us, &s); /* late */
    from = 0;
    cr_assert_eq(GwQuarantine_Page(a, now_us, &from, &s, 1), 1);
    GwQuarantine_Merge(b, now_us, &s);
    cr_expect_not(is_quarantined(a, now_us + S, 1));
    cr_expect_not(is_quarantined(b, now_us + S, 1));
    cr_expect_eq(GwQuarantine_Checksum(a), GwQuarantine_Checksum(b));
    GwQuarantine_Free(a);
    GwQuarantine_Free(b);
}

/* Sends a record from one entry to another, or repeats an earlier one. */
static void
send_record(GwRng *rng, GwQuarantine *const *entries, int64_t now_us)
{
    const GwQuarantine *from = entries[GwRng_Below(rng, ENTRIES)];
    GwSuspect s[64];
    uint32_t place = 0;
    uint32_t count = GwQuarantine_Page(from, now_us, &place, s, 64);

    if (count > 0) {
        GwQuarantine_Merge(entries[GwRng_Below(rng, ENTRIES)], now_us,
                           &s[GwRng_Below(rng, count)]);
    }
}

/* Guards against: entries disagree on the quarantine, depending on the order
 * of messages. */
Test(quarantine, records_merge_to_the_same_in_any_order)
{
    for (uint64_t seed = 1; seed <= 50; seed++) {
        GwRng rng = GwRng_Make(seed);
        GwQuarantine *entries[ENTRIES];
        int64_t now_us = S;

        for (int i = 0; i < ENTRIES; i++) {
            entries[i] = GwQuarantine_Create();
        }
        for (int i = 0; i < 300; i++) {
            GwQuarantine *q = entries[GwRng_Below(&rng, ENTRIES)];
            GwFingerprint f = request(1 + GwRng_Below(&rng, 6));
            now_us += GwRng_Below(&rng, 200) * MS;
            if (i < 60 && GwRng_Below(&rng, 8) == 0) {
                GwQuarantine_NoteSuccess(q, now_us, &f);
            }
            else if (i < 60) {
                crash(q, now_us, 1 + GwRng_Below(&rng, 20), f.lo, f.lo);
            }
            send_record(&rng, entries, now_us);
            GwQuarantine_Tick(q, now_us);
        }
        now_us += S;
        for (int i = 0; i < ENTRIES; i++) {
            GwQuarantine_Tick(entries[i], now_us);
        }
        for (int i = 0; i < 4000; i++) {
            send_record(&rng, entries, now_us);
        }
        for (int i = 1; i < ENTRIES; i++) {
            cr_expect_eq(GwQuarantine_Checksum(entries[i]),
                         GwQuarantine_Checksum(entries[0]), "seed %lu",
                         (unsigned long)seed);
        }
        for (int i = 0; i < ENTRIES; i++) {
            GwQuarantine_Free(entries[i]);
        }
    }
}

/* Guards against: records that entries exchange never expire. */
Test(quarantine, exchange_makes_no_record_younger)
{
    GwQuarantine *a = GwQuarantine_Create();
    GwQuarantine *b = GwQuarantine_Create();
    int64_t now_us = S;
    GwSuspect s;
    uint32_t from = 0;

    crash(a, now_us, 1, 1, 1);
    GwQuarantine_Tick(a, now_us + S);
    for (int i = 0; i < 700; i++) { /* transmission of one second each */
        GwQuarantine *to = i % 2 == 0 ? b : a;
        if (GwQuarantine_Page(i % 2 == 0 ? a : b, now_us, &from, &s, 1) > 0) {
            GwQuarantine_Merge(to, now_us + S, &s);
        }
        now_us += S;
        GwQuarantine_Tick(a, now_us);
        GwQuarantine_Tick(b, now_us);
    }
    cr_expect(GwQuarantine_IsEmpty(a));
    cr_expect(GwQuarantine_IsEmpty(b));
    GwQuarantine_Free(a);
    GwQuarantine_Free(b);
}

static void
count_one(void *ctx, const GwSuspect *suspect, GwSuspectState state,
          int64_t until_us)
{
    (void)suspect;
    (void)state;
    (void)until_us;
    ++*(uint32_t *)ctx;
}

/* Guards against: a flood of requests with one crash each exhausts the memory,
 * or evicts the record of a request to be quarantined. */
Test(quarantine, memory_is_bounded_and_the_most_suspect_stays)
{
    GwQuarantine *q = GwQuarantine_Create();
    int64_t now_us = S;
    uint32_t count = 0;

    crash(q, now_us, 1, 1, 1);
    crash(q, now_us + APART_US, 2, 1, 1);
    now_us += 2 * APART_US;
    for (uint64_t i = 0; i < FLOOD; i++) {
        crash(q, now_us, 100 + i / 500, 10 + i, 10 + i);
    }
    GwQuarantine_Each(q, now_us, count_one, &count);
    cr_expect_leq(count, RECORDS);
    crash(q, now_us, 3, 1, 1);
    cr_expect(is_quarantined(q, now_us + S, 1));
    GwQuarantine_Free(q);
}

/* Guards against: invalid values from another build or a damaged datagram are
 * accepted. */
Test(quarantine, invalid_records_are_ignored)
{
    GwQuarantine *q = GwQuarantine_Create();
    GwSuspect many = {.fingerprint = request(1),
                      .server_count = GW_SUSPECT_SERVERS_MAX + 1};
    GwSuspect old = {.fingerprint = request(2),
                     .server_count = 1,
                     .servers = {1},
                     .age_ms = UINT32_MAX};

    GwQuarantine_Merge(q, S, &many);
    GwQuarantine_Merge(q, S, &old);
    cr_expect(GwQuarantine_IsEmpty(q));
    GwQuarantine_Free(q);
}
