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

void
Site_PutForeignRows(Site *site, bool are_present)
{
    char *row = write_row(site, 0, "ready");
    char *incomplete = without_last_member(row);
    const struct {
        const char *key;
        const char *value;
    } rows[] = {
        {"other-1", incomplete},
        {"server-0\n", row},
        {"other-2", "not JSON"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (are_present) {
            SiteStore_Put(site->store, Platform_Adapter.server_table,
                          rows[i].key, rows[i].value);
        }
        else {
            SiteStore_Remove(site->store, Platform_Adapter.server_table,
                             rows[i].key);
        }
    }
    g_free(incomplete);
    g_free(row);
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
