/* Synchronisation of the configuration in one entry, with a fake table and
 * peer. */
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
    bool is_table_down;
    int64_t now_us;
    uint32_t peer_requests;
    GwActions out;
} Fixture;

static const GwNodeId peer = {.node = 2, .start = 1};

static Fixture
make_fixture(void)
{
    GwNodeParams p = {.id = {.node = 1, .start = 1}, .config_poll_ms = 2000};
    return (Fixture){.sync = GwSync_Create(&p),
                     .table = GwFakeTable_Create(),
                     .now_us = SECOND};
}

static void
free_fixture(Fixture *f)
{
    GwSync_Free(f->sync);
    GwFakeTable_Free(f->table);
    GwActions_Free(&f->out);
}

static void
publish(Fixture *f, uint64_t version, const char *text)
{
    char key[GW_ROW_KEY_MAX];
    char head[64];

    g_snprintf(key, sizeof(key), "config/doc/%020d", (int)version);
    g_snprintf(head, sizeof(head), "%d %016llx", (int)version,
               (unsigned long long)XXH64(DOC, strlen(DOC), 0));
    GwFakeTable_Put(f->table, key, text);
    GwFakeTable_Put(f->table, GW_KEY_HEAD, head);
}

static void
run(Fixture *f, int64_t for_us)
{
    for (int64_t end_us = f->now_us + for_us; f->now_us < end_us;) {
        f->now_us += GW_TICK_US;
        GwSync_Tick(f->sync, f->now_us, &f->out);
        for (uint32_t i = 0; i < f->out.count; i++) {
            const GwAction *action = &f->out.items[i];
            f->peer_requests += action->kind == GW_ACTION_SEND;
            if (action->kind != GW_ACTION_TABLE) {
                continue;
            }
            GwTableReply *reply =
                f->is_table_down
                    ? GwFakeTable_Lost(action->u.table)
                    : GwFakeTable_Execute(f->table, action->u.table);
            GwSync_TableReply(f->sync, f->now_us, reply, &f->out);
            GwFakeTable_FreeReply(reply);
        }
        GwActions_Clear(&f->out);
    }
}

static bool
send_doc_from(Fixture *f, GwNodeId from, uint64_t version, const char *text,
              uint64_t checksum)
{
    GwMessage *msg = GwMessage_Create(GW_MSG_CONFIG_DOC, from);
    msg->u.doc = (GwConfigDoc){.version = version,
                               .checksum = checksum,
                               .text_len = (uint32_t)strlen(text),
                               .text = g_strdup(text)};
    bool adopted = GwSync_Receive(f->sync, f->now_us, msg, "2", &f->out);
    GwMessage_Free(msg);
    return adopted;
}

static bool
send_doc(Fixture *f, uint64_t version, const char *text, uint64_t checksum)
{
    return send_doc_from(f, peer, version, text, checksum);
}

static uint64_t
version_of(const Fixture *f)
{
    const GwConfig *config = GwSync_Config(f->sync);
    return config == NULL ? 0 : config->version;
}

Test(sync, takes_the_head_from_the_table)
{
    Fixture f = make_fixture();

    GwConfig *parsed = GwConfig_Parse(DOC, strlen(DOC), 1, NULL);
    cr_assert_not_null(parsed);
    GwConfig_Free(parsed);
    run(&f, SECOND);
    cr_assert(!GwSync_IsReady(f.sync, f.now_us));
    publish(&f, 3, DOC);
    run(&f, 5 * SECOND);
    cr_assert_eq(version_of(&f), 3);
    cr_assert(GwSync_IsReady(f.sync, f.now_us));
    free_fixture(&f);
}

/* A table outage follows directly after it accepted a change sent to this
 * entry. The host passes the document to the entry in the entry's own name;
 * if the entry ignored it, the change would be accepted but in force
 * nowhere until the table answers again. */
Test(sync, own_change_is_in_force_during_a_table_outage)
{
    const GwNodeId self = {.node = 1, .start = 1};
    const uint64_t checksum = XXH64(DOC, strlen(DOC), 0);
    Fixture f = make_fixture();

    f.is_table_down = true;
    cr_assert(send_doc_from(&f, self, 4, DOC, checksum));
    cr_assert_eq(version_of(&f), 4);
    cr_assert(!send_doc_from(&f, self, 3, DOC, checksum));
    cr_assert_eq(version_of(&f), 4);
    free_fixture(&f);
}

/* Documents of an older version, corrupted ones and invalid ones are never
 * put in force. */
