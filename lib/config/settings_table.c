#include "config/settings_table.h"

#include <stddef.h>
#include <string.h>

#define AT(field)   offsetof(GwSettings, field)
#define SIZE(field) sizeof(((GwSettings *)0)->field)

#define U32(name, field, u, def, lo, hi, desc)                                \
    {                                                                         \
        .key = (name), .type = GW_SETTING_U32, .unit = (u), .value = (def),   \
        .min = (lo), .max = (hi), .offset = AT(field), .meaning = (desc)      \
    }
#define TEXT(name, kind, field, def, desc)                                    \
    {                                                                         \
        .key = (name), .type = GW_SETTING_##kind, .unit = "",                 \
        .offset = AT(field), .size = SIZE(field), .text = (def),              \
        .meaning = (desc)                                                     \
    }

/* clang-format off */
static const GwSettingRow rows[] = {
    TEXT("name", NAME, node.name, NULL,
         "name of this instance, unique in the cluster"),
    TEXT("region", NAME, node.region, NULL,
         "region of this instance, as in the configuration"),
    TEXT("domain", NAME, node.domain, NULL,
         "failure domain of this instance"),
    TEXT("peer_address", ADDRESS, node.peer_address, NULL,
         "where peers connect (inner protocol)"),
    TEXT("call_address", ADDRESS, node.call_address, NULL,
         "where callers connect (HTTP)"),
    TEXT("admin_address", ADDRESS, admin_address, NULL,
         "where operators connect (HTTP)"),
    TEXT("platform_url", TEXT, platform_url, NULL,
         "base URL of the platform, http://ip:port"),
    TEXT("admin_token_file", TEXT, admin_token_file, NULL,
         "file with the token that operators present"),
    TEXT("cluster_key_file", TEXT, cluster_key_file, NULL,
         "file with the key that peers prove to each other"),
    TEXT("log_level", LEVEL, log_level, "info",
         "error, warn or info"),
    {.key = "seed", .type = GW_SETTING_U64, .unit = "", .value = 0,
     .offset = AT(node.seed),
     .meaning = "seed of random choices; 0: taken from name and start"},
    U32("probe_period_ms", node.probe_period_ms, "ms", 500, 10, 60000,
        "time between two probes of members"),
    U32("probe_timeout_ms", node.probe_timeout_ms, "ms", 250, 5, 30000,
        "wait for an ack before other members are asked to probe"),
    U32("suspect_timeout_ms", node.suspect_timeout_ms, "ms", 1500, 20, 300000,
        "time for a suspected member to refute before it is declared dead"),
    U32("indirect_probes", node.indirect_probes, "members", 3, 0, 16,
        "members asked to probe a member that sent no ack"),
    U32("config_poll_ms", node.config_poll_ms, "ms", 2000, 50, 60000,
        "time between two reads of the configuration's head row"),
    U32("fence_ms", node.fence_ms, "ms", 2000, 50, 60000,
        "a longer pause of this process stops its use of seats and loans"),
    U32("seat_poll_ms", node.seat_poll_ms, "ms", 3000, 50, 60000,
        "time between two reads of the seat rows"),
    U32("seat_holdoff_ms", node.seat_holdoff_ms, "ms", 15000, 100, 900000,
        "wait between the notice on a dead holder's seat and the claim"),
    U32("loan_term_ms", node.loan_term_ms, "ms", 10000, 100, 300000,
        "term of a loan of units"),
    U32("loan_margin_ms", node.loan_margin_ms, "ms", 1000, 10, 60000,
        "lender waits this much longer, borrower stops this much earlier"),
    U32("queue_max", node.queue_max, "calls", 1024, 1, 1000000,
        "calls that may wait at this entry"),
    U32("ticket_table_max", node.ticket_table_max, "tickets", 65536, 16,
        16777216, "records of non-idempotent calls kept"),
    U32("ticket_valid_ms", node.ticket_valid_ms, "ms", 60000, 100, 3600000,
        "age up to which a ticket is accepted for a first call"),
    U32("ticket_retention_ms", node.ticket_retention_ms, "ms", 120000, 100,
        7200000, "time the outcome of a ticket is kept"),
    U32("attempt_timeout_ms", node.attempt_timeout_ms, "ms", 1000, 10, 600000,
        "time-out of one attempt of an idempotent call"),
    U32("retry_budget_percent", node.retry_budget_percent, "percent", 20, 0,
        100, "retries and hedges allowed, as a share of successes"),
    U32("drain_hint_ttl_ms", node.drain_hint_ttl_ms, "ms", 10000, 100, 600000,
        "validity of a peer's hint that a backend server is draining"),
    U32("leave_bound_ms", node.leave_bound_ms, "ms", 30000, 0, 3600000,
        "longest graceful stop"),
    U32("lookup_ttl_ms", node.lookup_ttl_ms, "ms", 2000, 10, 600000,
        "time callers may keep the answer of a look-up"),
    U32("policy", node.policy, "", 0, 0, 2,
        "choice of server: 0 slots, 1 two choices, 2 subset"),
    U32("caller_threads", caller_threads, "threads", 64, 1, 4096,
        "worker threads for callers"),
    U32("relay_threads", relay_threads, "threads", 32, 1, 4096,
        "worker threads for calls relayed by peers"),
    U32("health_poll_ms", health_poll_ms, "ms", 1000, 20, 60000,
        "time between two reads of a backend server's health"),
    U32("list_poll_ms", list_poll_ms, "ms", 1000, 50, 60000,
        "time between two reads of the platform's list of instances"),
    U32("platform_timeout_ms", platform_timeout_ms, "ms", 1000, 10, 60000,
        "time-out of one request to the platform"),
    U32("snapshot_every", snapshot_every, "versions", 10, 0, 1000000,
        "versions between two snapshots in the object store; 0: no snapshots"),
};
/* clang-format on */

