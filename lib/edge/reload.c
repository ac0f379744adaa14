/* Reloads settings at run time, on a signal or when the file changes. */
#include "edge/edge_internal.h"

#include <string.h>
#include <sys/stat.h>

/* Interval between checks of the file's modification time; each is one system
 * call. */
#define CHECK_PERIOD_US 2000000

static int64_t
mtime_ns(const char *path)
{
    struct stat st;

    if (stat(path, &st) != 0) {
        return 0;
    }
    return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

void
GwEdge_RecordSettingsTime(GwEdge *edge)
{
    edge->settings_mtime_ns = mtime_ns(edge->settings_path);
    edge->settings_checked_us = GwEdge_Now();
}

/* Compares the settings that can't change at run time: identity and
 * addresses. */
static bool
has_same_identity(const GwEdgeSettings *a, const GwEdgeSettings *b)
{
    return strcmp(a->router.name, b->router.name) == 0 &&
           strcmp(a->router.region, b->router.region) == 0 &&
           strcmp(a->router.domain, b->router.domain) == 0 &&
           strcmp(a->call_address, b->call_address) == 0 &&
           strcmp(a->ready_address, b->ready_address) == 0 &&
           strcmp(a->directory_address, b->directory_address) == 0 &&
           strcmp(a->control_address, b->control_address) == 0 &&
           strcmp(a->metrics_address, b->metrics_address) == 0 &&
           strcmp(a->peer_address, b->peer_address) == 0 &&
           strcmp(a->store_address, b->store_address) == 0;
}

void
GwEdge_Reload(GwEdge *edge, bool always)
{
    int64_t now_us = GwEdge_Now();
    GError *error = NULL;

    if (!always && now_us - edge->settings_checked_us < CHECK_PERIOD_US) {
        return;
    }
    int64_t before_ns = edge->settings_mtime_ns;
    GwEdge_RecordSettingsTime(edge);
    if (!always && edge->settings_mtime_ns == before_ns) {
        return;
    }
    GwEdgeSettings *s = GwEdgeSettings_Load(edge->settings_path, &error);
    if (s == NULL) {
        /* Incomplete or invalid: the current settings stay. */
        GwLog_Event(GW_LOG_SETTINGS_BAD, "why=\"%s\" effect=none",
                    error->message);
        g_error_free(error);
        return;
    }
    if (!has_same_identity(edge->settings, s)) {
        GwLog_Event(GW_LOG_SETTINGS_BAD, "why=\"identity and addresses can't "
                                         "change at run time\" effect=none");
        GwEdgeSettings_Free(s);
        return;
    }
    GwEdgeSettings *old = edge->settings;
    edge->settings = s;
    GwRouter_SetBounds(edge->router, &s->router);
    GwQuota_SetBounds(edge->quota, &s->quota);
    GwEdge_ApplyChangeBound(edge);
    GwEdgeSettings_Free(old);
    GwLog_Event(GW_LOG_SETTINGS_AGAIN, "effect=bounds");
}
