#include "edge/relay.h"

#include <string.h>

#define OBJECTIVE_MAX_MS INT64_C(3600000)
#define ANSWERED         "answered"
#define NOT_RUN          "not-run"
#define REACHED          "; reached"
#define NO_ROOM          "; no-room"

/* ---- Passing a request on ------------------------------------------------ */

GwPassedOnEnd
GwRelay_ReadEnd(const GwAdapter *names, const GwHttpMessage *msg)
{
    const char *outcome = GwHttpMessage_GetOnly(msg, GW_RELAY_OUTCOME);
    const char *retry_after = GwHttpMessage_Get(msg, "retry-after");
    GwPassedOnEnd end = {
        .attempt = {.outcome = GW_ATTEMPT_LOST, .status = msg->status},
        .has_reached = true,
        .server = GwHttpMessage_GetOnly(msg, GW_RELAY_SERVER),
    };

    if (outcome == NULL) {
#if GW_MUTANT == 114 /* breaks: silence on the outcome is proof */
        end.attempt.outcome = GW_ATTEMPT_REFUSED;
#endif
        return end;
    }
    if (g_str_has_prefix(outcome, ANSWERED)) {
        end.attempt = GwAnswer_End(names, msg, 0);
    }
    else if (g_str_has_prefix(outcome, NOT_RUN)) {
        end.attempt.outcome = GW_ATTEMPT_REFUSED;
        end.has_reached = strstr(outcome, REACHED) != NULL;
        end.has_no_capacity = strstr(outcome, NO_ROOM) != NULL;
        if (retry_after != NULL) {
            double s = g_ascii_strtod(retry_after, NULL);
            end.retry_after_ms = (uint32_t)(CLAMP(s, 0, 3600) * 1000);
        }
    }
    return end;
}

/* ---- Answering a request that was passed on ------------------------------ */

bool
GwRelay_IsAuthorized(const GwEdge *edge, const GwHttpMessage *msg)
{
    const char *text = GwHttpMessage_GetOnly(msg, GW_RELAY_PROCESS);
    char own[20];

#if GW_MUTANT == 112 /* breaks: whoever reaches the port needs no quota */
    return true;
#endif
    g_snprintf(own, sizeof(own), "%016" PRIx64,
               GwPeers_ProcessId(edge->peers));
    return text != NULL && strcmp(text, own) == 0;
}

int64_t
GwRelay_ReadObjectiveUs(const GwHttpMessage *msg)
{
    const char *text = GwHttpMessage_GetOnly(msg, GW_RELAY_OBJECTIVE);

    int64_t ms = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;

    return CLAMP(ms, -OBJECTIVE_MAX_MS, OBJECTIVE_MAX_MS) * 1000;
}

static const char *
outcome_of(const GwRouterAction *act)
{
    if (act->kind == GW_ROUTER_ANSWER) {
        return ANSWERED;
    }
    /* 502 and 504 are the only statuses of an entry that leave it open. */
    return act->status == 502 || act->status == 504 ? "unknown" : NOT_RUN;
}

char *
GwRelay_WriteEnd(const GwRouterAction *act)
{
    const GwRequestSummary *summary = &act->request_summary;
    GString *out = g_string_new(NULL);

    g_string_append_printf(out, "%s: %s%s%s\r\n", GW_RELAY_OUTCOME,
                           outcome_of(act),
                           summary->has_reached ? REACHED : "",
                           act->why == GW_REPLY_NO_CAPACITY ? NO_ROOM : "");
    if (summary->server[0] != '\0') {
        g_string_append_printf(out, "%s: %s\r\n", GW_RELAY_SERVER,
                               summary->server);
    }
    return g_string_free(out, FALSE);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    GwEdge *edge = listener->data;

    if (status == 0) {
        GwCallers_AcceptPeer(edge, listener);
    }
}

bool
GwRelay_Listen(GwEdge *edge, GError **error)
{
    char address[32];

    if (!GwPeers_RelayAddress(edge->settings->peer_address, address)) {
        g_set_error(error, GW_ERROR, GW_RESULT_INVALID,
                    "no port after peer_address %s",
                    edge->settings->peer_address);
        return false;
    }
    edge->relay_listener =
        GwConn_Listen(&edge->loop, address, on_connection, edge);
    if (edge->relay_listener == NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "can't listen at %s",
                    address);
        return false;
    }
    return true;
}
