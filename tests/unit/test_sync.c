#include "common/log_events.h"
#include "config/sync.h"
#include "fakes/table.h"

#include <criterion/criterion.h>
#include <string.h>
#include <xxhash.h>

#define SECOND 1000000LL
#define DOC                                                                   \
    "{\"regions\": [{\"name\": \"ogre\", \"seats\": 4}], \"services\": [],"   \
    " \"places\": [], \"shifts\": [], \"links\": []}"

typedef struct {
    GwSync *sync;
    GwFakeTable *table;
    bool away;
    int64_t now_us;
    uint32_t asks;
    GwActions out;
} Bench;

static const GwNodeId peer = {.node = 2, .start = 1};

static Bench
make_bench(void)
{
    GwNodeParams p = {.id = {.node = 1, .start = 1}, .config_poll_ms = 2000};
    return (Bench){.sync = GwSync_Create(&p),
                   .table = GwFakeTable_Create(),
                   .now_us = SECOND};
}

static void
end_bench(Bench *b)
{
    GwSync_Free(b->sync);
    GwFakeTable_Free(b->table);
    GwActions_Free(&b->out);
}

static void
publish(Bench *b, uint64_t version, const char *text)
{
    char key[GW_ROW_KEY_MAX];
    char head[64];

    g_snprintf(key, sizeof(key), "config/doc/%020d", (int)version);
    g_snprintf(head, sizeof(head), "%d %016llx", (int)version,
               (unsigned long long)XXH64(DOC, strlen(DOC), 0));
    GwFakeTable_Put(b->table, key, text);
    GwFakeTable_Put(b->table, GW_KEY_HEAD, head);
}

static void
run(Bench *b, int64_t for_us)
{
    for (int64_t end_us = b->now_us + for_us; b->now_us < end_us;) {
        b->now_us += GW_TICK_US;
        GwSync_Tick(b->sync, b->now_us, &b->out);
        for (uint32_t i = 0; i < b->out.count; i++) {
            const GwAction *action = &b->out.items[i];
            b->asks += action->kind == GW_ACTION_SEND;
            if (action->kind != GW_ACTION_TABLE) {
                continue;
            }
            GwTableReply *reply =
                b->away ? GwFakeTable_Lost(action->u.table)
                        : GwFakeTable_Do(b->table, action->u.table);
            GwSync_TableReply(b->sync, b->now_us, reply, &b->out);
            GwFakeTable_FreeReply(reply);
        }
        GwActions_Clear(&b->out);
    }
}

static bool
send_doc_from(Bench *b, GwNodeId from, uint64_t version, const char *text,
              uint64_t checksum)
{
    GwMessage *msg = GwMessage_Create(GW_MSG_CONFIG_DOC, from);
    msg->u.doc = (GwConfigDoc){.version = version,
                               .checksum = checksum,
                               .text_len = (uint32_t)strlen(text),
                               .text = g_strdup(text)};
    bool adopted = GwSync_Receive(b->sync, b->now_us, msg, "2", &b->out);
    GwMessage_Free(msg);
    return adopted;
}

static bool
send_doc(Bench *b, uint64_t version, const char *text, uint64_t checksum)
{
    return send_doc_from(b, peer, version, text, checksum);
}

static uint64_t
version_of(const Bench *b)
{
    const GwConfig *config = GwSync_Config(b->sync);
    return config == NULL ? 0 : config->version;
}

Test(sync, takes_the_head_from_the_table)
{
    Bench b = make_bench();

    GwConfig *parsed = GwConfig_Parse(DOC, strlen(DOC), 1, NULL);
    cr_assert_not_null(parsed);
    GwConfig_Free(parsed);
    run(&b, SECOND);
    cr_assert(!GwSync_Ready(b.sync, b.now_us));
    publish(&b, 3, DOC);
    run(&b, 5 * SECOND);
    cr_assert_eq(version_of(&b), 3);
    cr_assert(GwSync_Ready(b.sync, b.now_us));
    end_bench(&b);
}

/* An operator sends a change to this entry, the table accepts it and goes
 * away. The host offers the document in the own name. When it was left aside,
 * the change was "accepted" and in force nowhere until the table came back. */
Test(sync, takes_a_change_made_here_while_the_table_is_away)
{
    const GwNodeId self = {.node = 1, .start = 1};
    const uint64_t checksum = XXH64(DOC, strlen(DOC), 0);
    Bench b = make_bench();

    b.away = true;
    cr_assert(send_doc_from(&b, self, 4, DOC, checksum));
    cr_assert_eq(version_of(&b), 4);
    cr_assert(!send_doc_from(&b, self, 3, DOC, checksum));
    cr_assert_eq(version_of(&b), 4);
    end_bench(&b);
}

/* A peer or a stale read offers an older version, a mangled one, or one that
 * can't be read. None of them may be in force. */