Test(sync, old_corrupt_and_invalid_documents_are_refused)
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
    Fixture f = make_fixture();

    cr_assert(send_doc(&f, 5, DOC, sum));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_assert(
            !send_doc(&f, cases[i].version, cases[i].text, cases[i].checksum));
        cr_assert_eq(version_of(&f), 5);
    }
    cr_assert(send_doc(&f, 6, DOC, sum));
    free_fixture(&f);
}

/* An entry that starts during a table outage serves nothing until a peer
 * has announced a version and sent the document. */
Test(sync, a_new_entry_without_table_waits_for_a_peer)
{
    Fixture f = make_fixture();

    f.is_table_down = true;
    run(&f, 20 * SECOND);
    cr_assert(!GwSync_IsReady(f.sync, f.now_us));
    GwSync_NotePeerVersion(f.sync, f.now_us, peer, "2", 8, &f.out);
    cr_assert_eq(f.out.items[0].u.send.message->kind, GW_MSG_CONFIG_ASK);
    cr_assert(send_doc(&f, 8, DOC, XXH64(DOC, strlen(DOC), 0)));
    cr_assert(!GwSync_IsReady(f.sync, f.now_us));
    run(&f, 2 * SECOND);
    cr_assert(GwSync_IsReady(f.sync, f.now_us));
    free_fixture(&f);
}

/* A serving entry learns of a version that it cannot obtain. It serves for
 * ten more seconds, then stops while a reachable peer holds that version.
 * Once that peer is silent too, no entry holds the version, and the entry
 * serves again. */
Test(sync, service_on_an_older_version_is_bounded)
{
    Fixture f = make_fixture();

    publish(&f, 1, DOC);
    run(&f, 3 * SECOND);
    f.is_table_down = true;
    for (uint32_t second = 0; second < 15; second++) {
        GwSync_NotePeerVersion(f.sync, f.now_us, peer, "2", 2, &f.out);
        cr_assert_eq(GwSync_IsReady(f.sync, f.now_us), second <= 10, "%u",
                     second);
        run(&f, SECOND);
    }
    cr_assert_leq(f.peer_requests, 9);
    run(&f, 10 * SECOND);
    cr_assert(GwSync_IsReady(f.sync, f.now_us));
    free_fixture(&f);
}

/* The document in the table is corrupted: the entry keeps the last valid
 * one in force, and takes the new one from a peer. */
Test(sync, a_corrupt_document_in_the_table_is_not_in_force)
{
    Fixture f = make_fixture();

    publish(&f, 1, DOC);
    run(&f, 3 * SECOND);
    publish(&f, 2, "{\"caps\": 1000}");
    run(&f, 30 * SECOND);
    cr_assert_eq(version_of(&f), 1);
    cr_assert(GwSync_IsReady(f.sync, f.now_us));
    GwSync_NotePeerVersion(f.sync, f.now_us, peer, "2", 2, &f.out);
    cr_assert(send_doc(&f, 2, DOC, XXH64(DOC, strlen(DOC), 0)));
    free_fixture(&f);
}

/* The number of polls in 200 s stays within the bounds of the period and
 * its jitter. */
Test(sync, polls_are_few)
{
    Fixture f = make_fixture();

    publish(&f, 1, DOC);
    run(&f, 200 * SECOND);
    cr_assert(f.table->reads > 80 && f.table->reads < 135, "%d",
              (int)f.table->reads);
    free_fixture(&f);
}

Test(sync, only_peers_with_a_lower_version_get_the_document)
{
    Fixture f = make_fixture();
    GwMessage *ask = GwMessage_Create(GW_MSG_CONFIG_ASK, peer);

    send_doc(&f, 5, DOC, XXH64(DOC, strlen(DOC), 0));
    GwActions_Clear(&f.out);
    ask->u.config_version = 5;
    GwSync_Receive(f.sync, f.now_us, ask, "2", &f.out);
    cr_assert_eq(f.out.count, 0);
    ask->u.config_version = 4;
    GwSync_Receive(f.sync, f.now_us, ask, "2", &f.out);
    cr_assert_eq(f.out.items[0].u.send.message->u.doc.version, 5);
    GwMessage_Free(ask);
    free_fixture(&f);
}

/* A table outage begins as an operator's change is accepted. The entry that
 * took the change passes the document to itself; it must be in force there,
 * although no entry can read the table. */
Test(sync, own_change_replaces_the_version_in_force)
{
    Fixture f = make_fixture();
    GwNodeId self = {.node = 1, .start = 1};

    publish(&f, 3, DOC);
    run(&f, 5 * SECOND);
    f.is_table_down = true;
    cr_assert(send_doc_from(&f, self, 4, DOC, XXH64(DOC, strlen(DOC), 0)));
    cr_assert_eq(version_of(&f), 4);
    free_fixture(&f);
}