/* Returns all rows, in the order of docs/SETTINGS.md. */
const GwSettingRow *
GwSettings_Rows(uint32_t *count)
{
    *count = G_N_ELEMENTS(rows);
    return rows;
}

/* Sets the numeric parameters of the decision code to their defaults,
 * except for the seed. */
void
GwNodeParams_SetDefaults(GwNodeParams *params)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const GwSettingRow *row = &rows[i];
        if (row->type == GW_SETTING_U32 &&
            row->offset < sizeof(GwNodeParams)) {
            memcpy((char *)params + row->offset, &row->value,
                   sizeof(row->value));
        }
    }
}

G_STATIC_ASSERT(offsetof(GwSettings, node) == 0);

static const char *
type_name(GwSettingType type)
{
    switch (type) {
    case GW_SETTING_U32:
    case GW_SETTING_U64:
        return "whole number";
    case GW_SETTING_NAME:
        return "name";
    case GW_SETTING_ADDRESS:
        return "ip:port";
    case GW_SETTING_TEXT:
        return "string";
    case GW_SETTING_LEVEL:
        return "level";
    }
    return "";
}

static const char doc_head[] =
    "# Settings\n"
    "\n"
    "`godwitd --settings FILE` reads one JSON object; comments in the style\n"
    "of C are allowed. A key that is not in the table, a value of another\n"
    "type and one outside its bounds are rejected with file, key, bound and\n"
    "value; the process then does not start. Keys without a default must be\n"
    "given. This page is made from `lib/config/settings_table.c`.\n"
    "\n"
    "| Key | Type | Unit | Default | Minimum | Maximum | Meaning |\n"
    "|---|---|---|---|---|---|---|\n";

static const char doc_tail[] =
    "\n"
    "Rules between keys: `probe_timeout_ms` is below\n"
    "`probe_period_ms`, twice `loan_margin_ms` is below `loan_term_ms`,\n"
    "`fence_ms`, `loan_term_ms` and `loan_margin_ms` together are below\n"
    "`seat_holdoff_ms`, and `ticket_retention_ms` is at least\n"
    "`ticket_valid_ms`. No call may take longer than `seat_holdoff_ms` less\n"
    "`fence_ms`, whatever its service allows.\n"
    "\n"
    "For tests only, `test_delays` adds a one-way delay in microseconds\n"
    "(0 to 10000000) to frames sent to a region; the key `\"\"` is for the\n"
    "other failure domains of the own region:\n"
    "\n"
    "    \"test_delays\": {\"da-nang\": 55000, \"\": 1500}\n";

/* Builds the text of docs/SETTINGS.md. */
char *
GwSettings_Doc(void)
{
    GString *out = g_string_new(doc_head);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const GwSettingRow *row = &rows[i];
        g_string_append_printf(out, "| `%s` | %s | %s | ", row->key,
                               type_name(row->type), row->unit);
        if (row->type == GW_SETTING_U32) {
            g_string_append_printf(out, "%u | %u | %u", row->value, row->min,
                                   row->max);
        }
        else if (row->type == GW_SETTING_U64) {
            g_string_append_printf(out, "0 | 0 | %" G_GINT64_FORMAT,
                                   G_MAXINT64);
        }
        else {
            g_string_append_printf(out, "%s | | %zu bytes",
                                   row->text != NULL ? row->text : "",
                                   row->size - 1);
        }
        g_string_append_printf(out, " | %s |\n", row->meaning);
    }
    g_string_append(out, doc_tail);
    return g_string_free(out, FALSE);
}