Test(sync, what_is_refused)
{
    uint64_t sum = XXH64(DOC, strlen(DOC), 0);
    struct {
        uint64_t version;
        const char *text;
        uint64_t checksum;
    } cases[] = {
        {4, DOC, sum},
        {5, DOC, sum},
        {6, DOC " ", sum},
        {6, DOC, sum + 1},
        {6, "nonsense", XXH64("nonsense", 8, 0)},
    };
    Bench b = make_bench();

    cr_assert(send_doc(&b, 5, DOC, sum));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_assert(
            !send_doc(&b, cases[i].version, cases[i].text, cases[i].checksum));
        cr_assert_eq(version_of(&b), 5);
    }
    cr_assert(send_doc(&b, 6, DOC, sum));
    end_bench(&b);
}

/* The table is away when an entry starts. It serves nothing until a peer has
 * told it a version and given it the document. */
Test(sync, fresh_one_without_table_waits_for_a_peer)
{
    Bench b = make_bench();

    b.away = true;
    run(&b, 20 * SECOND);
    cr_assert(!GwSync_Ready(b.sync, b.now_us));
    GwSync_Heard(b.sync, b.now_us, peer, "2", 8, &b.out);
    cr_assert_eq(b.out.items[0].u.send.message->kind, GW_MSG_CONFIG_ASK);
    cr_assert(send_doc(&b, 8, DOC, XXH64(DOC, strlen(DOC), 0)));
    cr_assert(!GwSync_Ready(b.sync, b.now_us));
    run(&b, 2 * SECOND);
    cr_assert(GwSync_Ready(b.sync, b.now_us));
    end_bench(&b);
}

/* A serving entry hears of a version that it can't get. It goes on for ten
 * seconds, then takes no work while a peer in reach holds that version. Once
 * that peer is gone too, nobody holds it, and the entry serves again. */
Test(sync, serving_behind_is_bounded)
{
    Bench b = make_bench();

    publish(&b, 1, DOC);
    run(&b, 3 * SECOND);
    b.away = true;
    for (uint32_t second = 0; second < 15; second++) {
        GwSync_Heard(b.sync, b.now_us, peer, "2", 2, &b.out);
        cr_assert_eq(GwSync_Ready(b.sync, b.now_us), second <= 10, "%u",
                     second);
        run(&b, SECOND);
    }
    cr_assert_leq(b.asks, 9);
    run(&b, 10 * SECOND);
    cr_assert(GwSync_Ready(b.sync, b.now_us));
    end_bench(&b);
}

/* The document in the table is mangled: the entry keeps the last good one in
 * force, and takes the new one from a peer that has it. */
Test(sync, mangled_document_in_the_table)
{
    Bench b = make_bench();

    publish(&b, 1, DOC);
    run(&b, 3 * SECOND);
    publish(&b, 2, "{\"caps\": 1000}");
    run(&b, 30 * SECOND);
    cr_assert_eq(version_of(&b), 1);
    cr_assert(GwSync_Ready(b.sync, b.now_us));
    GwSync_Heard(b.sync, b.now_us, peer, "2", 2, &b.out);
    cr_assert(send_doc(&b, 2, DOC, XXH64(DOC, strlen(DOC), 0)));
    end_bench(&b);
}

/* Polls are spread, and slow down while the table is away. */
Test(sync, polls_are_few)
{
    Bench b = make_bench();

    publish(&b, 1, DOC);
    run(&b, 200 * SECOND);
    cr_assert(b.table->reads > 80 && b.table->reads < 135, "%d",
              (int)b.table->reads);
    end_bench(&b);
}

Test(sync, answers_only_who_has_less)
{
    Bench b = make_bench();
    GwMessage *ask = GwMessage_Create(GW_MSG_CONFIG_ASK, peer);

    send_doc(&b, 5, DOC, XXH64(DOC, strlen(DOC), 0));
    GwActions_Clear(&b.out);
    ask->u.config_version = 5;
    GwSync_Receive(b.sync, b.now_us, ask, "2", &b.out);
    cr_assert_eq(b.out.count, 0);
    ask->u.config_version = 4;
    GwSync_Receive(b.sync, b.now_us, ask, "2", &b.out);
    cr_assert_eq(b.out.items[0].u.send.message->u.doc.version, 5);
    GwMessage_Free(ask);
    end_bench(&b);
}

/* The operator reads "accepted" and the table goes away in that moment. The
 * entry that took the change offers the document to itself; it has to be in
 * force there, and spread, though nobody can read the table. */
Test(sync, takes_what_its_own_administration_offers)
{
    Bench b = make_bench();
    GwNodeId self = {.node = 1, .start = 1};

    publish(&b, 3, DOC);
    run(&b, 5 * SECOND);
    b.away = true;
    cr_assert(send_doc_from(&b, self, 4, DOC, XXH64(DOC, strlen(DOC), 0)));
    cr_assert_eq(version_of(&b), 4);
    end_bench(&b);
}
