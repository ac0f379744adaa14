/* What the answer of a backend server says. */
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>

static void
read_load(const char *text, GwAttemptEnd *end)
{
    unsigned int running;
    unsigned int waiting;

    if (text != NULL && sscanf(text, "%u,%u", &running, &waiting) == 2) {
        end->has_load = true;
        end->running = running;
        end->waiting = waiting;
    }
}

static GwAttemptOutcome
outcome_of(const GwAdapter *names, const GwHttpMessage *msg)
{
    if (msg->status == 421 || GwHttpMessage_Get(msg, names->not_run)) {
        return GW_ATTEMPT_REFUSED;
    }
    if (msg->status < 300 && GwHttpMessage_Get(msg, names->seal) == NULL) {
        return GW_ATTEMPT_BROKEN;
    }
    return GW_ATTEMPT_ANSWERED;
}

GwAttemptEnd
GwAnswer_End(const GwAdapter *names, const GwHttpMessage *msg,
             int64_t connect_us)
{
    const char *cold = GwHttpMessage_Get(msg, names->cold_ms);
    GwAttemptEnd end = {
        .outcome = outcome_of(names, msg),
        .status = msg->status,
        .other_server = msg->status == 421,
        .cold_ms = cold != NULL ? (uint32_t)strtoul(cold, NULL, 10) : 0,
        .connect_us = connect_us,
    };

    read_load(GwHttpMessage_Get(msg, names->load), &end);
    return end;
}

bool
GwAnswer_IsTo(const GwAdapter *names, const GwHttpMessage *msg,
              const GwHttpMessage *request)
{
    const char *theirs = GwHttpMessage_Get(msg, names->request_id);
    const char *ours = GwHttpMessage_Get(request, names->request_id);

    if (theirs == NULL) {
        return msg->status >= 300 || ours == NULL;
    }
    return ours != NULL && strcmp(theirs, ours) == 0;
}
