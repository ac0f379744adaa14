/* Rows that the simulated site keeps in the store. */
#include "platform/platform.h"
#include "standins/site/simulation.h"

static char *
replaced(char *text, const char *name, const char *value)
{
    char **parts = g_strsplit(text, name, -1);
    char *joined = g_strjoinv(value, parts);

    g_strfreev(parts);
    g_free(text);
    return joined;
}

const char *
Site_ServiceOf(int i)
{
    return i % 2 == 0 ? "slots" : "ledger";
}

/* Returns the row of a server; free with g_free. */
static char *
write_row(Site *site, int i, const char *state)
{
    char *text = g_strdup(site->server_text);
    char *address = g_strdup_printf("127.0.0.1:%d", site->args.port + i);
    char *slots = g_strdup_printf("%d", site->args.slots);
    char *birth = g_strdup_printf("%u", site->birth[i] + 1);
    char *heartbeat = g_strdup_printf("%u", ++site->heartbeats[i]);

    text = replaced(text, "@ADDRESS@", address);
    text = replaced(text, "@BORN@", birth);
    text = replaced(text, "@SERVICE@", Site_ServiceOf(i));
    text = replaced(text, "@DOMAIN@", i < SITE_SERVERS / 2 ? "d1" : "d2");
    text = replaced(text, "@SLOTS@", slots);
    text = replaced(text, "@STATE@", state);
    text = replaced(text, "@SEQ@", heartbeat);
    g_free(heartbeat);
    g_free(birth);
    g_free(slots);
    g_free(address);
    return text;
}

void
Site_PutServer(Site *site, int i, const char *state)
{
    char *key = g_strdup_printf("server-%d", i);
    char *text = write_row(site, i, state);

    SiteStore_Put(site->store, Platform_Adapter.server_table, key, text);
    g_free(text);
    g_free(key);
}

/* Drops the last member of the row's last object. */
static char *
without_last_member(const char *row)
{
    GRegex *regex = g_regex_new(",[^,]*\\}\\}\\s*$", 0, 0, NULL);
    char *text = g_regex_replace_literal(regex, row, -1, 0, "}}", 0, NULL);

    g_regex_unref(regex);
    return text;
}

/* Nesting far above what a parser allows. */
#define NESTED_DEEP 20000
/* The longest key of the store. */
#define LONG_KEY_BYTES 200

typedef struct {
    char *key;
    char *value;
} ForeignRow;

static void
add_foreign(GArray *rows, const char *key, char *value)
{
    ForeignRow row = {.key = g_strdup(key), .value = value};

    g_array_append_val(rows, row);
}

static void
clear_foreign(gpointer item)
{
    ForeignRow *row = item;

    g_free(row->key);
    g_free(row->value);
}

/* The row with another text in place of one of its values. */
static char *
with(const char *row, const char *pattern, const char *text)
{
    GRegex *regex = g_regex_new(pattern, 0, 0, NULL);
    char *changed = g_regex_replace_literal(regex, row, -1, 0, text, 0, NULL);

    g_regex_unref(regex);
    return changed;
}

/* Rows that name no server. Some of their keys come before, others behind
 * those of the servers. */
static GArray *
create_foreign(Site *site)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(ForeignRow));
    char *row = write_row(site, 0, "ready");
    char *long_key = g_strnfill(LONG_KEY_BYTES, 'z');
    char *open = g_strnfill(NESTED_DEEP, '[');

    g_array_set_clear_func(rows, clear_foreign);
    add_foreign(rows, "other-1", without_last_member(row));
    add_foreign(rows, "other-2", g_strdup("not JSON"));
    add_foreign(rows, "other-3", g_strdup_printf("{\"info\":%s", open));
    add_foreign(rows, "other-4", g_strdup("[1]"));
    add_foreign(rows, "other-5", g_strdup(""));
    add_foreign(rows, "server-0\n", g_strdup(row));
    add_foreign(rows, "server-1\"\\", g_strdup("{\"status\":7}"));
    add_foreign(rows, "z-port",
                with(row, "127.0.0.1:[0-9]+", "127.0.0.1:70000"));
    add_foreign(rows, "z-born",
                with(row, "\"born\":[0-9]+", "\"born\":1e999"));
    add_foreign(
        rows, "z-slots",
        with(row, "\"slots\":[0-9]+", "\"slots\":99999999999999999999999999"));
    add_foreign(rows, "z-bytes", g_strdup("{\"info\":\"\xff\xfe\"}"));
    add_foreign(rows, long_key, g_strdup(row));
    g_free(open);
    g_free(long_key);
    g_free(row);
    return rows;
}

void
Site_PutForeignRows(Site *site, bool are_present)
{
    GArray *rows = create_foreign(site);

    for (guint i = 0; i < rows->len; i++) {
        const ForeignRow *row = &g_array_index(rows, ForeignRow, i);
        if (are_present) {
            SiteStore_Put(site->store, Platform_Adapter.server_table, row->key,
                          row->value);
        }
        else {
            SiteStore_Remove(site->store, Platform_Adapter.server_table,
                             row->key);
        }
    }
    g_array_free(rows, TRUE);
}

void
Site_PutConfig(Site *site, const char *pattern, const char *text)
{
    if (pattern != NULL) {
        GRegex *regex = g_regex_new(pattern, 0, 0, NULL);
        char *changed =
            g_regex_replace_literal(regex, site->config, -1, 0, text, 0, NULL);
        g_regex_unref(regex);
        g_free(site->config);
        site->config = changed;
    }
    SiteStore_Put(site->store, Platform_Adapter.operator_table, "config",
                  site->config);
}

bool
Site_AddOrganisations(Site *site)
{
    char *text = NULL;

    if (site->args.organisations == NULL) {
        return true;
    }
    if (!g_file_get_contents(site->args.organisations, &text, NULL, NULL)) {
        return false;
    }
    char *rate = g_strdup_printf("%g", site->args.beta_rate);
    text = replaced(text, "@RATE@", rate);
    char *config = g_strdup_printf("{%s%s", text, site->config + 1);
    g_free(site->config);
    site->config = config;
    site->organisations = SiteOrganisations_Create(site->args.beta_rate);
    g_free(rate);
    g_free(text);
    return true;
}

void
Site_RevokeKey(Site *site)
{
    char *version = g_strdup_printf("\"version\":%u", site->version + 1);

    if (site->organisations != NULL && !site->revoked) {
        site->revoked = true;
        site->version++;
        Site_PutConfig(site, ",\"beta-old-key-[0-9a-f]+\"", "");
        Site_PutConfig(site, "\"version\":[0-9]+", version);
        SiteOrganisations_Revoked(site->organisations);
    }
    g_free(version);
}
