/* Two organisations with keys: what their callers got, and whether the servers
 * ran only what keys and quotas allowed. The keys are those of
 * deploy/demo/organisations.json. */
#include "standins/site/organisations.h"

#include <stdio.h>
#include <string.h>

/* The operators' rules. */
#define REVOCATION_US 5000000
#define WINDOW_US     5000000
#define WINDOW_S      5.0
#define OVERRUN       0.1
#define SLACK         20.0
#define ALPHA_RATE    2000.0

enum { ALPHA = 0, BETA = 1, ORGANISATION_COUNT };

typedef struct {
    const char *text;
    uint32_t organisation;
    bool is_revoked_later;
} Key;

static const Key keys[] = {
    {.text = "alpha-key-7f3d", .organisation = ALPHA},
    {.text = "alpha-key-7f3d", .organisation = ALPHA},
    {.text = "beta-key-19ca", .organisation = BETA},
    {.text = "beta-old-key-55e0",
     .organisation = BETA,
     .is_revoked_later = true},
};

static const char *const names[ORGANISATION_COUNT] = {"alpha", "beta"};

typedef struct {
    const Key *key;
    int64_t sent_us;
} Request;

typedef struct {
    uint64_t sent;
    uint64_t answered;
    uint64_t over_quota;
    uint64_t unauthorized;
    double rate_per_s;
    GArray *ran_sent;    /* int64_t: when requests that ran were sent */
    GArray *ran_arrived; /* int64_t: when the same ones arrived */
} Organisation;

struct SiteOrganisations_s {
    Organisation orgs[ORGANISATION_COUNT];
    GHashTable *requests; /* id -> Request */
    int64_t revoked_us;   /* 0: not yet */
    uint64_t wrong;       /* runs under another organisation, or none */
    uint64_t keys_seen;   /* requests in which a server saw a key */
    uint64_t revoked_runs;
};

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

SiteOrganisations *
SiteOrganisations_Create(double beta_per_s)
{
    SiteOrganisations *o = g_new0(SiteOrganisations, 1);

    o->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 0; i < ORGANISATION_COUNT; i++) {
        o->orgs[i].rate_per_s = i == ALPHA ? ALPHA_RATE : beta_per_s;
        o->orgs[i].ran_sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
        o->orgs[i].ran_arrived = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    return o;
}

const char *
SiteOrganisations_Send(SiteOrganisations *o, uint32_t caller, const char *id)
{
    const Key *key = &keys[caller % G_N_ELEMENTS(keys)];
    Request *req = g_new0(Request, 1);

    *req = (Request){.key = key, .sent_us = now_us()};
    g_hash_table_replace(o->requests, g_strdup(id), req);
    o->orgs[key->organisation].sent++;
    return key->text;
}

void
SiteOrganisations_Ended(SiteOrganisations *o, const char *id, uint16_t status)
{
    const Request *req = g_hash_table_lookup(o->requests, id);

    if (req != NULL) {
        Organisation *org = &o->orgs[req->key->organisation];
        org->answered += status == 200;
        org->over_quota += status == 429;
        org->unauthorized += status == 401;
    }
}

static bool
has_key(const GwHttpMessage *msg)
{
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        for (guint k = 0; k < msg->fields->len; k++) {
            const char *value =
                msg->text->str +
                g_array_index(msg->fields, GwHttpField, k).value;
            if (strstr(value, keys[i].text) != NULL) {
                return true;
            }
        }
    }
    return false;
}

void
SiteOrganisations_Ran(SiteOrganisations *o, const GwAdapter *adapter,
                      const GwHttpMessage *msg, const char *id)
{
    const Request *req = g_hash_table_lookup(o->requests, id);
    const char *name = GwHttpMessage_GetOnly(msg, adapter->organisation);
    int64_t at_us = now_us();

    o->keys_seen += has_key(msg);
    if (req == NULL || name == NULL ||
        strcmp(name, names[req->key->organisation]) != 0) {
        o->wrong++;
        return;
    }
    Organisation *org = &o->orgs[req->key->organisation];
    g_array_append_val(org->ran_sent, req->sent_us);
    g_array_append_val(org->ran_arrived, at_us);
    o->revoked_runs += req->key->is_revoked_later && o->revoked_us != 0 &&
                       req->sent_us > o->revoked_us + REVOCATION_US;
}

void
SiteOrganisations_Revoked(SiteOrganisations *o)
{
    o->revoked_us = now_us();
}

void
SiteOrganisations_RevocationLost(SiteOrganisations *o)
{
    o->revoked_us = 0;
}

/* Requests above the quota: those of the worst window that were both sent and
 * run in it. */
static uint32_t
above_quota(const Organisation *org)
{
    double most =
        (org->rate_per_s * WINDOW_S + org->rate_per_s) * (1 + OVERRUN) + SLACK;
    uint32_t worst = 0;

    for (guint i = 0; i < org->ran_sent->len; i++) {
        int64_t from_us = g_array_index(org->ran_sent, int64_t, i);
        uint32_t used = 0;
        for (guint k = 0; k < org->ran_sent->len; k++) {
            used += g_array_index(org->ran_sent, int64_t, k) >= from_us &&
                    g_array_index(org->ran_arrived, int64_t, k) <=
                        from_us + WINDOW_US;
        }
        worst = MAX(worst, used);
    }
    return worst > most ? (uint32_t)(worst - most) : 0;
}

bool
SiteOrganisations_Print(SiteOrganisations *o)
{
    uint32_t above = 0;

    for (int i = 0; i < ORGANISATION_COUNT; i++) {
        const Organisation *org = &o->orgs[i];
        (void)printf(
            "organisation %s: %lu sent, %lu answered, %lu over the "
            "quota, %lu unauthorized\n",
            names[i], (unsigned long)org->sent, (unsigned long)org->answered,
            (unsigned long)org->over_quota, (unsigned long)org->unauthorized);
        if (org->rate_per_s < ALPHA_RATE) {
            above += above_quota(org);
        }
    }
    (void)printf("organisations: %lu runs under another one, %lu keys at "
                 "servers, %lu runs after the revocation, %u above a quota\n",
                 (unsigned long)o->wrong, (unsigned long)o->keys_seen,
                 (unsigned long)o->revoked_runs, above);
    bool is_clean = o->wrong + o->keys_seen + o->revoked_runs + above == 0;
    if (!is_clean) {
        (void)printf("broken: organisations\n");
    }
    return is_clean;
}
